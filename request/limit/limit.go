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
	// Abandoned is a request that its caller gave up. It says nothing about the
	// backend server.
	Abandoned
)

const (
	// FullWeight is the weight of a warm backend server.
	FullWeight = 100
	// coldWeight is the weight of a cold backend server.
	coldWeight = 10
	// failingWeight is the weight of a backend server that fails its requests.
	failingWeight = 1

	// initialDwell is the shortest time at one limit before the next growth.
	initialDwell = 500 * time.Millisecond
	// maxDwell bounds the dwell after repeated falls.
	maxDwell = 8 * time.Second
	// growthSuccesses is the number of successes per unit of the limit that a
	// growth needs.
	growthSuccesses = 4
	// slowFactor times the baseline latency is a slow answer.
	slowFactor = 3
	// slowMargin is added to the bound of a slow answer, so that the variation of
	// very short answers does not count.
	slowMargin = 20 * time.Millisecond
	// slowRun is the number of consecutive slow answers that mean a cold server.
	slowRun = 3
	// failedRun is the number of consecutive failed answers that mean a failing
	// server.
	failedRun = 5
	// baselineShare is the share (1/n) of a new sample in the baseline latency.
	baselineShare = 16
	// initialPause is the first wait before a failing server is tried again.
	initialPause = 50 * time.Millisecond
	// maxPause bounds the wait before a failing server is tried again.
	maxPause = 2 * time.Second
	// stallFactor times the baseline latency without any answer is a stall.
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
	slots    int
	limit    int
	inFlight int
	draining bool
	warm     bool

	successes  int
	slow       int
	bad        int
	levelSince time.Time
	progress   time.Time
	dwell      time.Duration
	baseline   time.Duration
	instance   string

	pause      time.Duration
	pauseUntil time.Time
	falls      uint64
}

// New returns the limiter of a backend server with the given number of slots,
// at least one. The backend server counts as cold.
func New(slots int, now time.Time) *Limiter {
	l := &Limiter{limit: 1, dwell: initialDwell, levelSince: now, progress: now}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the number of slots, at least one.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.slots)
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

// Falls returns how often the limit has fallen back to one.
func (l *Limiter) Falls() uint64 { return l.falls }

// Latency returns the usual latency of the backend server, zero when unknown.
func (l *Limiter) Latency() time.Duration { return l.baseline }

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

// ResumeAt returns the time until which no request may start, and whether there
// is one.
func (l *Limiter) ResumeAt(now time.Time) (time.Time, bool) {
	return l.pauseUntil, now.Before(l.pauseUntil)
}

// Paused tells whether the backend server has failed so that nothing may start
// at present.
func (l *Limiter) Paused(now time.Time) bool { return now.Before(l.pauseUntil) }

// Release gives a place back without a measurement: the request has turned into
// a stream, or was never sent.
func (l *Limiter) Release() {
	if l.inFlight > 0 {
		l.inFlight--
	}
}

// Finish gives a place back with the measurement of its request.
func (l *Limiter) Finish(sample Sample, now time.Time) {
	l.Release()
	l.Observe(sample, now)
}

// Observe takes a measurement without giving a place back.
func (l *Limiter) Observe(sample Sample, now time.Time) {
	if sample.Outcome == Abandoned {
		return
	}
	l.progress = now
	if l.instanceChanged(sample.Instance) {
		l.fall(now)
	}
	switch sample.Outcome {
	case Succeeded:
		l.succeed(sample.Latency, now)
	case Failed:
		l.fail(now)
	case TimedOut:
		l.timeOut(sample.Latency, now)
	case Refused, Reset, Unreachable:
		l.bad++
		l.fall(now)
		l.lengthenPause(now)
	case Abandoned:
	}
}

// Tick looks for a backend server that holds requests and answers none.
func (l *Limiter) Tick(now time.Time) {
	if l.inFlight == 0 || l.limit == 1 || l.baseline == 0 {
		return
	}
	if now.Sub(l.progress) > stallFactor*l.baseline+stallMargin {
		l.fall(now)
		l.progress = now
	}
}

// Reachable tells the limiter that a connection to the backend server could be
// opened. It is a hint: it ends a pause early and changes nothing else.
func (l *Limiter) Reachable(now time.Time) {
	if l.Paused(now) && l.pause < maxPause {
		l.pauseUntil = now
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

func (l *Limiter) succeed(latency time.Duration, now time.Time) {
	l.bad = 0
	l.pause = 0
	if l.isSlow(latency) {
		l.slow++
		if l.slow >= slowRun {
			l.fall(now)
		}
		return
	}
	l.slow = 0
	l.addBaseline(latency)
	l.successes++
	l.grow(now)
}

// timeOut counts an answer that did not come in time as a slow one, unless the
// caller's deadline was shorter than the usual latency.
func (l *Limiter) timeOut(waited time.Duration, now time.Time) {
	if l.baseline > 0 && !l.isSlow(waited) {
		return
	}
	l.slow++
	if l.slow >= slowRun {
		l.fall(now)
	}
}

func (l *Limiter) isSlow(latency time.Duration) bool {
	return l.baseline > 0 && latency > slowFactor*l.baseline+slowMargin
}

// addBaseline lets the baseline fall at once, as a warming server gets faster,
// and rise slowly.
func (l *Limiter) addBaseline(latency time.Duration) {
	if l.baseline == 0 {
		l.baseline = latency
		return
	}
	l.baseline += (latency - l.baseline) / baselineShare
}

func (l *Limiter) grow(now time.Time) {
	if l.successes < growthSuccesses*l.limit || now.Sub(l.levelSince) < l.dwell {
		return
	}
	l.successes = 0
	l.levelSince = now
	if l.limit < l.slots {
		l.limit++
		return
	}
	l.warm = true
	l.dwell = initialDwell
}

func (l *Limiter) fail(now time.Time) {
	l.bad++
	if l.bad < failedRun {
		return
	}
	l.fall(now)
	l.lengthenPause(now)
}

// fall returns to one request at a time. A fall soon after a growth lengthens
// the dwell, so that a server that is not warm yet is tried less often.
func (l *Limiter) fall(now time.Time) {
	if l.limit > 1 || l.warm {
		l.falls++
		l.lengthenDwell()
	}
	l.limit = 1
	l.warm = false
	l.successes = 0
	l.slow = 0
	l.levelSince = now
}

func (l *Limiter) lengthenDwell() {
	if l.warm {
		l.dwell = initialDwell
		return
	}
	l.dwell = min(2*l.dwell, maxDwell)
}

func (l *Limiter) lengthenPause(now time.Time) {
	l.pause = min(max(2*l.pause, initialPause), maxPause)
	l.pauseUntil = now.Add(l.pause)
}

// State returns the state to announce.
func (l *Limiter) State() State {
	switch {
	case l.draining:
		return Draining
	case l.warm:
		return Warm
	case l.limit > 1:
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
	case l.bad >= failedRun:
		return failingWeight
	case l.warm:
		return FullWeight
	case l.limit > 1:
		return uint16(coldWeight + (FullWeight-coldWeight)*(l.limit-1)/l.slots)
	default:
		return coldWeight
	}
}
