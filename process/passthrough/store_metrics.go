package passthrough

import (
	"context"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/process/metrics"
)

// instrumentedStore counts the calls to the store by operation and outcome, measures the
// latency of those that do not wait for changes, and notes whether the store responds.
type instrumentedStore struct {
	store   Store
	backoff *storeBackoff
	latency *metrics.Latency

	mu     sync.Mutex
	counts map[string]uint64
}

func newInstrumentedStore(store Store, backoff *storeBackoff) *instrumentedStore {
	return &instrumentedStore{store: store, backoff: backoff, latency: metrics.NewLatency(), counts: map[string]uint64{}}
}

// storeMetrics are the published metrics of the store client.
type storeMetrics struct {
	Calls   map[string]uint64      `json:"calls"`
	Latency metrics.LatencySummary `json:"latency"`
}

func (s *instrumentedStore) metrics() storeMetrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]uint64, len(s.counts))
	for name, count := range s.counts {
		calls[name] = count
	}
	return storeMetrics{calls, s.latency.Summary()}
}

// count counts a call by operation and outcome, and passes to the backoff whether the
// store responded.
func (s *instrumentedStore) count(operation string, err error) {
	if errkind.Is(err, errkind.StoreUnavailable) || errkind.Is(err, errkind.OutcomeUnknown) {
		s.backoff.failed()
	} else {
		s.backoff.succeeded()
	}
	outcome := "ok"
	if err != nil {
		outcome = errkind.Of(err).String()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[operation+"_"+outcome]++
}

// measure counts a call and records its latency.
func (s *instrumentedStore) measure(operation string, started time.Time, err error) {
	s.latency.Record(time.Since(started))
	s.count(operation, err)
}

// List implements Store.
func (s *instrumentedStore) List(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error) {
	started := time.Now()
	items, revision, err := s.store.List(ctx, prefix, stale)
	s.measure("list", started, err)
	return items, revision, err
}

// Watch implements Store.
func (s *instrumentedStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.count("watch", err)
	return events, revision, err
}

// Unchanged implements Store.
func (s *instrumentedStore) Unchanged(ctx context.Context, entries []Item) (bool, error) {
	started := time.Now()
	unchanged, err := s.store.Unchanged(ctx, entries)
	s.measure("compare", started, err)
	return unchanged, err
}

// Grant implements Store.
func (s *instrumentedStore) Grant(ctx context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	started := time.Now()
	lease, granted, err := s.store.Grant(ctx, ttl)
	s.measure("grant", started, err)
	return lease, granted, err
}

// Renew implements Store.
func (s *instrumentedStore) Renew(ctx context.Context, lease uint64) error {
	started := time.Now()
	err := s.store.Renew(ctx, lease)
	s.measure("renew", started, err)
	return err
}

// Delete implements Store.
func (s *instrumentedStore) Delete(ctx context.Context, key string) error {
	started := time.Now()
	err := s.store.Delete(ctx, key)
	s.measure("delete", started, err)
	return err
}

// Put implements Store.
func (s *instrumentedStore) Put(ctx context.Context, entries []Item, lease uint64) error {
	started := time.Now()
	err := s.store.Put(ctx, entries, lease)
	s.measure("put", started, err)
	return err
}
