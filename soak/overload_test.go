package main

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/platform/standin"
)

// TestOrdersServedWorseAreReported guards against a soak that passes although the priorities of
// routes are ignored or reversed.
func TestOrdersServedWorseAreReported(t *testing.T) {
	for _, row := range []struct {
		name     string
		orders   tally
		reported int
	}{
		{"all in time", tally{inTime: 200}, 0},
		{"as good as queries", tally{inTime: 100, late: 50, refused: 50}, 0},
		{"later than queries", tally{inTime: 50, late: 150}, 1},
		{"refused more than queries", tally{inTime: 100, refused: 100}, 1},
		{"worse in both", tally{refused: 200}, 2},
	} {
		convey.Convey("Orders are "+row.name, t, func() {
			d := &deployment{checker: standin.NewChecker()}
			compareWithQueries(d, row.orders, tally{inTime: 400, late: 200, refused: 200})
			convey.So(d.checker.Report().Violations, convey.ShouldHaveLength, row.reported)
		})
	}
}
