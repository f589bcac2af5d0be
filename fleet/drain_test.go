package fleet_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// dropMetrics is the part of an agent's metrics with the counters of dropped packets.
type dropMetrics struct {
	Endpoint struct {
		Drops struct {
			Draining uint64 `json:"draining"`
		}
	} `json:"endpoint"`
}

func TestDrainCausesNoRejections(t *testing.T) {
	t.Parallel()
	convey.Convey("A drain causes no rejected request and drops no first packet of a caller", t, func() {
		f := startSmallFleet(t)
		startLoad(t, f, 3*stabilizationTime).wait()
		callers := startLoad(t, f, loadDuration)
		time.Sleep(stabilizationTime)
		drained := f.Servers("ordering")[0]
		_, err := f.RunCtl(t.Context(), "drain", drained.Name)
		convey.So(err, convey.ShouldBeNil)
		report := callers.wait()
		shouldBeUnaffected(report)
		convey.So(report.Orders.Retries, convey.ShouldEqual, 0)
		convey.So(report.Orders.NotConnected, convey.ShouldEqual, 0)
		var metrics dropMetrics
		convey.So(f.ReadJSON(t.Context(), drained.Control, "/debug/vars", &metrics), convey.ShouldBeNil)
		convey.So(metrics.Endpoint.Drops.Draining, convey.ShouldEqual, 0)
	})
}
