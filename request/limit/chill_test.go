package limit

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestChill(t *testing.T) {
	convey.Convey("A chilled server counts as cold without a fall", t, func() {
		now := time.Unix(1000, 0)
		l := New(4, now)
		l.limit, l.borne, l.warm = 4, 4, true
		convey.So(l.State(), convey.ShouldEqual, Warm)
		l.MarkCold(now)
		convey.So(l.State(), convey.ShouldEqual, Cold)
		convey.So(l.Limit(), convey.ShouldEqual, 1)
		convey.So(l.Weight(), convey.ShouldEqual, ColdWeight)
		convey.So(l.LimitResets(), convey.ShouldEqual, 0)
	})
}
