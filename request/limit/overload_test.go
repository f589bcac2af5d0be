package limit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
)

const (
	simSlots       = 6
	simServiceTime = 20 * time.Millisecond
	simDeadline    = time.Second
	simWarmUp      = 15 * time.Second
	simSpan        = 30 * time.Second
	simMaxRetries  = 2
)

// admitter starts and refuses the requests to a server.
type admitter interface {
	arrive(id lifecycle.ID, deadline, now time.Time) (started, refused []lifecycle.ID)
	finish(sample limit.Sample, now time.Time) (started, refused []lifecycle.ID)
	tick(now time.Time) (started, refused []lifecycle.ID)
}

// adaptiveAdmitter is the controller under test.
type adaptiveAdmitter struct{ controller *lifecycle.Controller }

func split(actions []lifecycle.Action) (started, refused []lifecycle.ID) {
	for _, a := range actions {
		switch a.Kind {
		case lifecycle.ActionStart:
			started = append(started, a.ID)
		case lifecycle.ActionRefuse:
			refused = append(refused, a.ID)
		case lifecycle.ActionAnnounce:
		}
	}
	return started, refused
}

func (a adaptiveAdmitter) arrive(id lifecycle.ID, deadline, now time.Time) (started, refused []lifecycle.ID) {
	return split(a.controller.Arrive(id, deadline, now))
}

func (a adaptiveAdmitter) finish(s limit.Sample, now time.Time) (started, refused []lifecycle.ID) {
	return split(a.controller.Finish(s, now))
}

func (a adaptiveAdmitter) tick(now time.Time) (started, refused []lifecycle.ID) {
	return split(a.controller.Tick(now))
}

// fixedAdmitter is the baseline: a fixed limit and a FIFO queue.
type fixedAdmitter struct {
	running, limit int
	waiting        []lifecycle.ID
}

func (f *fixedAdmitter) startWaiting() (started, refused []lifecycle.ID) {
	for f.running < f.limit && len(f.waiting) > 0 {
		started = append(started, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
	return started, nil
}

func (f *fixedAdmitter) arrive(id lifecycle.ID, _, _ time.Time) (started, refused []lifecycle.ID) {
	f.waiting = append(f.waiting, id)
	return f.startWaiting()
}

func (f *fixedAdmitter) finish(limit.Sample, time.Time) (started, refused []lifecycle.ID) {
	f.running--
	return f.startWaiting()
}

func (f *fixedAdmitter) tick(time.Time) (started, refused []lifecycle.ID) { return f.startWaiting() }

type simRequest struct {
	arrived, started, deadline time.Time
	attempt                    int
	ran, refused               bool
}

type simInFlight struct {
	id      lifecycle.ID
	end     time.Time
	outcome limit.Outcome
	crashes int
}

// simulation runs callers, an admitter and a server in virtual time.
type simulation struct {
	admitter    admitter
	server      *limit.SimServer
	random      *rand.Rand
	requests    map[lifecycle.ID]*simRequest
	inFlight    []simInFlight
	retries     map[int64][]int // by time in ms: attempts made before
	measureFrom time.Time

	offered, attempts, inTime, refused, lost, late int
	ranRefused                                     int
	latencies                                      []float64
}

func newSimulation(a admitter, seed uint64) *simulation {
	return &simulation{
		admitter: a,
		server:   limit.NewSimServer(simSlots, seed),
		random:   rand.New(rand.NewPCG(seed, 99)),
		requests: make(map[lifecycle.ID]*simRequest),
		retries:  make(map[int64][]int),
	}
}

func (s *simulation) poisson(mean float64) int {
	n, p, bound := 0, 1.0, math.Exp(-mean)
	for {
		p *= s.random.Float64()
		if p < bound {
			return n
		}
		n++
	}
}

func (s *simulation) run(load float64, begin time.Time) {
	capacity := float64(simSlots) / simServiceTime.Seconds()
	s.measureFrom = begin.Add(simWarmUp)
	end := s.measureFrom.Add(simSpan)
	for now := begin; now.Before(end); now = now.Add(time.Millisecond) {
		rate := load
		if now.Before(s.measureFrom) {
			rate = min(load, 0.8)
		}
		s.finishDue(now)
		for range s.poisson(rate * capacity / 1000) {
			s.offer(0, now)
		}
		for _, attempt := range s.retries[now.UnixMilli()] {
			s.offer(attempt, now)
		}
		s.apply(now)(s.admitter.tick(now))
	}
}

func (s *simulation) measured(r *simRequest) bool { return !r.arrived.Before(s.measureFrom) }

func (s *simulation) offer(attempt int, now time.Time) {
	id := lifecycle.ID(len(s.requests) + 1)
	r := &simRequest{arrived: now, deadline: now.Add(simDeadline), attempt: attempt}
	s.requests[id] = r
	if s.measured(r) {
		s.attempts++
		if attempt == 0 {
			s.offered++
		}
	}
	s.apply(now)(s.admitter.arrive(id, r.deadline, now))
}

func (s *simulation) apply(now time.Time) func(started, refused []lifecycle.ID) {
	return func(started, refused []lifecycle.ID) {
		for _, id := range started {
			s.begin(id, now)
		}
		for _, id := range refused {
			s.refuse(id, now)
		}
	}
}

func (s *simulation) begin(id lifecycle.ID, now time.Time) {
	r := s.requests[id]
	if r.refused {
		s.ranRefused++
	}
	r.ran = true
	r.started = now
	end, outcome := s.server.Send(now)
	s.inFlight = append(s.inFlight, simInFlight{id, end, outcome, s.server.Crashes()})
}

func (s *simulation) refuse(id lifecycle.ID, now time.Time) {
	r := s.requests[id]
	r.refused = true
	if r.ran {
		s.ranRefused++
	}
	if s.measured(r) {
		s.refused++
	}
	if r.attempt < simMaxRetries {
		wait := time.Duration((0.5 + s.random.Float64()) * float64(time.Second))
		tick := now.Add(wait).UnixMilli()
		s.retries[tick] = append(s.retries[tick], r.attempt+1)
	}
}

func (s *simulation) finishDue(now time.Time) {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, f := range inFlight {
		if f.crashes != s.server.Crashes() {
			f.end, f.outcome = now, limit.Reset
		}
		if f.end.After(now) {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		r := s.requests[f.id]
		s.record(r, f.outcome, now)
		s.apply(now)(s.admitter.finish(limit.Sample{Outcome: f.outcome, Latency: now.Sub(r.started)}, now))
	}
}

func (s *simulation) record(r *simRequest, outcome limit.Outcome, now time.Time) {
	switch {
	case !s.measured(r):
	case outcome != limit.Succeeded:
		s.lost++
	case now.After(r.deadline):
		s.late++
	default:
		s.inTime++
		s.latencies = append(s.latencies, float64(now.Sub(r.arrived))/float64(time.Millisecond))
	}
}

func (s *simulation) percentile(p float64) float64 {
	slices.Sort(s.latencies)
	return s.latencies[int(p*float64(len(s.latencies)-1))]
}

// goodput returns the responses before the deadline as a share of the capacity.
func (s *simulation) goodput() float64 {
	return float64(s.inTime) / (float64(simSlots) / simServiceTime.Seconds() * simSpan.Seconds())
}

func TestOverload(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	policies := []struct {
		name string
		make func() admitter
	}{
		{"adaptive", func() admitter { return adaptiveAdmitter{lifecycle.NewController(simSlots, 2000, begin)} }},
		{"fixed_limit", func() admitter { return &fixedAdmitter{limit: simSlots} }},
		{"no_limit", func() admitter { return &fixedAdmitter{limit: math.MaxInt} }},
	}
	convey.Convey("Under overload goodput stays near the capacity, and no refused request has run", t, func() {
		for _, load := range []float64{0.5, 1, 1.5, 3} {
			for _, policy := range policies {
				s := newSimulation(policy.make(), 7)
				s.run(load, begin)
				name := fmt.Sprintf("overload/%s/%gx", policy.name, load)
				fmt.Printf("bench %s/goodput %.3f of_capacity\n", name, s.goodput())
				if s.inTime > 0 {
					fmt.Printf("bench %s/p50 %.1f ms\n", name, s.percentile(0.5))
					fmt.Printf("bench %s/p99 %.1f ms\n", name, s.percentile(0.99))
				}
				fmt.Printf("bench %s/refused %.3f of_tries\n", name, float64(s.refused)/float64(s.attempts))
				fmt.Printf("bench %s/lost_or_late %.3f of_tries\n", name, float64(s.lost+s.late)/float64(s.attempts))
				fmt.Printf("bench %s/tries %.2f per_request\n", name, float64(s.attempts)/float64(s.offered))
				convey.So(s.ranRefused, convey.ShouldEqual, 0)
				if policy.name != "adaptive" {
					continue
				}
				convey.So(s.server.Crashes(), convey.ShouldEqual, 0)
				convey.So(s.goodput(), convey.ShouldBeGreaterThan, 0.9*min(load, 1))
				convey.So(s.lost+s.late, convey.ShouldEqual, 0)
				convey.So(float64(s.attempts)/float64(s.offered), convey.ShouldBeLessThanOrEqualTo, 1+simMaxRetries)
			}
		}
	})
}

// TestColdRamp measures the load that a cold server gets in relation to its
// capacity, while there are always more requests than it can run.
func TestColdRamp(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	convey.Convey("A cold server never gets more than its capacity, and soon gets full load once warm", t, func() {
		for _, slots := range []int{2, 6} {
			for _, turnsCold := range []bool{false, true} {
				ramp := newRampRun(slots)
				if turnsCold {
					ramp.run(begin, 15*time.Second)
					begin = begin.Add(15 * time.Second)
				}
				ramp.server.MarkCold(begin)
				ramp.run(begin, 20*time.Second)
				name := fmt.Sprintf("cold/slots_%d/started_cold", slots)
				if turnsCold {
					name = fmt.Sprintf("cold/slots_%d/gone_cold_under_load", slots)
				}
				fmt.Printf("bench %s/falls %d times\n", name, ramp.server.Crashes())
				fmt.Printf("bench %s/largest_share_while_cold %.2f of_borne\n", name, ramp.maxColdShare)
				fmt.Printf("bench %s/full_load_after_warm %.2f s\n", name, ramp.fullLoadAt.Sub(ramp.warmAt).Seconds())
				for i, share := range ramp.shares {
					fmt.Printf("bench %s/share_at_%02ds %.2f of_borne\n", name, i, share)
				}
				convey.So(ramp.server.Crashes(), convey.ShouldBeLessThanOrEqualTo, 1)
				if !turnsCold {
					convey.So(ramp.maxColdShare, convey.ShouldBeLessThanOrEqualTo, 1)
				}
				convey.So(ramp.fullLoadAt.IsZero(), convey.ShouldBeFalse)
			}
		}
	})
}

// rampRun keeps the server as busy as the limit allows.
type rampRun struct {
	limiter      *limit.Limiter
	server       *limit.SimServer
	inFlight     []simInFlight
	started      map[lifecycle.ID]time.Time
	next         lifecycle.ID
	slots        int
	warmAt       time.Time
	fullLoadAt   time.Time
	maxColdShare float64
	shares       []float64
}

func newRampRun(slots int) *rampRun {
	return &rampRun{
		limiter: limit.New(slots, time.Unix(1_000_000, 0)),
		server:  limit.NewSimServer(slots, 3),
		started: make(map[lifecycle.ID]time.Time),
		slots:   slots,
	}
}

func (r *rampRun) run(begin time.Time, span time.Duration) {
	r.warmAt, r.fullLoadAt, r.maxColdShare, r.shares = begin, time.Time{}, 0, nil
	sum, samples := 0.0, 0
	crashes := r.server.Crashes()
	for now := begin; now.Before(begin.Add(span)); now = now.Add(time.Millisecond) {
		r.finishDue(now)
		for r.limiter.TryStart(now) {
			r.next++
			r.started[r.next] = now
			end, outcome := r.server.Send(now)
			r.inFlight = append(r.inFlight, simInFlight{r.next, end, outcome, r.server.Crashes()})
		}
		r.limiter.Tick(now)
		share := float64(r.limiter.InFlight()) / float64(r.server.Capacity(now))
		if r.server.Capacity(now) < 3*r.slots {
			r.warmAt = now
			if r.server.Crashes() == crashes {
				r.maxColdShare = max(r.maxColdShare, share)
			}
		} else if r.limiter.Limit() == r.slots && r.fullLoadAt.Before(r.warmAt) {
			r.fullLoadAt = now
		}
		sum += share
		if samples++; samples == 1000 {
			r.shares = append(r.shares, sum/1000)
			sum, samples = 0, 0
		}
	}
}

func (r *rampRun) finishDue(now time.Time) {
	inFlight := r.inFlight
	r.inFlight = nil
	for _, f := range inFlight {
		if f.crashes != r.server.Crashes() {
			f.end, f.outcome = now, limit.Reset
		}
		if f.end.After(now) {
			r.inFlight = append(r.inFlight, f)
			continue
		}
		r.limiter.Finish(limit.Sample{Outcome: f.outcome, Latency: now.Sub(r.started[f.id])}, now)
	}
}
