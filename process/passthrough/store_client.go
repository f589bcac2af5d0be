package passthrough

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/process/metrics"
	"bergamotbank/version/routes"
)

// storeClient makes the calls of a process to the store. It counts them by operation and
// outcome, measures the latency of those that do not wait for changes, and notes whether the
// store responds and in which era.
type storeClient struct {
	store   Store
	backoff *storeBackoff
	eras    *eraTracker
	latency *metrics.Latency

	mu     sync.Mutex
	counts map[string]uint64
}

func newStoreClient(store Store, backoff *storeBackoff, logger *zap.Logger) *storeClient {
	return &storeClient{store: store, backoff: backoff, eras: newEraTracker(logger), latency: metrics.NewLatency(), counts: map[string]uint64{}}
}

// storeMetrics are the published metrics of the store client.
type storeMetrics struct {
	eraMetrics
	Calls   map[string]uint64      `json:"calls"`
	Latency metrics.LatencySummary `json:"latency"`
}

func (s *storeClient) metrics() storeMetrics {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]uint64, len(s.counts))
	for name, count := range s.counts {
		calls[name] = count
	}
	return storeMetrics{s.eras.metrics(), calls, s.latency.Summary()}
}

// count counts a call by operation and outcome, and passes to the backoff whether the
// store responded.
func (s *storeClient) count(operation string, err error) {
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
func (s *storeClient) measure(operation string, started time.Time, err error) {
	s.latency.Record(time.Since(started))
	s.count(operation, err)
}

// list reads all entries with a prefix. The revision is that of the first page, so that a
// watch after it repeats the changes made between two pages. A stale read may be seconds old
// and costs a tenth of a consistent one.
func (s *storeClient) list(ctx context.Context, prefix string, stale bool) ([]Item, routes.Revision, error) {
	var items []Item
	var revision routes.Revision
	for after := ""; ; {
		started := time.Now()
		page, err := s.store.List(ctx, prefix, after, stale)
		s.measure("list", started, err)
		if err != nil {
			return nil, routes.Revision{}, err
		}
		s.eras.observe(page.Revision.Era)
		if after == "" {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// watch waits, at most for the given time, until entries with a prefix change after an index
// of the store.
func (s *storeClient) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Item, routes.Revision, error) {
	events, revision, err := s.store.Watch(ctx, prefix, after, wait)
	s.count("watch", err)
	if err == nil {
		s.eras.observe(revision.Era)
	}
	return events, revision, err
}

// unchanged reports whether every entry still has its index; 0 means that it does not exist.
// It takes at most MaxTxnEntries entries.
func (s *storeClient) unchanged(ctx context.Context, entries []Item) (bool, error) {
	started := time.Now()
	unchanged, era, err := s.store.Unchanged(ctx, entries)
	s.measure("compare", started, err)
	if err == nil {
		s.eras.observe(era)
	}
	return unchanged, err
}

// grant requests a lease.
func (s *storeClient) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	started := time.Now()
	lease, err := s.store.Grant(ctx, ttl)
	s.measure("grant", started, err)
	if err == nil {
		s.eras.observe(lease.Era)
	}
	return lease, err
}

// renew renews a lease.
func (s *storeClient) renew(ctx context.Context, lease Lease) error {
	started := time.Now()
	era, err := s.store.Renew(ctx, lease.ID)
	s.measure("renew", started, err)
	if err == nil {
		s.eras.observe(era)
	}
	return err
}

// put writes at most MaxTxnEntries entries in one transaction and attaches them to a lease.
func (s *storeClient) put(ctx context.Context, entries []Item, lease Lease) error {
	started := time.Now()
	era, err := s.store.Put(ctx, entries, lease.ID)
	s.measure("put", started, err)
	if err == nil {
		s.eras.observe(era)
	}
	return err
}

// delete removes an entry.
func (s *storeClient) delete(ctx context.Context, key string) error {
	started := time.Now()
	err := s.store.Delete(ctx, key)
	s.measure("delete", started, err)
	return err
}
