// Package limit decides how many requests a backend server may run at once. It
// is pure: the caller reports what happened and when, and reads the limit.
//
// The limit never exceeds the configured slots. It starts at one, grows while
// requests succeed at a steady latency, and returns to one at the first sign
// that the backend server has turned cold: a refusal, a reset, a timeout, a
// changed instance, or a run of slow answers. The backend server's own health
// endpoint is only a hint, used to try a backend server that could not be
// reached before.
package limit

import "time"

// State is the readiness of a backend server. The numbers are those of the
// announced state.
type State uint8

// The states of a backend server.
const (
	// Cold bears one request at a time.
	Cold State = iota
	// Warming bears more than one request but not yet the full load.
	Warming
	// Warm bears the full load.
	Warm
	// Draining takes no new work.
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Warming:
		return "warming"
	case Warm:
		return "warm"
	case Draining:
		return "draining"
	}
	return "invalid"
}

// Outcome is the way in which a request to the backend server ended.
type Outcome uint8

// The outcomes of a request.
const (
	// Succeeded is a whole answer with a status below 500.
	Succeeded Outcome = iota
	// Failed is a whole answer with status 500 or above that is no refusal.
	Failed
	// Refused is an answer that sheds load: status 429 or 503.
	Refused
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Reset is a connection that ended before the whole answer had arrived.
	Reset
	// TimedOut is an answer that did not arrive by the deadline.
	TimedOut
	// Canceled is a request that its caller gave up. It says nothing about the
	// backend server.
	Canceled
)

const (
	// FullWeight is the weight of a warm backend server.
	FullWeight = 100
	// ColdWeight is the weight of a cold backend server.
	ColdWeight = 10
	// failingWeight is the weight of a backend server that fails its requests.
	failingWeight = 1

	// failedRun is the number of consecutive failed answers that mean a failing
	// server.
	failedRun = 5
	// initialPause is the first wait before a failing server is tried again.
	initialPause = 50 * time.Millisecond
	// maxPause bounds the wait before a failing server is tried again.
	maxPause = 2 * time.Second
	// maxHintedPause bounds the wait when the health endpoint goes on telling that
	// the server is ill.
	maxHintedPause = 5 * time.Second
	// boundDeviations is the number of mean deviations above the latency that few
	// answers exceed.
	boundDeviations = 3
	// stallFactor times the usual latency without any answer is a stall.
	stallFactor = 10
	// stallMargin is added to the bound of a stall.
	stallMargin = time.Second
)

// Sample is the measurement of one finished request.
type Sample struct {
	// Outcome tells how the request ended.
	Outcome Outcome
	// Latency is the time from the start to the header of the answer.
	Latency time.Duration
	// Instance names the instance of the backend server that answered; empty when
	// it did not say.
	Instance string
}

// Limiter holds the limit of one backend server. It is not safe for concurrent
// use.
type Limiter struct {
	slots int
	limit int
	// borne is the largest limit that the server has borne since the last fall. A
	// limit above it is on trial and not announced.
	borne    int
	inFlight int
	draining bool
	warm     bool
	ramp     ramp

	bad        int
	progress   time.Time
	instance   string
	pause      time.Duration
	pauseUntil time.Time
	pauseSince time.Time
	falls      uint64
}

// New returns the limiter of a backend server with the given number of slots,
// at least one. The backend server counts as cold.
func New(slots int, now time.Time) *Limiter {
	l := &Limiter{limit: 1, borne: 1, progress: now, ramp: newRamp(now)}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the number of slots, at least one.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.slots)
	l.borne = min(l.borne, l.slots)
	if l.limit < l.slots {
		l.warm = false
	}
}

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.slots }

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return l.limit }

// InFlight returns the number of requests that run.
func (l *Limiter) InFlight() int { return l.inFlight }

// LimitResets returns how often the limit has fallen back to one.
func (l *Limiter) LimitResets() uint64 { return l.falls }

// Latency returns the latency of the backend server at present, zero when
// unknown.
func (l *Limiter) Latency() time.Duration { return l.ramp.recent }

// LatencyBound returns a latency that few answers exceed at present, zero when
// unknown.
func (l *Limiter) LatencyBound() time.Duration {
	return l.ramp.recent + boundDeviations*l.ramp.deviation
}

// Drain makes the state Draining for good. It does not change the limit, which
// requests already admitted still need.
func (l *Limiter) Drain() { l.draining = true }

// TryStart takes a place for one request, if there is one.
func (l *Limiter) TryStart(now time.Time) bool {
	if l.inFlight >= l.limit || now.Before(l.pauseUntil) {
		return false
	}
	if l.inFlight == 0 {
		l.progress = now
	}
	l.inFlight++
	return true
}

// InBackoff tells whether the backend server has failed so that nothing may start
// at present.
func (l *Limiter) InBackoff(now time.Time) bool { return now.Before(l.pauseUntil) }

// Release gives a place back without a measurement: the request has turned into
// a stream, or was never sent.
func (l *Limiter) Release() {
	if l.inFlight > 0 {
		l.inFlight--
	}
}

// Finish gives a place back with the measurement of its request.
func (l *Limiter) Finish(sample Sample, now time.Time) {
	saturated := l.inFlight >= l.limit
	l.Release()
	l.observe(sample, saturated, now)
}

// Observe takes a measurement without giving a place back.
func (l *Limiter) Observe(sample Sample, now time.Time) {
	l.observe(sample, false, now)
}

func (l *Limiter) observe(sample Sample, saturated bool, now time.Time) {
	if sample.Outcome == Canceled {
		return
	}
	l.progress = now
	if l.instanceChanged(sample.Instance) {
		l.fall(now)
	}
	switch sample.Outcome {
	case Succeeded:
		l.bad = 0
		l.pause = 0
		l.apply(l.ramp.succeed(sample.Latency, saturated, l.limit, now), now)
	case TimedOut:
		l.apply(l.ramp.timeOut(sample.Latency), now)
	case Failed:
		l.fail(now)
	case Refused, Reset, Unreachable:
		l.bad++
		l.fall(now)
		l.lengthenPause(now)
	case Canceled:
	}
}

// apply carries out what the ramp has found.
func (l *Limiter) apply(finding finding, now time.Time) {
	switch finding {
	case findingNone:
	case findingSlow:
		l.fall(now)
	case findingWorse:
		l.limit = max(l.limit-1, 1)
		l.borne = min(l.borne, l.limit)
		l.warm = false
		l.ramp.stepBack(now)
	case findingBears:
		l.grow(now)
	}
}

func (l *Limiter) grow(now time.Time) {
	l.borne = l.limit
	if l.limit == l.slots {
		l.warm = true
		l.ramp.settle(now)
		return
	}
	l.limit++
	l.ramp.stepUp(now)
}

// Tick looks for a backend server that holds requests and answers none.
func (l *Limiter) Tick(now time.Time) {
	usual := l.ramp.usual()
	if l.inFlight == 0 || l.limit == 1 || usual == 0 {
		return
	}
	if now.Sub(l.progress) > stallFactor*usual+stallMargin {
		l.fall(now)
		l.progress = now
	}
}

// UpdateHealth takes what the health endpoint of the backend server tells. It may be
// late or untrue, so it only shifts the end of a pause, within bounds.
func (l *Limiter) UpdateHealth(well bool, now time.Time) {
	if !l.InBackoff(now) {
		return
	}
	if well {
		return
	}
	extended := now.Add(l.pause)
	if latest := l.pauseSince.Add(maxHintedPause); extended.After(latest) {
		extended = latest
	}
	if extended.After(l.pauseUntil) {
		l.pauseUntil = extended
	}
}

func (l *Limiter) instanceChanged(instance string) bool {
	if instance == "" || instance == l.instance {
		return false
	}
	known := l.instance != ""
	l.instance = instance
	return known
}

func (l *Limiter) fail(now time.Time) {
	l.bad++
	if l.bad < failedRun {
		return
	}
	l.fall(now)
	l.lengthenPause(now)
}

// fall returns to one request at a time.
func (l *Limiter) fall(now time.Time) {
	if l.limit > 1 || l.warm {
		l.falls++
	}
	l.ramp.fall(l.warm, now)
	l.limit = 1
	l.borne = 1
	l.warm = false
}

// MarkCold takes the backend server for cold again, as after its failure domain was
// out. It is no fall: nothing failed.
func (l *Limiter) MarkCold(now time.Time) {
	l.ramp = newRamp(now)
	l.limit = 1
	l.borne = 1
	l.warm = false
}

func (l *Limiter) lengthenPause(now time.Time) {
	l.pause = min(max(2*l.pause, initialPause), maxPause)
	l.pauseUntil = now.Add(l.pause)
	l.pauseSince = now
}

// State returns the state to announce.
func (l *Limiter) State() State {
	switch {
	case l.draining:
		return Draining
	case l.warm:
		return Warm
	case l.borne > 1:
		return Warming
	default:
		return Cold
	}
}

// Weight returns the weight to announce, 0 to FullWeight.
func (l *Limiter) Weight() uint16 {
	switch {
	case l.draining:
		return 0
	case l.pause > initialPause:
		return failingWeight
	case l.warm:
		return FullWeight
	case l.borne > 1:
		return uint16(ColdWeight + (FullWeight-ColdWeight)*(l.borne-1)/l.slots)
	default:
		return ColdWeight
	}
}
