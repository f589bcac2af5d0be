package passthrough

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// minRetryDelay and maxRetryDelay are the delays after the first failed call to the
	// store and after many; the delay grows by retryDelayFactor with each call.
	minRetryDelay    = 100 * time.Millisecond
	maxRetryDelay    = 800 * time.Millisecond
	retryDelayFactor = 3
	// maxProbeDelay limits the delay in the processes that probe a store that does not
	// respond. minWokenDelay and maxWokenDelay apply to those that they wake.
	maxProbeDelay = 200 * time.Millisecond
	minWokenDelay = 500 * time.Millisecond
	maxWokenDelay = 3 * time.Second
	// minWakeInterval is the minimum time between two early retries because of a report
	// that the store responds. It doubles up to maxWakeInterval, since the store may
	// respond to the reporting process but not to this one.
	minWakeInterval = time.Second
	maxWakeInterval = 4 * time.Second
)

// retryDelays are the limits of the delay between calls to a store that does not respond.
type retryDelays struct{ min, max time.Duration }

// storeBackoff spaces the calls that all tasks of a process make to the store while it
// does not respond, with an exponential backoff and jitter. Without it every task of every
// process would retry on its own, and after a long outage most of them would notice only
// after their longest delay that the store responds again. A few processes of each failure
// domain probe the store more often, and their heartbeats wake the others.
type storeBackoff struct {
	clock clock
	// delays returns the limits of the delay for this process.
	delays func() retryDelays

	mu sync.Mutex
	// failedAt is the time of the last failed call, 0 if the last call succeeded.
	failedAt time.Duration
	delay    time.Duration
	// nextCall is the time of the last scheduled retry of any task.
	nextCall time.Duration
	// nextWake is the earliest time of the next early retry, wakeInterval the time between
	// the last two.
	nextWake, wakeInterval time.Duration
	// wake is closed to start the scheduled retries at once.
	wake chan struct{}
}

func newStoreBackoff(clock clock, delays func() retryDelays) *storeBackoff {
	return &storeBackoff{clock: clock, delays: delays, wake: make(chan struct{})}
}

// succeeded records that the store responded, and lets waiting tasks retry at once.
func (b *storeBackoff) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failedAt == 0 {
		return
	}
	b.failedAt, b.nextWake, b.wakeInterval = 0, 0, 0
	b.retryNow()
}

// failed records that the store did not respond.
func (b *storeBackoff) failed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failedAt = b.clock.now()
}

// confirmed records a report that the store responded to another process the given time
// ago. If that was after the last failure, waiting tasks retry at once.
func (b *storeBackoff) confirmed(age time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	if b.failedAt == 0 || now-age <= b.failedAt || now < b.nextWake {
		return
	}
	b.wakeInterval = min(max(2*b.wakeInterval, minWakeInterval), maxWakeInterval)
	b.nextWake = now + b.wakeInterval
	b.retryNow()
}

// retryNow wakes the waiting tasks and resets the delay. The caller holds mu.
func (b *storeBackoff) retryNow() {
	b.delay, b.nextCall = 0, 0
	close(b.wake)
	b.wake = make(chan struct{})
}

// wait waits after a failed call until the calling task may retry. Delays of several
// tasks add up: together they make one call in each delay.
func (b *storeBackoff) wait(ctx context.Context) {
	until, wake := b.schedule(b.delays())
	sleepUntil(ctx, until, wake, nil)
}

// sleepUntilResponding waits for d, until the store responds again after a failure, or until
// restored is closed.
func (b *storeBackoff) sleepUntilResponding(ctx context.Context, d time.Duration, restored <-chan struct{}) {
	b.mu.Lock()
	wake := b.wake
	b.mu.Unlock()
	sleepUntil(ctx, d, wake, restored)
}

// schedule returns the time until the retry of a task, which is between half and all of
// the current delay after the previously scheduled one, and the channel that ends it early.
func (b *storeBackoff) schedule(delays retryDelays) (time.Duration, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.now()
	b.delay = min(max(retryDelayFactor*b.delay, delays.min), delays.max)
	b.nextCall = max(b.nextCall, now) + b.delay/2 + rand.N(b.delay/2)
	return b.nextCall - now, b.wake
}

// sleepUntil waits for d, until wake or restored is closed, or until ctx is canceled.
func sleepUntil(ctx context.Context, d time.Duration, wake, restored <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	case <-restored:
	case <-ctx.Done():
	}
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
