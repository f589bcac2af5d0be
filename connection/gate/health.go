package gate

import (
	"math"
	"time"
)

const (
	// healthWindow is the time constant with which outcomes decay. A server
	// receives new flows again some seconds after its last failure.
	healthWindow = 4 * time.Second
	// recentWindow is the time constant of a shorter window, so that earlier
	// successes of a busy server do not hide that it has begun to fail.
	recentWindow = time.Second
	// minFailures and minFailureRatio define when a server is considered failing:
	// after a few failures that make up at least 15% of the outcomes.
	minFailures     = 2.5
	minFailureRatio = 0.15
	// recoveredFailures is the decayed number of failures below which a server is
	// considered healthy again. It is lower than minFailures so that the state does
	// not flap.
	recoveredFailures = 1.0
)

// outcomes counts the succeeded and failed requests of a window with exponential
// decay.
type outcomes struct {
	succeeded, failed float64
}

func (o *outcomes) decay(elapsed, window time.Duration) {
	factor := math.Exp(-float64(elapsed) / float64(window))
	o.succeeded *= factor
	o.failed *= factor
}

func (o *outcomes) record(failed bool) {
	if failed {
		o.failed++
	} else {
		o.succeeded++
	}
}

// failing reports whether the failures exceed the thresholds.
func (o *outcomes) failing() bool {
	return o.failed >= minFailures && o.failed >= minFailureRatio*(o.succeeded+o.failed)
}

// healthMeter determines the health of a server from its packets, since liveness
// checks and the server's own reports may be wrong.
type healthMeter struct {
	long, recent outcomes
	failing      bool
	decayedAt    time.Duration
}

func (h *healthMeter) decay(now time.Duration) {
	h.long.decay(now-h.decayedAt, healthWindow)
	h.recent.decay(now-h.decayedAt, recentWindow)
	h.decayedAt = now
}

func (h *healthMeter) record(failed bool, now time.Duration) {
	h.decay(now)
	h.long.record(failed)
	h.recent.record(failed)
}

// update recomputes the state of the server.
func (h *healthMeter) update(now time.Duration) {
	h.decay(now)
	if h.failing {
		h.failing = h.long.failed >= recoveredFailures
		return
	}
	h.failing = h.long.failing() || h.recent.failing()
}

// Failing reports whether the server fails requests although it reports that it
// is ready.
func (g *Gate) Failing() bool { return g.health.failing }
