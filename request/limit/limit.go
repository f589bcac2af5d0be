// Package limit decides how many requests a backend server may run at once. It
// performs no I/O: its user reports what happened and when, and reads the limit.
//
// The limit never exceeds the configured slots. It starts at one, grows while
// requests succeed at a steady latency, and is reset to one at the first sign
// that the backend server has become cold: a refusal, a connection error, a new
// instance, a stall, or several consecutive slow responses, timeouts or failures.
// The health endpoint of the backend server only extends the backoff of a server
// that is failing.
package limit

import "time"

// State is the readiness of a backend server. The numeric values are announced to
// other processes.
type State uint8

// The states of a backend server.
const (
	// Cold handles one request at a time.
	Cold State = iota
	// Warming handles more than one request at a time but not yet full load.
	Warming
	// Warm handles full load.
	Warm
	// Draining accepts no new requests.
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
	// Succeeded is a complete response with a status below 500.
	Succeeded Outcome = iota
	// Failed is a complete response with a status of 500 or above that is not a
	// refusal.
	Failed
	// Refused is a response that sheds load: status 429 or 503.
	Refused
	// Unreachable is a connection that could not be opened.
	Unreachable
	// Reset is a connection that ended before the complete response had arrived.
	Reset
	// TimedOut is a request without a response by its deadline.
	TimedOut
	// Canceled is a request that its caller canceled. It does not affect the limit.
	Canceled
)

const (
	// FullWeight is the weight of a warm backend server.
	FullWeight = 100
	// ColdWeight is the weight of a cold backend server.
	ColdWeight = 10
	// failingWeight is the weight of a backend server that fails its requests.
	failingWeight = 1

	// failureThreshold is the number of consecutive failures after which the server
	// counts as failing.
	failureThreshold = 5
	// initialBackoff is the first wait before the next request to a failing server.
	initialBackoff = 50 * time.Millisecond
	// maxBackoff limits the wait before the next request to a failing server.
	maxBackoff = 2 * time.Second
	// maxUnhealthyBackoff limits the wait while the health endpoint keeps reporting
	// the server as unhealthy.
	maxUnhealthyBackoff = 5 * time.Second
	// latencyBoundDeviations is the distance of LatencyBound from the mean
	// latency, in mean deviations.
	latencyBoundDeviations = 3
	// stallFactor is the time without any response that counts as a stall, as a
	// multiple of the expected latency.
	stallFactor = 10
	// stallMargin is added to that time.
	stallMargin = time.Second
)

// Sample is the measurement of one finished request.
type Sample struct {
	// Outcome is the way in which the request ended.
	Outcome Outcome
	// Latency is the time from the start to the response header.
	Latency time.Duration
	// Instance is the instance of the backend server that responded; empty if it
	// did not report one.
	Instance string
}

// Limiter holds the limit of one backend server. It is not safe for concurrent
// use.
type Limiter struct {
	slots int
	limit int
	// sustained is the largest limit that the server has sustained since the
	// last reset. A limit above it is not yet confirmed and not announced.
	sustained int
	inFlight  int
	draining  bool
	warm      bool
	ramp      ramp

	failures     int
	lastProgress time.Time
	instance     string
	backoff      time.Duration
	backoffUntil time.Time
	backoffSince time.Time
	limitResets  uint64
}

// New returns the limiter of a backend server with the given number of slots,
// at least one. The backend server counts as cold.
func New(slots int, now time.Time) *Limiter {
	l := &Limiter{limit: 1, sustained: 1, lastProgress: now, ramp: newRamp(now)}
	l.SetSlots(slots)
	return l
}

// SetSlots changes the number of slots, at least one.
func (l *Limiter) SetSlots(slots int) {
	l.slots = max(slots, 1)
	l.limit = min(l.limit, l.slots)
	l.sustained = min(l.sustained, l.slots)
	if l.limit < l.slots {
		l.warm = false
	}
}

// Slots returns the number of slots.
func (l *Limiter) Slots() int { return l.slots }

// Limit returns the number of requests that may run at once.
func (l *Limiter) Limit() int { return l.limit }

// InFlight returns the number of running requests.
func (l *Limiter) InFlight() int { return l.inFlight }

// LimitResets returns how often the limit has been reset to one.
func (l *Limiter) LimitResets() uint64 { return l.limitResets }

// Latency returns the recent latency of the backend server, zero if unknown.
func (l *Limiter) Latency() time.Duration { return l.ramp.recent }

// LatencyBound returns a latency that few responses currently exceed, zero if
// unknown.
func (l *Limiter) LatencyBound() time.Duration {
	return l.ramp.recent + latencyBoundDeviations*l.ramp.deviation
}

// Drain sets the state to Draining permanently. It does not change the limit,
// which requests already admitted still need.
func (l *Limiter) Drain() { l.draining = true }

// TryStart takes a slot for one request and reports whether there was one.
func (l *Limiter) TryStart(now time.Time) bool {
	if l.inFlight >= l.limit || now.Before(l.backoffUntil) {
		return false
	}
	if l.inFlight == 0 {
		l.lastProgress = now
	}
	l.inFlight++
	return true
}

// InBackoff reports whether the backend server is failing and no request may
// start until the backoff ends.
func (l *Limiter) InBackoff(now time.Time) bool { return now.Before(l.backoffUntil) }

// Release frees a slot without a measurement: the request has become a stream or
// was never sent.
func (l *Limiter) Release() {
	if l.inFlight > 0 {
		l.inFlight--
	}
}

// Finish frees a slot and records the measurement of its request.
func (l *Limiter) Finish(sample Sample, now time.Time) {
	saturated := l.inFlight >= l.limit
	l.Release()
	l.observe(sample, saturated, now)
}

// Observe records a measurement without freeing a slot.
func (l *Limiter) Observe(sample Sample, now time.Time) {
	l.observe(sample, false, now)
}

func (l *Limiter) observe(sample Sample, saturated bool, now time.Time) {
	if sample.Outcome == Canceled {
		return
	}
	l.lastProgress = now
	if l.instanceChanged(sample.Instance) {
		l.resetLimit(now)
	}
	switch sample.Outcome {
	case Succeeded:
		l.failures = 0
		l.backoff = 0
		l.apply(l.ramp.recordSuccess(sample.Latency, saturated, l.limit, now), now)
	case TimedOut:
		l.apply(l.ramp.recordTimeout(sample.Latency), now)
	case Failed:
		l.recordFailure(now)
	case Refused, Reset, Unreachable:
		l.failures++
		l.resetLimit(now)
		l.extendBackoff(now)
	case Canceled:
	}
}

// apply adjusts the limit.
func (l *Limiter) apply(a adjustment, now time.Time) {
	switch a {
	case adjustNone:
	case adjustReset:
		l.resetLimit(now)
	case adjustDown:
		l.limit = max(l.limit-1, 1)
		l.sustained = min(l.sustained, l.limit)
		l.warm = false
		l.ramp.stepDown(now)
	case adjustUp:
		l.grow(now)
	}
}

func (l *Limiter) grow(now time.Time) {
	l.sustained = l.limit
	if l.limit == l.slots {
		l.warm = true
		l.ramp.reachFullLoad(now)
		return
	}
	l.limit++
	l.ramp.stepUp(now)
}

// Tick resets the limit if the backend server has stalled: requests are in flight
// and none gets a response.
func (l *Limiter) Tick(now time.Time) {
	expected := l.ramp.expectedLatency()
	if l.inFlight == 0 || l.limit == 1 || expected == 0 {
		return
	}
	if now.Sub(l.lastProgress) > stallFactor*expected+stallMargin {
		l.resetLimit(now)
		l.lastProgress = now
	}
}

// UpdateHealth processes a report of the health endpoint of the backend server.
// The report may be late or wrong, so it only extends a backoff, up to
// maxUnhealthyBackoff.
func (l *Limiter) UpdateHealth(healthy bool, now time.Time) {
	if !l.InBackoff(now) {
		return
	}
	if healthy {
		return
	}
	extended := now.Add(l.backoff)
	if latest := l.backoffSince.Add(maxUnhealthyBackoff); extended.After(latest) {
		extended = latest
	}
	if extended.After(l.backoffUntil) {
		l.backoffUntil = extended
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

func (l *Limiter) recordFailure(now time.Time) {
	l.failures++
	if l.failures < failureThreshold {
		return
	}
	l.resetLimit(now)
	l.extendBackoff(now)
}

// resetLimit resets the limit to one request at a time.
func (l *Limiter) resetLimit(now time.Time) {
	if l.limit > 1 || l.warm {
		l.limitResets++
	}
	l.ramp.reset(l.warm, now)
	l.limit = 1
	l.sustained = 1
	l.warm = false
}

// MarkCold marks the backend server as cold, for example after its failure domain
// was out of service. It does not count as a limit reset because nothing failed.
func (l *Limiter) MarkCold(now time.Time) {
	l.ramp = newRamp(now)
	l.limit = 1
	l.sustained = 1
	l.warm = false
}

func (l *Limiter) extendBackoff(now time.Time) {
	l.backoff = min(max(2*l.backoff, initialBackoff), maxBackoff)
	l.backoffUntil = now.Add(l.backoff)
	l.backoffSince = now
}

// State returns the state to be announced.
func (l *Limiter) State() State {
	switch {
	case l.draining:
		return Draining
	case l.warm:
		return Warm
	case l.sustained > 1:
		return Warming
	default:
		return Cold
	}
}

// Weight returns the weight to be announced, from 0 to FullWeight.
func (l *Limiter) Weight() uint16 {
	switch {
	case l.draining:
		return 0
	case l.backoff > initialBackoff:
		return failingWeight
	case l.warm:
		return FullWeight
	case l.sustained > 1:
		return uint16(ColdWeight + (FullWeight-ColdWeight)*(l.sustained-1)/l.slots)
	default:
		return ColdWeight
	}
}
