package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// model is a backend server in virtual time: cold for a while after its start,
// with one slot and few waiting places then, resetting everything when it gets
// more than it bears.
type model struct {
	slots, queue         int
	coldSlots, coldQueue int
	work                 time.Duration
	slowdown             int
	coldUntil            time.Time
	fallenUntil          time.Time
	coldFor, fallenFor   time.Duration
	running              []time.Time // ends
	random               *rand.Rand
	flights              []flight
	falls                int
	fellCold             int
	maxCold              int
}

func (m *model) cold(now time.Time) bool { return now.Before(m.coldUntil) }

// send returns when the answer comes, and whether it is one.
func (m *model) send(now time.Time) (time.Time, Outcome) {
	if now.Before(m.fallenUntil) {
		return now.Add(time.Millisecond), Reset
	}
	live := m.running[:0]
	for _, end := range m.running {
		if end.After(now) {
			live = append(live, end)
		}
	}
	m.running = live
	slots, waiting, factor := m.slots, m.queue, 1
	if m.cold(now) {
		slots, waiting, factor = m.coldSlots, m.coldQueue, m.slowdown
		m.maxCold = max(m.maxCold, len(live)+1)
	}
	if len(live) >= slots+waiting {
		m.falls++
		if m.cold(now) {
			m.fellCold++
		}
		m.fallenUntil = now.Add(m.fallenFor)
		m.coldUntil = m.fallenUntil.Add(m.coldFor)
		m.running = nil
		return now.Add(time.Millisecond), Reset
	}
	spread := 0.5 + m.random.Float64()
	service := time.Duration(spread * float64(m.work) * float64(factor))
	begin := now
	if len(live) >= slots {
		begin = kthEnd(live, len(live)-slots)
	}
	end := begin.Add(service)
	m.running = append(m.running, end)
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

type flight struct {
	start, end time.Time
	outcome    Outcome
	fallen     int // falls of the server before the start
}

// seeds is the number of work time sequences tried.
const seeds = 40

// drive keeps the backend server as busy as the limiter lets it, from start for
// the given time.
func drive(l *Limiter, m *model, begin time.Time, span time.Duration, each func(time.Time)) {
	flights := m.flights
	for now := begin; now.Before(begin.Add(span)); now = now.Add(time.Millisecond) {
		rest := flights[:0]
		for _, f := range flights {
			if f.fallen != m.falls {
				f.end, f.outcome = now, Reset
			}
			if f.end.After(now) {
				rest = append(rest, f)
				continue
			}
			l.Finish(Sample{Outcome: f.outcome, Latency: now.Sub(f.start)}, now)
		}
		flights = rest
		for l.TryStart(now) {
			end, outcome := m.send(now)
			flights = append(flights, flight{now, end, outcome, m.falls})
		}
		l.Tick(now)
		if each != nil {
			each(now)
		}
	}
	m.flights = flights
}

func newModel(slots int, seed uint64) *model {
	return &model{
		slots: slots, queue: 2 * slots, coldSlots: 1, coldQueue: 1,
		work: 20 * time.Millisecond, slowdown: 4,
		coldFor: 5 * time.Second, fallenFor: time.Second,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

func TestColdServer(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	for _, slots := range []int{2, 6} {
		convey.Convey(fmt.Sprintf("A cold server of %d slots never falls over, and gets full load when warm", slots), t, func() {
			for seed := range uint64(seeds) {
				m := newModel(slots, seed)
				m.coldUntil = begin.Add(m.coldFor)
				l := New(slots, begin)
				drive(l, m, begin, 25*time.Second, nil)
				convey.So(m.falls, convey.ShouldEqual, 0)
				convey.So(l.State(), convey.ShouldEqual, Warm)
				convey.So(l.Limit(), convey.ShouldEqual, slots)
			}
		})
		convey.Convey(fmt.Sprintf("A server of %d slots that turns cold under full load falls over once at most", slots), t, func() {
			for seed := range uint64(seeds) {
				m := newModel(slots, seed)
				l := New(slots, begin)
				drive(l, m, begin, 15*time.Second, nil)
				convey.So(l.State(), convey.ShouldEqual, Warm)
				chilled := begin.Add(15 * time.Second)
				m.coldUntil = chilled.Add(m.coldFor)
				m.maxCold = 0
				drive(l, m, chilled, 35*time.Second, nil)
				convey.So(m.falls, convey.ShouldBeLessThanOrEqualTo, 1)
				convey.So(m.fellCold, convey.ShouldBeLessThanOrEqualTo, 1)
				convey.So(l.LimitResets(), convey.ShouldBeGreaterThan, 0)
				convey.So(l.State(), convey.ShouldEqual, Warm)
			}
		})
	}
}

func TestBackendServerThatFails(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	cases := []struct {
		name    string
		outcome Outcome
		weight  uint16
	}{
		{"resets", Reset, failingWeight},
		{"refuses", Refused, failingWeight},
		{"takes no connection", Unreachable, failingWeight},
		{"answers 500", Failed, failingWeight},
	}
	for _, c := range cases {
		for _, well := range []bool{true, false} {
			convey.Convey(fmt.Sprintf("A server that %s gets few requests, health endpoint well: %v", c.name, well), t, func() {
				l := New(2, begin)
				started := 0
				for now := begin; now.Before(begin.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
					if now.UnixMilli()%25 == 0 {
						l.UpdateHealth(well, now)
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
	convey.Convey("A health endpoint that says ill while all requests succeed takes nothing away", t, func() {
		m := newModel(2, 1)
		l := New(2, begin)
		drive(l, m, begin, 10*time.Second, func(now time.Time) { l.UpdateHealth(false, now) })
		convey.So(l.State(), convey.ShouldEqual, Warm)
	})
	convey.Convey("A health endpoint that stays ill after a failure delays the next try within a bound", t, func() {
		l := New(2, begin)
		l.TryStart(begin)
		l.Finish(Sample{Outcome: Reset}, begin)
		now := begin
		for l.InBackoff(now) {
			now = now.Add(10 * time.Millisecond)
			l.UpdateHealth(false, now)
		}
		convey.So(now.Sub(begin), convey.ShouldBeLessThanOrEqualTo, maxHintedPause)
		convey.So(now.Sub(begin), convey.ShouldBeGreaterThan, initialPause)
	})
	convey.Convey("A server that holds requests and answers none falls back to one", t, func() {
		m := newModel(2, 1)
		l := New(2, begin)
		drive(l, m, begin, 10*time.Second, nil)
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
	convey.Convey("A changed instance is cold", t, func() {
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
	convey.Convey("Short deadlines and callers that give up do not count against the server", t, func() {
		m := newModel(2, 1)
		l := New(2, begin)
		drive(l, m, begin, 10*time.Second, nil)
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
