package servicetime

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// slots is the number of slots of the server.
const slots = 2

// serve observes a server whose requests take serviceTime while pending requests are always
// present.
func serve(e *Estimator, pending int, serviceTime, from, length time.Duration) time.Duration {
	busy := min(slots, pending)
	e.Observe(busy, from)
	now := from
	for now < from+length {
		now += serviceTime / time.Duration(busy)
		e.Complete(now)
		e.Observe(busy, now)
	}
	return now
}

// TestEstimateExcludesWaiting guards against an estimate that grows with the queue: a balancer
// would then take a busy server for a slow one.
func TestEstimateExcludesWaiting(t *testing.T) {
	convey.Convey("The estimate is the service time, whatever the load", t, func() {
		for _, pending := range []int{1, 2, 20} {
			e := &Estimator{}
			serve(e, pending, 30*time.Millisecond, time.Second, 5*time.Second)
			mean, ok := e.Mean()
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(mean, convey.ShouldAlmostEqual, 30*time.Millisecond, 2*time.Millisecond)
		}
	})
	convey.Convey("It follows a server that becomes slow", t, func() {
		e := &Estimator{}
		now := serve(e, 4, 30*time.Millisecond, time.Second, 5*time.Second)
		serve(e, 4, 90*time.Millisecond, now, 4*time.Second)
		mean, _ := e.Mean()
		convey.So(mean, convey.ShouldBeGreaterThan, 75*time.Millisecond)
	})
	convey.Convey("There is none before requests were completed, nor long after the last", t, func() {
		e := &Estimator{}
		_, ok := e.Mean()
		convey.So(ok, convey.ShouldBeFalse)
		now := serve(e, 2, 30*time.Millisecond, time.Second, time.Second)
		e.Observe(0, now+time.Minute)
		_, ok = e.Mean()
		convey.So(ok, convey.ShouldBeFalse)
	})
}
