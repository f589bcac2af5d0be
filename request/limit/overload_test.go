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
	"bergamotbank/request/queue"
)

const (
	simSlots    = 6
	simWork     = 20 * time.Millisecond
	simDeadline = time.Second
	simWarmUp   = 15 * time.Second
	simSpan     = 30 * time.Second
	simRepeats  = 2
)

// admitter is what stands before the server: it starts and refuses requests.
type admitter interface {
	arrive(id queue.ID, deadline, now time.Time) (started, refused []queue.ID)
	finish(sample limit.Sample, now time.Time) (started, refused []queue.ID)
	tick(now time.Time) (started, refused []queue.ID)
}

// adaptive is the product.
type adaptive struct{ c *lifecycle.Controller }

func split(actions []lifecycle.Action) (started, refused []queue.ID) {
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

func (a adaptive) arrive(id queue.ID, deadline, now time.Time) (started, refused []queue.ID) {
	return split(a.c.Arrive(id, deadline, now))
}

func (a adaptive) finish(s limit.Sample, now time.Time) (started, refused []queue.ID) {
	return split(a.c.Finish(s, now))
}

func (a adaptive) tick(now time.Time) (started, refused []queue.ID) {
	return split(a.c.Tick(now))
}

// fixed is a limit equal to the slots with a queue in order of arrival.
type fixed struct {
	running, limit int
	waiting        []queue.ID
}

func (f *fixed) start() (started, refused []queue.ID) {
	for f.running < f.limit && len(f.waiting) > 0 {
		started = append(started, f.waiting[0])
		f.waiting = f.waiting[1:]
		f.running++
	}
	return started, nil
}

func (f *fixed) arrive(id queue.ID, _, _ time.Time) (started, refused []queue.ID) {
	f.waiting = append(f.waiting, id)
	return f.start()
}

func (f *fixed) finish(limit.Sample, time.Time) (started, refused []queue.ID) {
	f.running--
	return f.start()
}

func (f *fixed) tick(time.Time) (started, refused []queue.ID) { return f.start() }

type simRequest struct {
	arrived, started, deadline time.Time
	tries                      int
	begun, refused             bool
}

type simFlight struct {
	id      queue.ID
	end     time.Time
	outcome limit.Outcome
	falls   int
}

// simulation runs callers, an admitter and a server in virtual time.
type simulation struct {
	gate     admitter
	model    *limit.Model
	random   *rand.Rand
	requests map[queue.ID]*simRequest
	flights  []simFlight
	repeats  map[int64][]int // tick → tries made so far
	measure  time.Time

	offered, tries, good, refused, lost, late int
	ranRefused                                int
	latencies                                 []float64
}

func newSimulation(gate admitter, seed uint64) *simulation {
	return &simulation{
		gate:     gate,
		model:    limit.NewModel(simSlots, seed),
		random:   rand.New(rand.NewPCG(seed, 99)),
		requests: make(map[queue.ID]*simRequest),
		repeats:  make(map[int64][]int),
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
	capacity := float64(simSlots) / simWork.Seconds()
	s.measure = begin.Add(simWarmUp)
	end := s.measure.Add(simSpan)
	for now := begin; now.Before(end); now = now.Add(time.Millisecond) {
		rate := load
		if now.Before(s.measure) {
			rate = min(load, 0.8)
		}
		s.finishDue(now)
		for range s.poisson(rate * capacity / 1000) {
			s.offer(0, now)
		}
		for _, tries := range s.repeats[now.UnixMilli()] {
			s.offer(tries, now)
		}
		s.apply(now)(s.gate.tick(now))
	}
}

func (s *simulation) counts(r *simRequest) bool { return !r.arrived.Before(s.measure) }

func (s *simulation) offer(tries int, now time.Time) {
	id := queue.ID(len(s.requests) + 1)
	r := &simRequest{arrived: now, deadline: now.Add(simDeadline), tries: tries}
	s.requests[id] = r
	if s.counts(r) {
		s.tries++
		if tries == 0 {
			s.offered++
		}
	}
	s.apply(now)(s.gate.arrive(id, r.deadline, now))
}

func (s *simulation) apply(now time.Time) func(started, refused []queue.ID) {
	return func(started, refused []queue.ID) {
		for _, id := range started {
			s.begin(id, now)
		}
		for _, id := range refused {
			s.refuse(id, now)
		}
	}
}

func (s *simulation) begin(id queue.ID, now time.Time) {
	r := s.requests[id]
	if r.refused {
		s.ranRefused++
	}
	r.begun = true
	r.started = now
	end, outcome := s.model.Send(now)
	s.flights = append(s.flights, simFlight{id, end, outcome, s.model.Falls()})
}

func (s *simulation) refuse(id queue.ID, now time.Time) {
	r := s.requests[id]
	r.refused = true
	if r.begun {
		s.ranRefused++
	}
	if s.counts(r) {
		s.refused++
	}
	if r.tries < simRepeats {
		wait := time.Duration((0.5 + s.random.Float64()) * float64(time.Second))
		tick := now.Add(wait).UnixMilli()
		s.repeats[tick] = append(s.repeats[tick], r.tries+1)
	}
}

func (s *simulation) finishDue(now time.Time) {
	flights := s.flights
	s.flights = nil
	for _, f := range flights {
		if f.falls != s.model.Falls() {
			f.end, f.outcome = now, limit.Reset
		}
		if f.end.After(now) {
			s.flights = append(s.flights, f)
			continue
		}
		r := s.requests[f.id]
		s.record(r, f.outcome, now)
		s.apply(now)(s.gate.finish(limit.Sample{Outcome: f.outcome, Latency: now.Sub(r.started)}, now))
	}
}

func (s *simulation) record(r *simRequest, outcome limit.Outcome, now time.Time) {
	switch {
	case !s.counts(r):
	case outcome != limit.Succeeded:
		s.lost++
	case now.After(r.deadline):
		s.late++
	default:
		s.good++
		s.latencies = append(s.latencies, float64(now.Sub(r.arrived))/float64(time.Millisecond))
	}
}

func (s *simulation) percentile(p float64) float64 {
	slices.Sort(s.latencies)
	return s.latencies[int(p*float64(len(s.latencies)-1))]
}

// goodput returns the answers in time as a share of the capacity.
func (s *simulation) goodput() float64 {
	return float64(s.good) / (float64(simSlots) / simWork.Seconds() * simSpan.Seconds())
}

func TestOverload(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	policies := []struct {
		name string
		make func() admitter
	}{
		{"adaptive", func() admitter { return adaptive{lifecycle.NewController(simSlots, 2000, begin)} }},
		{"fixed_limit", func() admitter { return &fixed{limit: simSlots} }},
		{"no_limit", func() admitter { return &fixed{limit: math.MaxInt} }},
	}
	convey.Convey("Under overload goodput stays near the capacity, and nothing refused has run", t, func() {
		for _, load := range []float64{0.5, 1, 1.5, 3} {
			for _, policy := range policies {
				s := newSimulation(policy.make(), 7)
				s.run(load, begin)
				name := fmt.Sprintf("overload/%s/%gx", policy.name, load)
				fmt.Printf("bench %s/goodput %.3f of_capacity\n", name, s.goodput())
				if s.good > 0 {
					fmt.Printf("bench %s/p50 %.1f ms\n", name, s.percentile(0.5))
					fmt.Printf("bench %s/p99 %.1f ms\n", name, s.percentile(0.99))
				}
				fmt.Printf("bench %s/refused %.3f of_tries\n", name, float64(s.refused)/float64(s.tries))
				fmt.Printf("bench %s/lost_or_late %.3f of_tries\n", name, float64(s.lost+s.late)/float64(s.tries))
				fmt.Printf("bench %s/tries %.2f per_request\n", name, float64(s.tries)/float64(s.offered))
				convey.So(s.ranRefused, convey.ShouldEqual, 0)
				if policy.name != "adaptive" {
					continue
				}
				convey.So(s.model.Falls(), convey.ShouldEqual, 0)
				convey.So(s.goodput(), convey.ShouldBeGreaterThan, 0.9*min(load, 1))
				convey.So(s.lost+s.late, convey.ShouldEqual, 0)
				convey.So(float64(s.tries)/float64(s.offered), convey.ShouldBeLessThanOrEqualTo, 1+simRepeats)
			}
		}
	})
}

// TestColdRamp measures how much load a cold server gets against what it bears,
// when the callers want three times its capacity.
func TestColdRamp(t *testing.T) {
	begin := time.Unix(1_000_000, 0)
	convey.Convey("A cold server never gets more than it bears, and soon gets its full load when warm", t, func() {
		for _, slots := range []int{2, 6} {
			for _, gone := range []bool{false, true} {
				ramp := newRampRun(slots)
				if gone {
					ramp.run(begin, 15*time.Second)
					begin = begin.Add(15 * time.Second)
				}
				ramp.model.Chill(begin)
				ramp.run(begin, 20*time.Second)
				name := fmt.Sprintf("cold/slots_%d/started_cold", slots)
				if gone {
					name = fmt.Sprintf("cold/slots_%d/gone_cold_under_load", slots)
				}
				fmt.Printf("bench %s/falls %d times\n", name, ramp.model.Falls())
				fmt.Printf("bench %s/largest_share_while_cold %.2f of_borne\n", name, ramp.largestCold)
				fmt.Printf("bench %s/full_load_after_warm %.2f s\n", name, ramp.fullAt.Sub(ramp.warmAt).Seconds())
				for i, share := range ramp.shares {
					fmt.Printf("bench %s/share_at_%02ds %.2f of_borne\n", name, i, share)
				}
				convey.So(ramp.model.Falls(), convey.ShouldBeLessThanOrEqualTo, 1)
				if !gone {
					convey.So(ramp.largestCold, convey.ShouldBeLessThanOrEqualTo, 1)
				}
				convey.So(ramp.fullAt.IsZero(), convey.ShouldBeFalse)
			}
		}
	})
}

// rampRun keeps the server as busy as the limit lets it.
type rampRun struct {
	limiter     *limit.Limiter
	model       *limit.Model
	flights     []simFlight
	started     map[queue.ID]time.Time
	next        queue.ID
	slots       int
	warmAt      time.Time
	fullAt      time.Time
	largestCold float64
	shares      []float64
}

func newRampRun(slots int) *rampRun {
	return &rampRun{
		limiter: limit.New(slots, time.Unix(1_000_000, 0)),
		model:   limit.NewModel(slots, 3),
		started: make(map[queue.ID]time.Time),
		slots:   slots,
	}
}

func (r *rampRun) run(begin time.Time, span time.Duration) {
	r.warmAt, r.fullAt, r.largestCold, r.shares = begin, time.Time{}, 0, nil
	sum, samples := 0.0, 0
	falls := r.model.Falls()
	for now := begin; now.Before(begin.Add(span)); now = now.Add(time.Millisecond) {
		r.finishDue(now)
		for r.limiter.TryStart(now) {
			r.next++
			r.started[r.next] = now
			end, outcome := r.model.Send(now)
			r.flights = append(r.flights, simFlight{r.next, end, outcome, r.model.Falls()})
		}
		r.limiter.Tick(now)
		share := float64(r.limiter.InFlight()) / float64(r.model.Bears(now))
		if r.model.Bears(now) < 3*r.slots {
			r.warmAt = now
			if r.model.Falls() == falls {
				r.largestCold = max(r.largestCold, share)
			}
		} else if r.limiter.Limit() == r.slots && r.fullAt.Before(r.warmAt) {
			r.fullAt = now
		}
		sum += share
		if samples++; samples == 1000 {
			r.shares = append(r.shares, sum/1000)
			sum, samples = 0, 0
		}
	}
}

func (r *rampRun) finishDue(now time.Time) {
	flights := r.flights
	r.flights = nil
	for _, f := range flights {
		if f.falls != r.model.Falls() {
			f.end, f.outcome = now, limit.Reset
		}
		if f.end.After(now) {
			r.flights = append(r.flights, f)
			continue
		}
		r.limiter.Finish(limit.Sample{Outcome: f.outcome, Latency: now.Sub(r.started[f.id])}, now)
	}
}
