package gate

import (
	"math"
	"time"
)

const (
	// healthWindow is the time constant with which outcomes are forgotten, so that a
	// server gets new flows again some seconds after its last failure.
	healthWindow = 4 * time.Second
	// recentWindow is a shorter one, so that a busy server which begins to fail is
	// not excused by all that it answered before.
	recentWindow = time.Second
	// leastFailures and failureShare tell when a server counts as failing: a few
	// failures, which are a sixth of the outcomes or more.
	leastFailures = 2.5
	failureShare  = 0.15
	// wellFailures is the number of remembered failures below which it counts as well
	// again, so that the judgement does not change back and forth.
	wellFailures = 1.0
)

// outcomes are the answered and failed requests of a window, fading with time.
type outcomes struct {
	answered, failed float64
}

func (o *outcomes) fade(passed, window time.Duration) {
	keep := math.Exp(-float64(passed) / float64(window))
	o.answered *= keep
	o.failed *= keep
}

func (o *outcomes) record(failed bool) {
	if failed {
		o.failed++
	} else {
		o.answered++
	}
}

// failing tells whether the failures are many enough to count.
func (o *outcomes) failing() bool {
	return o.failed >= leastFailures && o.failed >= failureShare*(o.answered+o.failed)
}

// healthMeter judges a server by what its packets show. Liveness checks and the
// server's own reports may mislead.
type healthMeter struct {
	long, recent outcomes
	failing      bool
	last         time.Duration
}

func (h *healthMeter) fade(now time.Duration) {
	h.long.fade(now-h.last, healthWindow)
	h.recent.fade(now-h.last, recentWindow)
	h.last = now
}

func (h *healthMeter) record(failed bool, now time.Duration) {
	h.fade(now)
	h.long.record(failed)
	h.recent.record(failed)
}

// update judges the server anew.
func (h *healthMeter) update(now time.Duration) {
	h.fade(now)
	if h.failing {
		h.failing = h.long.failed >= wellFailures
		return
	}
	h.failing = h.long.failing() || h.recent.failing()
}

// Failing tells whether the server fails requests though it reports to be ready.
func (g *Gate) Failing() bool { return g.health.failing }
