// Package servicetime estimates how long a backend server works on a request, without the
// time that the request waits in the server's queue.
package servicetime

import (
	"math"
	"time"
)

const (
	// window is the time constant with which observations decay. It is shorter than the two
	// seconds for which a server is slow after its start, and covers dozens of requests of a
	// busy server.
	window = time.Second
	// minCompleted is the decayed number of completed requests below which there is no
	// estimate.
	minCompleted = 3.0
)

// Estimator estimates the mean service time of a server as the time that its slots were busy
// divided by the number of requests that it completed. A request that waits for a slot adds no
// busy time, so the estimate does not grow with the load. It is not safe for concurrent use.
type Estimator struct {
	busy int
	// busyTime is the decayed time that slots were busy, in seconds; completed is the decayed
	// number of completed requests.
	busyTime, completed float64
	updatedAt           time.Duration
}

// Observe records the number of busy slots from now on.
func (e *Estimator) Observe(busy int, now time.Duration) {
	e.advance(now)
	e.busy = busy
}

// Complete records that the server has completed a request.
func (e *Estimator) Complete(now time.Duration) {
	e.advance(now)
	e.completed++
}

// Mean returns the mean service time, and false if too few requests were completed recently.
func (e *Estimator) Mean() (time.Duration, bool) {
	if e.completed < minCompleted || e.busyTime <= 0 {
		return 0, false
	}
	return time.Duration(e.busyTime / e.completed * float64(time.Second)), true
}

// advance accounts for the time since the last call.
func (e *Estimator) advance(now time.Duration) {
	elapsed := now - e.updatedAt
	if elapsed <= 0 {
		return
	}
	e.updatedAt = now
	factor := math.Exp(-float64(elapsed) / float64(window))
	// Busy time decays while it accrues.
	e.busyTime = e.busyTime*factor + float64(e.busy)*window.Seconds()*(1-factor)
	e.completed *= factor
}
