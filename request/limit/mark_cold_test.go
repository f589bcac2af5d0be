package limit

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestMarkCold(t *testing.T) {
	convey.Convey("A server that is marked as cold counts as cold without a limit reset", t, func() {
		now := time.Unix(1000, 0)
		l := New(4, now)
		l.limit, l.sustained, l.warm = 4, 4, true
		convey.So(l.State(), convey.ShouldEqual, Warm)
		l.MarkCold(now)
		convey.So(l.State(), convey.ShouldEqual, Cold)
		convey.So(l.Limit(), convey.ShouldEqual, 1)
		convey.So(l.Weight(), convey.ShouldEqual, ColdWeight)
		convey.So(l.LimitResets(), convey.ShouldEqual, 0)
	})
}
