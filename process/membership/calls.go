package membership

import (
	"context"
	"sync/atomic"
	"time"

	"bergamotbank/errkind"
)

// callQueueSize is the number of calls that wait for the core.
const callQueueSize = 64

// callQueue brings calls of other goroutines to the one that runs the core.
type callQueue chan func()

// enqueue hands over a call without waiting for it. Errors are of kind
// PeerUnavailable.
func (q callQueue) enqueue(ctx context.Context, call func()) error {
	select {
	case q <- call:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.PeerUnavailable, "membership is busy or stopped")
	}
}

// do hands over a call and waits for its end. Errors are of kind
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

// pulse remembers the last tick of a core, so that others see at once that the
// process was paused, even before the core's goroutine runs again.
type pulse struct {
	last  atomic.Pointer[time.Time]
	limit time.Duration
}

func (p *pulse) beat(now time.Time) {
	p.last.Store(&now)
}

// stopped tells whether the last tick is too long ago.
func (p *pulse) stopped(now time.Time) bool {
	last := p.last.Load()
	return last == nil || now.Sub(*last) > p.limit
}
