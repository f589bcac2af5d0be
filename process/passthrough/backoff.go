package passthrough

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is a jittered, growing pause between tries.
type backoff struct {
	next time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait pauses; the pause doubles up to storeRetryLimit, and between half and all
// of it is waited, so that processes do not call in step.
func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, storeRetry), storeRetryLimit)
	sleep(ctx, b.next/2+rand.N(b.next/2))
}

// sleep pauses and tells whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
