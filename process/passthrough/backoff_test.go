package passthrough

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/errkind"
)

// outageStore is a store that responds only from a time on. It counts the calls before.
type outageStore struct {
	Store
	mu       sync.Mutex
	responds time.Time
	failures int
	// leaseEnds is when the granted lease ends without renewal, puts counts the entries
	// written.
	leaseEnds time.Time
	puts      int
}

func (s *outageStore) call() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.responds) {
		s.failures++
		return errkind.New(errkind.StoreUnavailable, "down")
	}
	return nil
}

func (s *outageStore) List(context.Context, string, string, bool) (Page, error) {
	return Page{}, s.call()
}

func (s *outageStore) Grant(_ context.Context, ttl time.Duration) (Lease, error) {
	s.setLeaseEnd(time.Now().Add(ttl))
	return Lease{ID: 1, Duration: ttl}, s.call()
}

func (s *outageStore) Put(context.Context, []Item, uint64) (uint64, error) {
	s.mu.Lock()
	s.puts++
	s.mu.Unlock()
	return 0, s.call()
}

func (s *outageStore) setLeaseEnd(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseEnds = end
}

// written returns the number of calls of Put.
func (s *outageStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.puts
}

// fail makes the store fail for a time.
func (s *outageStore) fail(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responds = time.Now().Add(d)
}

func (s *outageStore) Renew(context.Context, uint64) (uint64, error) {
	if err := s.call(); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(s.leaseEnds) {
		return 0, errkind.New(errkind.NotFound, "lease has ended")
	}
	return 0, nil
}

// retryUntilResponding calls the store as the tasks of a process do and returns when each
// of them got a response.
func retryUntilResponding(ctx context.Context, store Store, b *storeBackoff, tasks int, responded func()) {
	client := newStoreClient(store, b, zap.NewNop())
	for range tasks {
		go func() {
			for ctx.Err() == nil {
				if _, _, err := client.list(ctx, "", false); err == nil {
					responded()
					return
				}
				b.wait(ctx)
			}
		}()
	}
}

// TestStoreOutage plays a store that does not respond for the last seconds of a power loss
// of the whole deployment. Every task of every process used to retry on its own: thousands
// of calls, and after the outage most tasks waited for the rest of their longest delay
// while callers waited for their flows to be reset.
func TestStoreOutage(t *testing.T) {
	const (
		processes = 39
		tasks     = 4
		outage    = 6 * time.Second
		// maxCallsPerProcess is 1,500 calls of 195 processes.
		maxCallsPerProcess = 7.7
		maxDelay           = 250 * time.Millisecond
		// heartbeatDelay is the time from a probe to the heartbeats of the prober.
		heartbeatDelay = 10 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		returns := time.Now().Add(outage)
		store := &outageStore{responds: returns}
		var others []*storeBackoff
		var mu sync.Mutex
		var slowest time.Duration
		responses := 0
		for i := range processes {
			delays := retryDelays{minWokenDelay, maxWokenDelay}
			if i < watchersPerDomain {
				delays = retryDelays{minRetryDelay, maxProbeDelay}
			}
			b := newStoreBackoff(newClock(), func() retryDelays { return delays })
			if i >= watchersPerDomain {
				others = append(others, b)
			}
			announced := false
			retryUntilResponding(ctx, store, b, tasks, func() {
				mu.Lock()
				responses++
				slowest = max(slowest, time.Since(returns))
				announce := i < watchersPerDomain && !announced
				announced = announced || announce
				mu.Unlock()
				if !announce {
					return
				}
				time.Sleep(heartbeatDelay)
				for _, other := range others {
					other.confirmed(heartbeatDelay)
				}
			})
			synctest.Wait()
		}
		time.Sleep(outage + 5*time.Second)
		synctest.Wait()
		convey.Convey("Every task gets a response soon after the outage, and the calls during it are few", t, func() {
			convey.So(responses, convey.ShouldEqual, processes*tasks)
			convey.So(slowest, convey.ShouldBeLessThan, maxDelay)
			// The first call of each task cannot know of the outage.
			convey.So(float64(store.failures-processes*tasks)/processes, convey.ShouldBeLessThan, maxCallsPerProcess)
		})
	})
}

func TestStoreOutageWithoutReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		returns := time.Now().Add(20 * time.Second)
		b := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minRetryDelay, maxRetryDelay} })
		var mu sync.Mutex
		var slowest time.Duration
		retryUntilResponding(ctx, &outageStore{responds: returns}, b, 4, func() {
			mu.Lock()
			defer mu.Unlock()
			slowest = max(slowest, time.Since(returns))
		})
		time.Sleep(30 * time.Second)
		synctest.Wait()
		convey.Convey("A process that knows no other one finds out within its longest delay, with all its tasks", t, func() {
			convey.So(slowest, convey.ShouldBeBetween, 0, maxRetryDelay)
		})
	})
}

// TestStoreRefusesProcess guards against a process that calls the store at the rate of the
// heartbeats that report that it responds to others.
func TestStoreRefusesProcess(t *testing.T) {
	const (
		tasks             = 4
		maxCallsPerSecond = tasks
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		const length = 10 * time.Second
		store := &outageStore{responds: time.Now().Add(time.Hour)}
		b := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minWokenDelay, maxWokenDelay} })
		retryUntilResponding(ctx, store, b, tasks, func() {})
		for range int(length / (5 * time.Millisecond)) {
			time.Sleep(5 * time.Millisecond)
			b.confirmed(0)
		}
		stop()
		synctest.Wait()
		convey.Convey("It calls the store less than once a second for each task", t, func() {
			convey.So(store.failures, convey.ShouldBeBetween, 2*tasks, maxCallsPerSecond*int(length/time.Second))
		})
	})
}

func TestDirectoryEntryAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		store := &outageStore{}
		b := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minRetryDelay, maxRetryDelay} })
		client := newStoreClient(store, b, zap.NewNop())
		d := &directory{store: client, backoff: b, logger: zap.NewNop(), key: "agent-1", entryWritten: make(chan struct{})}
		done := make(chan error, 1)
		go func() { done <- d.maintainEntry(ctx) }()
		time.Sleep(time.Second)
		// The leases end during the outage, which another task notices.
		store.setLeaseEnd(time.Now())
		store.fail(2 * time.Second)
		before := store.written()
		retryUntilResponding(ctx, store, b, 1, func() {})
		time.Sleep(2*time.Second + maxRetryDelay + 100*time.Millisecond)
		written := store.written() - before
		stop()
		err := <-done
		convey.Convey("An entry whose lease ended during an outage is written again when the store responds", t, func() {
			convey.So(err, convey.ShouldBeNil)
			convey.So(written, convey.ShouldEqual, 1)
		})
	})
}
