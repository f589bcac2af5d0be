package limit

import "time"

const (
	// initialDwell is the shortest time at one limit before the next growth.
	initialDwell = 500 * time.Millisecond
	// maxDwell bounds the dwell after repeated falls.
	maxDwell = 8 * time.Second
	// growthSuccesses is the number of successes per unit of the limit that a
	// growth needs.
	growthSuccesses = 4
	// idleShare is how many successes below the limit count as one at the limit.
	idleShare = 8
	// slowFactor times the baseline latency is a slow answer.
	slowFactor = 3
	// slowMargin is added to the bound of a slow answer, so that the variation of
	// very short answers does not count.
	slowMargin = 20 * time.Millisecond
	// slowRun is the number of consecutive slow answers that mean a cold server.
	slowRun = 3
	// baselineShare is the share (1/n) of a new sample in the baseline latency.
	baselineShare = 16
	// recentShare is the share (1/n) of a new sample in the recent latency.
	recentShare = 4
	// minSuccesses is the least number of successes that a growth needs, so that
	// the mean latencies of two limits can be compared.
	minSuccesses = 16
	// judgeSamples is the number of answers at a new limit after which it is
	// compared with the limit before.
	judgeSamples = 12
	// worseFactor in percent of the latency at the limit before means that the
	// further request only waits.
	worseFactor = 125
	// worseMargin is added to the bound of a worse latency.
	worseMargin = 5 * time.Millisecond
	// coldFactor in percent of the baseline latency means that the server is still
	// cold.
	coldFactor = 200
	// fasterFactor in percent of the first latency at a limit means that the
	// server has become warm.
	fasterFactor = 60
	// forgetBaseline is how long a baseline that is not reached again is believed.
	forgetBaseline = 30 * time.Second
)

// finding is what a measurement tells about the present limit.
type finding uint8

const (
	// findingNone changes nothing.
	findingNone finding = iota
	// findingBears means that the server bears the limit and may bear more.
	findingBears
	// findingWorse means that the last growth only made requests wait.
	findingWorse
	// findingSlow means that the server has turned cold.
	findingSlow
)

// ramp measures how the backend server bears the present limit.
type ramp struct {
	since time.Time
	// dwell is the time at this limit before the next growth.
	dwell time.Duration
	// backoff is the dwell after the next growth that has to be taken back.
	backoff   time.Duration
	successes int
	below     int
	slow      int

	// mean latency at this limit, under full use of it.
	sum     time.Duration
	samples int
	// before is the mean latency at the limit below; zero when not known.
	before time.Duration
	// first is the recent latency when the limit was reached.
	first time.Duration
	// recent is a moving average over the last few answers.
	recent time.Duration
	// deviation is a moving average of the distance from recent.
	deviation time.Duration
	// baseline is the usual latency of the warm server; zero when not known.
	baseline   time.Duration
	baselineAt time.Time
}

func newRamp(now time.Time) ramp {
	return ramp{since: now, dwell: initialDwell, backoff: initialDwell}
}

// usual returns the latency to expect from a healthy server.
func (r *ramp) usual() time.Duration {
	if r.baseline > 0 {
		return r.baseline
	}
	return r.recent
}

func (r *ramp) succeed(latency time.Duration, saturated bool, limit int, now time.Time) finding {
	r.addRecent(latency)
	if r.isSlow(latency) {
		r.slow++
		if r.slow >= slowRun && limit > 1 {
			return findingSlow
		}
	} else {
		r.slow = 0
	}
	r.count(latency, saturated)
	if r.isWorse(limit) {
		return findingWorse
	}
	if r.bears(limit, now) {
		return findingBears
	}
	return findingNone
}

// timeOut counts an answer that did not come in time as a slow one, unless the
// caller's deadline was shorter than the usual latency.
func (r *ramp) timeOut(waited time.Duration) finding {
	if r.baseline > 0 && !r.isSlow(waited) {
		return findingNone
	}
	r.slow++
	if r.slow >= slowRun {
		return findingSlow
	}
	return findingNone
}

func (r *ramp) addRecent(latency time.Duration) {
	if r.recent == 0 {
		r.recent = latency
	}
	r.deviation += ((latency - r.recent).Abs() - r.deviation) / recentShare
	r.recent += (latency - r.recent) / recentShare
}

func (r *ramp) isSlow(latency time.Duration) bool {
	return r.baseline > 0 && latency > slowFactor*r.baseline+slowMargin
}

// count takes an answer into the measurement of this limit. An answer that ran
// below the limit says little about it.
func (r *ramp) count(latency time.Duration, saturated bool) {
	if r.first == 0 {
		r.first = latency
	}
	if !saturated {
		r.below++
		if r.below%idleShare == 0 {
			r.successes++
		}
		return
	}
	r.successes++
	r.samples++
	r.sum += latency
}

func (r *ramp) mean() time.Duration {
	if r.samples == 0 {
		return r.recent
	}
	return r.sum / time.Duration(r.samples)
}

func (r *ramp) isWorse(limit int) bool {
	if r.before == 0 || limit < 2 || r.samples < judgeSamples {
		return false
	}
	return r.mean() > r.before*worseFactor/100+worseMargin
}

func (r *ramp) bears(limit int, now time.Time) bool {
	dwell := r.dwell
	if r.recent < r.first*fasterFactor/100 {
		dwell = initialDwell
	}
	return r.successes >= max(growthSuccesses*limit, minSuccesses) && now.Sub(r.since) >= dwell && !r.stillCold(limit, now)
}

// stillCold compares with the latency of the warm server, if that is known. A
// latency that stays different for long becomes the new usual one.
func (r *ramp) stillCold(limit int, now time.Time) bool {
	if r.baseline == 0 || limit > 1 {
		return false
	}
	if now.Sub(r.baselineAt) > forgetBaseline {
		r.baseline = 0
		return false
	}
	return r.recent > r.baseline*coldFactor/100+slowMargin
}

// settle notes that the server bears all of its slots.
func (r *ramp) settle(now time.Time) {
	if r.baseline == 0 {
		r.baseline = r.mean()
	}
	r.baseline += (r.mean() - r.baseline) / baselineShare
	r.baselineAt = now
	r.backoff = initialDwell
	r.dwell = initialDwell
	r.before = 0
	r.restart(now)
}

func (r *ramp) stepUp(now time.Time) {
	r.dwell = initialDwell
	r.before = r.mean()
	r.restart(now)
}

// stepBack returns to the limit below, for longer than the last time.
func (r *ramp) stepBack(now time.Time) {
	r.lengthenDwell()
	r.before = 0
	r.restart(now)
	r.first = 0
	r.recent = 0
}

// fall begins again. After a fall that no warm time came before, the next growth
// waits longer.
func (r *ramp) fall(warm bool, now time.Time) {
	r.lengthenDwell()
	if warm {
		r.backoff = initialDwell
		r.dwell = initialDwell
		r.baselineAt = now
	}
	r.before = 0
	r.slow = 0
	r.restart(now)
	r.first = 0
}

func (r *ramp) lengthenDwell() {
	r.backoff = min(2*r.backoff, maxDwell)
	r.dwell = r.backoff
}

func (r *ramp) restart(now time.Time) {
	r.since = now
	r.successes = 0
	r.below = 0
	r.sum = 0
	r.samples = 0
	r.first = r.recent
}
