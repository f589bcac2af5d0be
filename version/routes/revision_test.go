package routes

import (
	"math"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestRevisionOrder(t *testing.T) {
	convey.Convey("The era orders revisions before the index, also on the wire and when its lower bits wrap around", t, func() {
		ordered := []Revision{{}, {0, 9}, {1, 54}, {2, 36}, {2, 37}, {math.MaxUint16, 1}, {math.MaxUint16 + 1, 0}}
		for i, later := range ordered {
			convey.So(later.Newer(later), convey.ShouldBeFalse)
			for _, earlier := range ordered[:i] {
				convey.So(later.Newer(earlier), convey.ShouldBeTrue)
				convey.So(earlier.Newer(later), convey.ShouldBeFalse)
				if later.Era-earlier.Era < math.MaxInt16 {
					convey.So(later.Wire().Newer(earlier.Wire()), convey.ShouldBeTrue)
					convey.So(earlier.Wire().Newer(later.Wire()), convey.ShouldBeFalse)
				}
			}
		}
		convey.So(NearestEra(1, math.MaxUint16), convey.ShouldEqual, math.MaxUint16+2)
		convey.So(NearestEra(math.MaxUint16, math.MaxUint16+2), convey.ShouldEqual, math.MaxUint16)
	})
}
