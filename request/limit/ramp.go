package limit

import "time"

const (
	// initialDwell is the minimum time at a limit before it grows.
	initialDwell = 500 * time.Millisecond
	// maxDwell limits the dwell time after repeated resets.
	maxDwell = 8 * time.Second
	// growthSuccessesPerSlot is the number of successes per unit of the limit
	// that growth requires.
	growthSuccessesPerSlot = 4
	// belowLimitRatio is the number of successes below the limit that count as one
	// at the limit.
	belowLimitRatio = 8
	// slowLatencyFactor is the latency of a slow response, as a multiple of the
	// baseline.
	slowLatencyFactor = 3
	// slowLatencyMargin is added to that latency, so that the variation of very
	// fast responses does not count.
	slowLatencyMargin = 20 * time.Millisecond
	// slowThreshold is the number of consecutive slow responses after which the
	// server counts as cold.
	slowThreshold = 3
	// baselineDivisor is the inverse weight of a new sample in the baseline
	// latency.
	baselineDivisor = 16
	// recentDivisor is the inverse weight of a new sample in the recent latency.
	recentDivisor = 4
	// minSuccesses is the minimum number of successes that growth requires, so
	// that the mean latencies of two limits can be compared.
	minSuccesses = 16
	// comparisonSamples is the number of responses at a new limit after which its
	// mean latency is compared with that of the previous limit.
	comparisonSamples = 12
	// queueingLatencyPercent is the mean latency above which the additional
	// request is only queued, in percent of that at the previous limit.
	queueingLatencyPercent = 125
	// queueingLatencyMargin is added to that latency.
	queueingLatencyMargin = 5 * time.Millisecond
	// coldLatencyPercent is the recent latency above which the server is still
	// cold, in percent of the baseline.
	coldLatencyPercent = 200
	// warmedLatencyPercent is the recent latency below which the server has become
	// warm, in percent of the latency when the limit was reached.
	warmedLatencyPercent = 60
	// baselineTTL is how long a baseline is used that the server does not reach
	// again.
	baselineTTL = 30 * time.Second
)

// adjustment is the change of the limit that a measurement requires.
type adjustment uint8

const (
	// adjustNone keeps the limit.
	adjustNone adjustment = iota
	// adjustUp raises the limit by one because the server sustains it.
	adjustUp
	// adjustDown lowers the limit by one because the last growth only queued
	// requests.
	adjustDown
	// adjustReset resets the limit to one because the server has become cold.
	adjustReset
)

// ramp measures whether the backend server sustains the current limit.
type ramp struct {
	since time.Time
	// dwell is the minimum time at this limit before it grows.
	dwell time.Duration
	// dwellBackoff is the dwell time after the last reset or step down; the next
	// one doubles it.
	dwellBackoff    time.Duration
	successes       int
	belowLimit      int
	consecutiveSlow int

	// sum and samples give the mean latency at this limit, when fully used.
	sum     time.Duration
	samples int
	// previousMean is the mean latency at the previous limit; zero if unknown.
	previousMean time.Duration
	// initialLatency is the recent latency when the limit was reached.
	initialLatency time.Duration
	// recent is the moving average of the latency of the last few responses.
	recent time.Duration
	// deviation is the moving average of the absolute deviation from recent.
	deviation time.Duration
	// baseline is the usual latency of the warm server; zero if unknown.
	baseline   time.Duration
	baselineAt time.Time
}

func newRamp(now time.Time) ramp {
	return ramp{since: now, dwell: initialDwell, dwellBackoff: initialDwell}
}

// expectedLatency returns the latency expected from a healthy server.
func (r *ramp) expectedLatency() time.Duration {
	if r.baseline > 0 {
		return r.baseline
	}
	return r.recent
}

func (r *ramp) recordSuccess(latency time.Duration, saturated bool, limit int, now time.Time) adjustment {
	r.updateRecent(latency)
	if r.isSlow(latency) {
		r.consecutiveSlow++
		if r.consecutiveSlow >= slowThreshold && limit > 1 {
			return adjustReset
		}
	} else {
		r.consecutiveSlow = 0
	}
	r.recordSample(latency, saturated)
	if r.isQueueing(limit) {
		return adjustDown
	}
	if r.canGrow(limit, now) {
		return adjustUp
	}
	return adjustNone
}

// recordTimeout counts a timeout as a slow response, unless the deadline of the
// caller was shorter than the latency of a slow response.
func (r *ramp) recordTimeout(waited time.Duration) adjustment {
	if r.baseline > 0 && !r.isSlow(waited) {
		return adjustNone
	}
	r.consecutiveSlow++
	if r.consecutiveSlow >= slowThreshold {
		return adjustReset
	}
	return adjustNone
}

func (r *ramp) updateRecent(latency time.Duration) {
	if r.recent == 0 {
		r.recent = latency
	}
	r.deviation += ((latency - r.recent).Abs() - r.deviation) / recentDivisor
	r.recent += (latency - r.recent) / recentDivisor
}

func (r *ramp) isSlow(latency time.Duration) bool {
	return r.baseline > 0 && latency > slowLatencyFactor*r.baseline+slowLatencyMargin
}

// recordSample adds a response to the measurement of this limit. A response to a
// request that ran below the limit counts for less.
func (r *ramp) recordSample(latency time.Duration, saturated bool) {
	if r.initialLatency == 0 {
		r.initialLatency = latency
	}
	if !saturated {
		r.belowLimit++
		if r.belowLimit%belowLimitRatio == 0 {
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

func (r *ramp) isQueueing(limit int) bool {
	if r.previousMean == 0 || limit < 2 || r.samples < comparisonSamples {
		return false
	}
	return r.mean() > r.previousMean*queueingLatencyPercent/100+queueingLatencyMargin
}

func (r *ramp) canGrow(limit int, now time.Time) bool {
	dwell := r.dwell
	if r.recent < r.initialLatency*warmedLatencyPercent/100 {
		dwell = initialDwell
	}
	return r.successes >= max(growthSuccessesPerSlot*limit, minSuccesses) && now.Sub(r.since) >= dwell && !r.stillCold(limit, now)
}

// stillCold reports whether the recent latency is far above that of the warm
// server, if that is known. After baselineTTL the baseline is discarded.
func (r *ramp) stillCold(limit int, now time.Time) bool {
	if r.baseline == 0 || limit > 1 {
		return false
	}
	if now.Sub(r.baselineAt) > baselineTTL {
		r.baseline = 0
		return false
	}
	return r.recent > r.baseline*coldLatencyPercent/100+slowLatencyMargin
}

// reachFullLoad records that the server sustains all of its slots.
func (r *ramp) reachFullLoad(now time.Time) {
	if r.baseline == 0 {
		r.baseline = r.mean()
	}
	r.baseline += (r.mean() - r.baseline) / baselineDivisor
	r.baselineAt = now
	r.dwellBackoff = initialDwell
	r.dwell = initialDwell
	r.previousMean = 0
	r.restartMeasurement(now)
}

func (r *ramp) stepUp(now time.Time) {
	r.dwell = initialDwell
	r.previousMean = r.mean()
	r.restartMeasurement(now)
}

// stepDown starts the measurement of the next lower limit, with a longer dwell
// time than before.
func (r *ramp) stepDown(now time.Time) {
	r.lengthenDwell()
	r.previousMean = 0
	r.restartMeasurement(now)
	r.initialLatency = 0
	r.recent = 0
}

// reset starts the measurement at a limit of one, with a longer dwell time than
// before unless the server was warm.
func (r *ramp) reset(warm bool, now time.Time) {
	r.lengthenDwell()
	if warm {
		r.dwellBackoff = initialDwell
		r.dwell = initialDwell
		r.baselineAt = now
	}
	r.previousMean = 0
	r.consecutiveSlow = 0
	r.restartMeasurement(now)
	r.initialLatency = 0
}

func (r *ramp) lengthenDwell() {
	r.dwellBackoff = min(2*r.dwellBackoff, maxDwell)
	r.dwell = r.dwellBackoff
}

func (r *ramp) restartMeasurement(now time.Time) {
	r.since = now
	r.successes = 0
	r.belowLimit = 0
	r.sum = 0
	r.samples = 0
	r.initialLatency = r.recent
}
