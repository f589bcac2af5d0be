package fleet_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// dropMetrics is the part of an agent's metrics that counts dropped packets.
type dropMetrics struct {
	Endpoint struct {
		Drops struct {
			Draining uint64 `json:"draining"`
		}
	} `json:"endpoint"`
}

func TestDrainRefusesNothing(t *testing.T) {
	t.Parallel()
	convey.Convey("A drain costs no caller a refusal or a lost first packet", t, func() {
		f := startSmall(t)
		startLoad(t, f, 3*settle).end()
		callers := startLoad(t, f, runTime)
		time.Sleep(settle)
		leaving := f.Servers("ordering")[0]
		_, err := f.Ctl(t.Context(), "drain", leaving.Name)
		convey.So(err, convey.ShouldBeNil)
		report := callers.end()
		shouldBeUnharmed(report)
		convey.So(report.Orders.Retries, convey.ShouldEqual, 0)
		convey.So(report.Orders.NotConnected, convey.ShouldEqual, 0)
		var metrics dropMetrics
		convey.So(f.ReadJSON(t.Context(), leaving.Control, "/debug/vars", &metrics), convey.ShouldBeNil)
		convey.So(metrics.Endpoint.Drops.Draining, convey.ShouldEqual, 0)
	})
}
