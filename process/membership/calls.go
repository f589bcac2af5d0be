package membership

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotbank/errkind"
)

// callQueueSize is the number of calls that can wait for the core.
const callQueueSize = 64

// callQueue passes calls from other goroutines to the one that runs the core.
type callQueue chan func()

// enqueue queues a call without waiting for its completion. Errors are of kind
// PeerUnavailable.
func (q callQueue) enqueue(ctx context.Context, call func()) error {
	select {
	case q <- call:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PeerUnavailable, "membership is busy or stopped")
	}
}

// do queues a call and waits for its completion. Errors are of kind
// PeerUnavailable.
func (q callQueue) do(ctx context.Context, call func()) error {
	done := make(chan struct{})
	err := q.enqueue(ctx, func() {
		call()
		close(done)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PeerUnavailable, "membership is busy or stopped")
	}
}

// signal wakes the receiver of a channel of size one.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// notifyLoop calls deliver after each signal until the context ends.
func notifyLoop(ctx context.Context, changed <-chan struct{}, deliver func()) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			deliver()
		}
	}
}

// pauseDetector stores the time of the last tick of a core, so that other
// goroutines detect a pause of the process even before the core runs again.
type pauseDetector struct {
	last      atomic.Pointer[time.Time]
	threshold time.Duration
}

func (d *pauseDetector) recordTick(now time.Time) {
	d.last.Store(&now)
}

// paused reports whether the last tick is older than the threshold.
func (d *pauseDetector) paused(now time.Time) bool {
	last := d.last.Load()
	return last == nil || now.Sub(*last) > d.threshold
}
