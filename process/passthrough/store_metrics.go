package passthrough

import (
	"context"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/process/metrics"
)

// measuredStore counts the calls to the store by operation and outcome, and
// measures those that do not wait for changes.
type measuredStore struct {
	store   Store
	latency *metrics.Latency

	mu     sync.Mutex
	counts map[string]uint64
}

func newMeasuredStore(store Store) *measuredStore {
	return &measuredStore{store: store, latency: metrics.NewLatency(), counts: map[string]uint64{}}
}

// storeMetrics is the state of the client as it is published.
type storeMetrics struct {
	Calls   map[string]uint64      `json:"calls"`
	Latency metrics.LatencySummary `json:"latency"`
}

func (m *measuredStore) metrics() storeMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	calls := make(map[string]uint64, len(m.counts))
	for name, count := range m.counts {
		calls[name] = count
	}
	return storeMetrics{calls, m.latency.Summary()}
}

// count adds a call by operation and outcome.
func (m *measuredStore) count(operation string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = errkind.Of(err).String()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[operation+"_"+outcome]++
}

// measure adds a call and its duration.
func (m *measuredStore) measure(operation string, started time.Time, err error) {
	m.latency.Record(time.Since(started))
	m.count(operation, err)
}

// List implements Store.
func (m *measuredStore) List(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error) {
	started := time.Now()
	items, revision, err := m.store.List(ctx, prefix, stale)
	m.measure("list", started, err)
	return items, revision, err
}

// Watch implements Store.
func (m *measuredStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, uint64, error) {
	events, revision, err := m.store.Watch(ctx, prefix, after, wait)
	m.count("watch", err)
	return events, revision, err
}

// Unchanged implements Store.
func (m *measuredStore) Unchanged(ctx context.Context, entries []Item) (bool, error) {
	started := time.Now()
	unchanged, err := m.store.Unchanged(ctx, entries)
	m.measure("compare", started, err)
	return unchanged, err
}

// Grant implements Store.
func (m *measuredStore) Grant(ctx context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	started := time.Now()
	lease, granted, err := m.store.Grant(ctx, ttl)
	m.measure("grant", started, err)
	return lease, granted, err
}

// Renew implements Store.
func (m *measuredStore) Renew(ctx context.Context, lease uint64) error {
	started := time.Now()
	err := m.store.Renew(ctx, lease)
	m.measure("renew", started, err)
	return err
}

// Delete implements Store.
func (m *measuredStore) Delete(ctx context.Context, key string) error {
	started := time.Now()
	err := m.store.Delete(ctx, key)
	m.measure("delete", started, err)
	return err
}

// Put implements Store.
func (m *measuredStore) Put(ctx context.Context, entries []Item, lease uint64) error {
	started := time.Now()
	err := m.store.Put(ctx, entries, lease)
	m.measure("put", started, err)
	return err
}
