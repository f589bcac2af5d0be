package gate

import (
	"math"
	"time"
)

const (
	// healthWindow is the time constant with which outcomes are forgotten, so that a
	// server gets new flows again some seconds after its last failure.
	healthWindow = 4 * time.Second
	// leastFailures and failureShare tell when a server counts as failing: a few
	// failures, which are a sixth of the outcomes or more.
	leastFailures = 2.5
	failureShare  = 0.15
	// wellFailures is the number of remembered failures below which it counts as well
	// again, so that the judgement does not change back and forth.
	wellFailures = 1.0
)

// healthMeter judges a server by what its packets show. Liveness checks and the
// server's own reports may mislead.
type healthMeter struct {
	answered, failed float64
	failing          bool
	last             time.Duration
}

func (h *healthMeter) fade(now time.Duration) {
	keep := math.Exp(-float64(now-h.last) / float64(healthWindow))
	h.answered *= keep
	h.failed *= keep
	h.last = now
}

func (h *healthMeter) record(failed bool, now time.Duration) {
	h.fade(now)
	if failed {
		h.failed++
	} else {
		h.answered++
	}
}

// update judges the server anew.
func (h *healthMeter) update(now time.Duration) {
	h.fade(now)
	if h.failing {
		h.failing = h.failed >= wellFailures
		return
	}
	h.failing = h.failed >= leastFailures && h.failed >= failureShare*(h.answered+h.failed)
}

// Failing tells whether the server fails requests though it reports to be ready.
func (g *Gate) Failing() bool { return g.health.failing }
