package passthrough

import (
	"context"
	"math/rand/v2"
	"time"
)

// backoff is an exponential backoff with jitter.
type backoff struct {
	next time.Duration
}

func (b *backoff) reset() { b.next = 0 }

// wait sleeps between half and all of the current delay, which doubles up to
// maxRetryDelay. The jitter keeps processes from retrying at the same time.
func (b *backoff) wait(ctx context.Context) {
	b.next = min(max(2*b.next, minRetryDelay), maxRetryDelay)
	sleep(ctx, b.next/2+rand.N(b.next/2))
}

// sleep waits for d and reports whether it elapsed before ctx was canceled.
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
