package hedge

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

// The service of docs/design/load.md: servers with 4 slots of three speeds, requests of 47 ms of
// which 3% take seven times as long, and a latency target of 400 ms.
const (
	slots     = 4
	work      = 47 * time.Millisecond
	tailShare = 0.03
	tailWork  = 7
	handshake = 8 * time.Millisecond
	target    = 400 * time.Millisecond
	balancers = 22
	length    = 20 * time.Second
	warmUp    = 3 * time.Second
	// resolution is the resolution of the times of events.
	resolution = time.Millisecond
)

var speeds = [...]float64{0.6, 1.0, 1.6}

// backend is a server and the admission queue of its agent.
type backend struct {
	agent         passthrough.Endpoint
	speed         float64
	hangs         bool
	pending, busy int
	waiting       []*call
}

type call struct {
	flow     passthrough.Flow
	openedAt time.Duration
	hedger   *Hedger
	answered bool
}

// stream is a seeded stream of arrivals at the hedgers of all balancers.
type stream struct {
	random *rand.Rand
	now    time.Duration
	// events holds what happens in each millisecond.
	events   [(length + 5*time.Second) / resolution][]func()
	backends []*backend
	hedgers  []*Hedger
	calls    []*call
	// latencies are the times until the responses, openings and extra the openings and second
	// copies by second.
	latencies       []time.Duration
	openings, extra [length/time.Second + 1]int
}

// play runs the stream at a share of the capacity with a number of hanging servers.
func play(limit, load float64, hanging int) *stream {
	s := &stream{random: rand.New(rand.NewPCG(8, 1))}
	capacity := 0.0
	for i := range 45 {
		b := &backend{agent: passthrough.Endpoint(i + 1), speed: speeds[i%len(speeds)], hangs: i < hanging}
		s.backends = append(s.backends, b)
		capacity += slots / (handshake.Seconds() + work.Seconds()/b.speed*(1+tailShare*(tailWork-1)))
	}
	for range balancers {
		s.hedgers = append(s.hedgers, New(limit))
	}
	for at := time.Duration(0); at < length; at += time.Duration(s.random.ExpFloat64() / (load * capacity) * float64(time.Second)) {
		c := &call{openedAt: at, hedger: s.hedgers[s.random.IntN(balancers)], flow: flowOf(len(s.calls))}
		s.calls = append(s.calls, c)
		s.after(at, func() { s.arrive(c) })
	}
	for i := range s.events {
		s.now = time.Duration(i) * resolution
		for k := 0; k < len(s.events[i]); k++ {
			s.events[i][k]()
		}
		for _, h := range s.hedgers {
			if h != nil && i%5 == 0 {
				h.Due(s.now, s.second)
			}
		}
	}
	slices.Sort(s.latencies)
	return s
}

func (s *stream) after(d time.Duration, do func()) {
	i := (s.now + d) / resolution
	s.events[i] = append(s.events[i], do)
}

// choose returns the less loaded of two servers.
func (s *stream) choose() *backend {
	a, b := s.backends[s.random.IntN(len(s.backends))], s.backends[s.random.IntN(len(s.backends))]
	if float64(b.pending)/b.speed < float64(a.pending)/a.speed {
		return b
	}
	return a
}

func (s *stream) arrive(c *call) {
	s.openings[s.now/time.Second]++
	first := s.choose()
	if c.hedger != nil {
		c.hedger.Opened(Opening{Flow: c.flow, Service: "feed", First: first.agent, Packet: []byte{1}}, s.now)
	}
	s.open(first, c)
	s.after(attemptLimit, func() {
		if !c.answered {
			s.latencies = append(s.latencies, attemptLimit)
		}
	})
}

func (s *stream) second(o *Opening) passthrough.Endpoint {
	b := s.choose()
	if b.agent == o.First || !(Server{Ready: true, Slots: slots, Pending: float64(b.pending)}).Accepts() {
		return 0
	}
	s.extra[s.now/time.Second]++
	s.open(b, s.calls[o.Flow.Caller])
	return b.agent
}

// open delivers an opening packet to a server. Openings at a hanging server are pending for as
// long as an agent reserves a slot for them.
func (s *stream) open(b *backend, c *call) {
	b.pending++
	if b.hangs {
		s.after(200*time.Millisecond, func() { b.pending-- })
		return
	}
	b.waiting = append(b.waiting, c)
	s.admit(b)
}

func (s *stream) admit(b *backend) {
	for ; b.busy < slots && len(b.waiting) > 0; b.waiting = b.waiting[1:] {
		c := b.waiting[0]
		b.busy++
		s.after(handshake, func() { s.answer(b, c) })
	}
}

// answer is the caller's first packet on the opened flow, with its request.
func (s *stream) answer(b *backend, c *call) {
	duration := time.Duration(0)
	if !c.answered && s.now-c.openedAt < attemptLimit {
		c.answered = true
		if c.hedger != nil {
			c.hedger.Answered(c.flow, s.now)
			c.hedger.Settled(c.flow, b.agent)
		}
		duration = time.Duration(float64(work) / b.speed)
		if s.random.Float64() < tailShare {
			duration *= tailWork
		}
		s.latencies = append(s.latencies, s.now+duration-c.openedAt)
	}
	s.after(duration, func() {
		b.busy--
		b.pending--
		s.admit(b)
	})
}

func (s *stream) percentile(p float64) time.Duration {
	return s.latencies[int(p*float64(len(s.latencies)-1))]
}

// TestCallers guards against second copies that do not shorten the tail of callers, that exceed
// the limit of the operators in any second, or that take capacity from first copies.
func TestCallers(t *testing.T) {
	const limit = 0.05
	report := func(name string, s *stream) (extraAfterWarmUp int) {
		var sum Counters
		for _, h := range s.hedgers {
			c := h.Counters()
			sum = Counters{sum.HedgesSent + c.HedgesSent, sum.HedgesWon + c.HedgesWon, sum.HedgesWasted + c.HedgesWasted}
		}
		for _, extra := range s.extra[warmUp/time.Second:] {
			extraAfterWarmUp += extra
		}
		t.Log(name, s.percentile(0.99), s.percentile(0.999), "openings", len(s.calls), "sent, won, wasted", sum)
		convey.So(sum.HedgesWon+sum.HedgesWasted, convey.ShouldEqual, sum.HedgesSent)
		return extraAfterWarmUp
	}
	convey.Convey("At 70% of capacity with a server that hangs, 99% of callers are answered in time and 99.9% in one attempt", t, func() {
		without, with := play(0, 0.7, 1), play(limit, 0.7, 1)
		report("hanging server, without:", without)
		convey.So(report("hanging server, with:", with), convey.ShouldBeGreaterThan, 0)
		convey.So(without.percentile(0.99), convey.ShouldBeGreaterThan, target)
		convey.So(with.percentile(0.99), convey.ShouldBeLessThanOrEqualTo, target)
		convey.So(with.percentile(0.999), convey.ShouldBeLessThan, attemptLimit)
		for second, openings := range with.openings {
			convey.So(with.extra[second], convey.ShouldBeLessThanOrEqualTo, limit*float64(openings)+balancers*maxTokens)
		}
	})
	convey.Convey("Without such a server, the tail is the work of single requests and does not grow", t, func() {
		without, with := play(0, 0.7, 0), play(limit, 0.7, 0)
		report("without:", without)
		report("with:", with)
		longest := handshake + time.Duration(tailWork*float64(work)/speeds[0])
		convey.So(with.percentile(0.99), convey.ShouldBeLessThanOrEqualTo, without.percentile(0.99)+resolution)
		convey.So(with.percentile(0.999), convey.ShouldBeLessThanOrEqualTo, max(longest, without.percentile(0.999)))
	})
	convey.Convey("At 110% of capacity, no second copy is sent", t, func() {
		convey.So(report("110% of capacity, with:", play(limit, 1.1, 0)), convey.ShouldEqual, 0)
	})
}
