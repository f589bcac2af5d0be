package backlog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/servicetime"
)

// handshake is the time from an opening packet at the agent to the first request.
const handshake = 10 * time.Millisecond

// kind is a kind of request of the ordering desk.
type kind struct {
	priority      uint8
	perS          float64
	work, target  time.Duration
	offered       int
	answered      int
	inTime, reset int
}

// attempt is a caller's attempt to open a flow.
type attempt struct {
	kind            *kind
	flow            passthrough.Flow
	started, sentAt time.Duration
	copies          int
	tries           int
	forwarded       time.Duration
	finished        bool
}

// stream is a seeded stream of callers against the decisions for one server, in steps of a
// millisecond.
type stream struct {
	random    *rand.Rand
	kinds     []*kind
	slots     int
	slowness  float64
	now       time.Duration
	b         *Backlog
	estimator servicetime.Estimator
	attempts  map[passthrough.Flow]*attempt
	order     []*attempt
	opening   []*attempt
	queued    []*attempt
	// running holds the attempts in service and the times at which they end.
	running map[*attempt]time.Duration
	flows   uint32
}

func newStream(seed uint64, slots int, kinds ...*kind) *stream {
	return &stream{
		random: rand.New(rand.NewPCG(seed, 5)), kinds: kinds, slots: slots, slowness: 1, b: New(), //nolint:gosec // reproducible
		attempts: map[passthrough.Flow]*attempt{}, running: map[*attempt]time.Duration{},
	}
}

func (s *stream) load() Load {
	service, _ := s.estimator.Mean()
	return Load{Slots: s.slots, ServiceTime: service, Requests: len(s.queued) + len(s.running)}
}

// start lets a caller send its first packet. started is the time of its first attempt.
func (s *stream) start(k *kind, started time.Duration, tries int) {
	s.flows++
	a := &attempt{kind: k, started: started, sentAt: s.now, tries: tries, flow: passthrough.Flow{Caller: passthrough.MakeEndpoint(s.flows, 1)}}
	s.attempts[a.flow] = a
	s.order = append(s.order, a)
	s.send(a)
}

func (s *stream) send(a *attempt) {
	o := Opening{Flow: a.flow, Copy: uint32(a.copies), Priority: a.kind.priority, Target: a.kind.target}
	a.copies++
	switch s.b.Arrive(o, s.load(), s.now).Decision {
	case Forward:
		s.forward(a)
	case Refuse:
		s.reset(a)
	case Wait, PassOn:
	}
}

func (s *stream) forward(a *attempt) {
	s.b.Reserve(a.flow, s.now)
	a.forwarded = s.now
	s.opening = append(s.opening, a)
}

func (s *stream) reset(a *attempt) {
	a.finished = true
	a.kind.reset++
	if a.tries < 2 {
		s.start(a.kind, a.started, a.tries+1)
	}
}

// step advances the time by a millisecond.
func (s *stream) step() {
	s.now += time.Millisecond
	for _, k := range s.kinds {
		for chance := k.perS / 1000; s.random.Float64() < chance; chance-- {
			k.offered++
			s.start(k, s.now, 0)
		}
	}
	s.serve()
	for len(s.order) > 0 && s.now-s.order[0].sentAt > attemptLimit {
		if a := s.order[0]; !a.finished && a.forwarded == 0 {
			s.b.Remove(a.flow)
			s.reset(a)
		}
		s.order = s.order[1:]
	}
	for _, a := range s.order {
		if !a.finished && a.forwarded == 0 && a.copies < len(copyAges) && s.now-a.sentAt >= copyAges[a.copies] {
			s.send(a)
		}
	}
	if s.now%(50*time.Millisecond) == 0 {
		for _, e := range s.b.Expire(s.load(), s.now) {
			s.reset(s.attempts[e.Flow])
		}
	}
	for {
		e, expired := s.b.Next(s.load(), s.now)
		if e == nil {
			return
		}
		if !expired {
			s.forward(s.attempts[e.Flow])
		}
	}
}

// serve advances the server.
func (s *stream) serve() {
	for len(s.opening) > 0 && s.now-s.opening[0].forwarded >= handshake {
		a := s.opening[0]
		s.opening, s.queued = s.opening[1:], append(s.queued, a)
		s.b.Started(a.flow, a.forwarded, s.now)
		s.estimator.Observe(min(s.slots, s.load().Requests), s.now)
	}
	for a, end := range s.running {
		if s.now < end {
			continue
		}
		delete(s.running, a)
		a.finished = true
		a.kind.answered++
		if s.now+handshake/2-a.started <= a.kind.target {
			a.kind.inTime++
		}
		s.estimator.Complete(s.now)
		s.estimator.Observe(min(s.slots, s.load().Requests), s.now)
	}
	for len(s.queued) > 0 && len(s.running) < s.slots {
		a := s.queued[0]
		s.queued = s.queued[1:]
		// Half of the work varies exponentially.
		work := float64(a.kind.work) * s.slowness * (0.5 + 0.5*s.random.ExpFloat64())
		s.running[a] = s.now + time.Duration(work)
	}
}

func (s *stream) run(length time.Duration) {
	for end := s.now + length; s.now < end; {
		s.step()
	}
}

// desk returns the queries and orders of the ordering desk at a share of the capacity of a
// server, with a fifth of orders.
func desk(slots int, load float64) (queries, orders *kind) {
	queries = &kind{priority: 2, work: 30 * time.Millisecond, target: 250 * time.Millisecond}
	orders = &kind{priority: 1, work: 39 * time.Millisecond, target: 300 * time.Millisecond}
	perS := load * capacity(slots)
	queries.perS, orders.perS = perS*0.8, perS*0.2
	return queries, orders
}

// capacity returns the requests per second that a server can complete.
func capacity(slots int) float64 { return float64(slots) / (0.8*0.030 + 0.2*0.039) }

// usefulWork returns the slot time of the requests that were answered in time so far.
func (s *stream) usefulWork() (work time.Duration) {
	for _, k := range s.kinds {
		work += time.Duration(float64(k.inTime) * float64(k.work) * s.slowness)
	}
	return work
}

// TestSustainedOverload guards against goodput that collapses above the capacity: the server
// works on requests whose callers no longer wait for them, and orders suffer as much as queries.
func TestSustainedOverload(t *testing.T) {
	convey.Convey("At 110% of capacity for 8 s, 85% of capacity is answered in time and 99% of the orders are answered", t, func() {
		const servers = 45
		inTime, answered, offered := 0, 0, 0
		for seed := range uint64(servers) {
			queries, orders := desk(2, 1.1)
			s := newStream(seed, 2, queries, orders)
			s.run(8 * time.Second)
			inTime += queries.inTime + orders.inTime
			queries.perS, orders.perS = 0, 0
			s.run(2 * time.Second)
			answered += orders.answered
			offered += orders.offered
			convey.So(s.b.Len(), convey.ShouldEqual, 0)
		}
		t.Logf("in time %.3f of capacity, orders answered %.4f", float64(inTime)/(8*capacity(2)*servers), float64(answered)/float64(offered))
		convey.So(float64(inTime), convey.ShouldBeGreaterThan, 0.85*8*capacity(2)*servers)
		convey.So(float64(answered), convey.ShouldBeGreaterThan, 0.99*float64(offered))
	})
}

// TestReturnAfterLoss guards against a return in which the callers that have waited longest
// take the capacity, so that the others become late too.
func TestReturnAfterLoss(t *testing.T) {
	convey.Convey("Slow servers with the callers of a second: the second window of 2 s serves 90% of what they can in time", t, func() {
		const servers, slowness = 45, 1.6
		var useful time.Duration
		for seed := range uint64(servers) {
			queries, orders := desk(2, 0.8)
			s := newStream(seed, 2, queries, orders)
			s.slowness = slowness
			s.now = 10 * time.Second
			for age := range 1000 {
				for _, k := range s.kinds {
					for chance := k.perS / 1000; s.random.Float64() < chance; chance-- {
						s.start(k, s.now-time.Duration(age)*time.Millisecond, 1)
					}
				}
			}
			s.run(2 * time.Second)
			before := s.usefulWork()
			s.run(2 * time.Second)
			useful += s.usefulWork() - before
		}
		share := useful.Seconds() / (2 * 2 * servers)
		t.Logf("in time %.3f of what the servers can", share)
		convey.So(share, convey.ShouldBeGreaterThan, 0.9)
	})
}

// TestBurst guards against refusals in ordinary seconds: at 60% load a short wait serves
// everyone in time.
func TestBurst(t *testing.T) {
	convey.Convey("At 60% load, with one agent that sees 25 openings a second and more, almost nothing is late", t, func() {
		inTime, offered := 0, 0
		for seed := range uint64(20) {
			queries, orders := desk(2, 0.6)
			s := newStream(seed, 2, queries, orders)
			s.run(10 * time.Second)
			inTime += queries.inTime + orders.inTime
			offered += queries.offered + orders.offered
		}
		t.Logf("in time %.4f", float64(inTime)/float64(offered))
		convey.So(float64(inTime), convey.ShouldBeGreaterThan, 0.99*float64(offered))
	})
}
