package steer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// TestRoundTrip guards against an estimate that follows delays of busy processes or reports that
// arrive by chance just after a request.
func TestRoundTrip(t *testing.T) {
	convey.Convey("The estimate stays near the round trip of 7 ms", t, func() {
		trip := &roundTripTime{}
		for i := range 2000 {
			sample := 7 * time.Millisecond
			switch {
			case i%50 == 0:
				sample = 100 * time.Microsecond
			case i%2 == 0:
				sample = 40 * time.Millisecond
			}
			trip.add(sample)
			if i > 500 {
				convey.So(trip.estimate, convey.ShouldBeBetween, 5*time.Millisecond, 9*time.Millisecond)
			}
		}
		trip.add(0)
		trip.add(time.Second)
		convey.So(trip.estimate, convey.ShouldBeBetween, 5*time.Millisecond, 9*time.Millisecond)
	})
}

// TestDetour guards against flows that go to another failure domain although the way there takes
// longer than the wait in the own one.
func TestDetour(t *testing.T) {
	convey.Convey("With a service time of 30 ms and a detour of 6.5 ms", t, func() {
		now := time.Second
		r := New(Options{Domain: "a", Now: func() time.Duration { return now }, Sender: discardSender{}})
		r.SetVersion(versionWithout())
		servers := []Server{readyServer(0, "a"), readyServer(1, "b")}
		report := func(i, pending int, delay time.Duration) {
			s := servers[i]
			s.Slots, s.HasLoad, s.Pending, s.ServiceTime = 4, true, pending, 30*time.Millisecond
			r.byAgent[s.Agent].requestedAt = now
			now += delay
			s.ReportedAt = now
			r.UpdateLoad(s)
		}
		for _, s := range servers {
			r.SetServer(s)
		}
		cost := func(i int) float64 { r.now = now; return r.completion(r.byAgent[servers[i].Agent]) }
		report(0, 4, 500*time.Microsecond)
		report(1, 4, 7*time.Millisecond)
		convey.So(cost(1)-cost(0), convey.ShouldAlmostEqual, float64(6500*time.Microsecond), float64(2*time.Millisecond))
		convey.Convey("a longer queue in the own domain pays for it", func() {
			report(1, 4, 7*time.Millisecond)
			report(0, 8, 500*time.Microsecond)
			convey.So(cost(1), convey.ShouldBeLessThan, cost(0))
		})
	})
}
