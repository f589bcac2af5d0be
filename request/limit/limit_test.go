package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// simServer simulates a backend server in virtual time. After its start it is cold
// for a while, with one slot and a short queue. Under more load than its slots and
// queue hold it crashes and resets all requests.
type simServer struct {
	slots, queue           int
	coldSlots, coldQueue   int
	serviceTime            time.Duration
	slowdown               int
	coldUntil              time.Time
	crashedUntil           time.Time
	coldTime, recoveryTime time.Duration
	running                []time.Time // end times
	random                 *rand.Rand
	inFlight               []inFlightRequest
	crashes                int
	coldCrashes            int
	maxColdRunning         int
}

func (s *simServer) cold(now time.Time) bool { return now.Before(s.coldUntil) }

// send starts a request and returns the time and the outcome of its end.
func (s *simServer) send(now time.Time) (time.Time, Outcome) {
	if now.Before(s.crashedUntil) {
		return now.Add(time.Millisecond), Reset
	}
	running := s.running[:0]
	for _, end := range s.running {
		if end.After(now) {
			running = append(running, end)
		}
	}
	s.running = running
	slots, waiting, factor := s.slots, s.queue, 1
	if s.cold(now) {
		slots, waiting, factor = s.coldSlots, s.coldQueue, s.slowdown
		s.maxColdRunning = max(s.maxColdRunning, len(running)+1)
	}
	if len(running) >= slots+waiting {
		s.crashes++
		if s.cold(now) {
			s.coldCrashes++
		}
		s.crashedUntil = now.Add(s.recoveryTime)
		s.coldUntil = s.crashedUntil.Add(s.coldTime)
		s.running = nil
		return now.Add(time.Millisecond), Reset
	}
	spread := 0.5 + s.random.Float64()
	service := time.Duration(spread * float64(s.serviceTime) * float64(factor))
	begin := now
	if len(running) >= slots {
		begin = kthEnd(running, len(running)-slots)
	}
	end := begin.Add(service)
	s.running = append(s.running, end)
	return end, Succeeded
}

// kthEnd returns the k-th earliest end.
func kthEnd(ends []time.Time, k int) time.Time {
	sorted := append([]time.Time(nil), ends...)
	for i := range sorted {
		for j := i + 1; j < len(sorted); j++ {
			if sorted[j].Before(sorted[i]) {
				sorted[i], sorted[j] = sorted[j], sorted[i]
			}
		}
	}
	return sorted[k]
}

type inFlightRequest struct {
	start, end time.Time
	outcome    Outcome
	crashes    int // of the server before the start
}

// seeds is the number of random sequences of service times.
const seeds = 40

// saturate keeps the backend server as busy as the limiter allows, from begin for
// the given time.
func saturate(l *Limiter, server *simServer, begin time.Time, span time.Duration, each func(time.Time)) {
	inFlight := server.inFlight
	for now := begin; now.Before(begin.Add(span)); now = now.Add(time.Millisecond) {
		remaining := inFlight[:0]
		for _, f := range inFlight {
			if f.crashes != server.crashes {
				f.end, f.outcome = now, Reset
			}
			if f.end.After(now) {
				remaining = append(remaining, f)
				continue
			}
			l.Finish(Sample{Outcome: f.outcome, Latency: now.Sub(f.start)}, now)
		}
		inFlight = remaining
		for l.TryStart(now) {
			end, outcome := server.send(now)
			inFlight = append(inFlight, inFlightRequest{now, end, outcome, server.crashes})
		}
		l.Tick(now)
		if each != nil {
			each(now)
		}
	}
	server.inFlight = inFlight
}

func newSimServer(slots int, seed uint64) *simServer {
	return &simServer{
		slots: slots, queue: 2 * slots, coldSlots: 1, coldQueue: 1,
		serviceTime: 20 * time.Millisecond, slowdown: 4,
		coldTime: 5 * time.Second, recoveryTime: time.Second,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func TestColdServer(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	for _, slots := range []int{2, 6} {
		convey.Convey(fmt.Sprintf("A cold server with %d slots never crashes, and gets full load once warm", slots), t, func() {
			for seed := range uint64(seeds) {
				server := newSimServer(slots, seed)
				server.coldUntil = begin.Add(server.coldTime)
				l := New(slots, begin)
				saturate(l, server, begin, 25*time.Second, nil)
				convey.So(server.crashes, convey.ShouldEqual, 0)
				convey.So(l.State(), convey.ShouldEqual, Warm)
				convey.So(l.Limit(), convey.ShouldEqual, slots)
			}
		})
		convey.Convey(fmt.Sprintf("A server with %d slots that becomes cold under full load crashes at most once", slots), t, func() {
			for seed := range uint64(seeds) {
				server := newSimServer(slots, seed)
				l := New(slots, begin)
				saturate(l, server, begin, 15*time.Second, nil)
				convey.So(l.State(), convey.ShouldEqual, Warm)
				coldFrom := begin.Add(15 * time.Second)
				server.coldUntil = coldFrom.Add(server.coldTime)
				server.maxColdRunning = 0
				saturate(l, server, coldFrom, 35*time.Second, nil)
				convey.So(server.crashes, convey.ShouldBeLessThanOrEqualTo, 1)
				convey.So(server.coldCrashes, convey.ShouldBeLessThanOrEqualTo, 1)
				convey.So(l.LimitResets(), convey.ShouldBeGreaterThan, 0)
				convey.So(l.State(), convey.ShouldEqual, Warm)
			}
		})
	}
}

func TestFailingBackendServer(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	cases := []struct {
		name    string
		outcome Outcome
		weight  uint16
	}{
		{"resets", Reset, failingWeight},
		{"refuses", Refused, failingWeight},
		{"accepts no connection", Unreachable, failingWeight},
		{"responds with status 500", Failed, failingWeight},
	}
	for _, c := range cases {
		for _, healthy := range []bool{true, false} {
			convey.Convey(fmt.Sprintf("A server that %s gets few requests, health endpoint healthy: %v", c.name, healthy), t, func() {
				l := New(2, begin)
				started := 0
				for now := begin; now.Before(begin.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
					if now.UnixMilli()%25 == 0 {
						l.UpdateHealth(healthy, now)
					}
					if l.TryStart(now) {
						started++
						l.Finish(Sample{Outcome: c.outcome, Latency: time.Millisecond}, now)
					}
				}
				convey.So(started, convey.ShouldBeLessThan, 20)
				convey.So(started, convey.ShouldBeGreaterThanOrEqualTo, 2)
				convey.So(l.Weight(), convey.ShouldEqual, c.weight)
				convey.So(l.State(), convey.ShouldEqual, Cold)
			})
		}
	}
	convey.Convey("An unhealthy health endpoint does not lower the limit while all requests succeed", t, func() {
		server := newSimServer(2, 1)
		l := New(2, begin)
		saturate(l, server, begin, 10*time.Second, func(now time.Time) { l.UpdateHealth(false, now) })
		convey.So(l.State(), convey.ShouldEqual, Warm)
	})
	convey.Convey("A health endpoint that stays unhealthy after a failure delays the next request up to a maximum", t, func() {
		l := New(2, begin)
		l.TryStart(begin)
		l.Finish(Sample{Outcome: Reset}, begin)
		now := begin
		for l.InBackoff(now) {
			now = now.Add(10 * time.Millisecond)
			l.UpdateHealth(false, now)
		}
		convey.So(now.Sub(begin), convey.ShouldBeLessThanOrEqualTo, maxUnhealthyBackoff)
		convey.So(now.Sub(begin), convey.ShouldBeGreaterThan, initialBackoff)
	})
	convey.Convey("The limit of a server that stops responding to its requests is reset to one", t, func() {
		server := newSimServer(2, 1)
		l := New(2, begin)
		saturate(l, server, begin, 10*time.Second, nil)
		now := begin.Add(10 * time.Second)
		l.TryStart(now)
		l.TryStart(now)
		for range 200 {
			now = now.Add(10 * time.Millisecond)
			l.Tick(now)
		}
		convey.So(l.Limit(), convey.ShouldEqual, 1)
		convey.So(l.State(), convey.ShouldEqual, Cold)
	})
	convey.Convey("A new instance is cold", t, func() {
		l := New(1, begin)
		now := begin
		for range 100 {
			now = now.Add(20 * time.Millisecond)
			l.TryStart(now)
			l.Finish(Sample{Latency: time.Millisecond, Instance: "a"}, now)
		}
		convey.So(l.State(), convey.ShouldEqual, Warm)
		l.TryStart(now)
		l.Finish(Sample{Latency: time.Millisecond, Instance: "b"}, now)
		convey.So(l.State(), convey.ShouldEqual, Cold)
	})
	convey.Convey("Short deadlines and canceled requests do not count as failures of the server", t, func() {
		server := newSimServer(2, 1)
		l := New(2, begin)
		saturate(l, server, begin, 10*time.Second, nil)
		now := begin.Add(10 * time.Second)
		for range 100 {
			l.TryStart(now)
			l.Finish(Sample{Outcome: TimedOut, Latency: 5 * time.Millisecond}, now)
			l.TryStart(now)
			l.Finish(Sample{Outcome: Canceled, Latency: 5 * time.Millisecond}, now)
		}
		convey.So(l.State(), convey.ShouldEqual, Warm)
	})
}
