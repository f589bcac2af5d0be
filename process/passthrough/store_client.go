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
// watch after it repeats the changes made between two pages. It starts over if the store was
// restored between two pages. A stale read may be seconds old and costs a tenth of a
// consistent one.
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
		if era, _ := s.eras.current(); page.Revision.Era < era {
			return nil, routes.Revision{}, errkind.New(errkind.StoreUnavailable, "list %s: response of era %d, which ended with era %d", prefix, page.Revision.Era, era)
		}
		if after != "" && page.Revision.Era != revision.Era {
			items, after = nil, ""
			continue
		}
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

// watch waits, at most for the given time, until entries with a prefix change after a
// revision of the store. The error has kind Conflict if the store does not have the history
// after it, also since it is in another era: it assigns the same indexes to other changes.
func (s *storeClient) watch(ctx context.Context, prefix string, after routes.Revision, wait time.Duration) ([]Item, routes.Revision, error) {
	era, restored := s.eras.current()
	if era > after.Era {
		return nil, routes.Revision{}, errRestored
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-restored:
			cancel()
		case <-callCtx.Done():
		}
	}()
	events, revision, err := s.store.Watch(callCtx, prefix, after.Index, wait)
	if err == nil {
		s.eras.observe(revision.Era)
		if revision.Era != after.Era {
			err = errRestored
		}
	} else if era, _ := s.eras.current(); era != after.Era && ctx.Err() == nil {
		err = errRestored
	}
	s.count("watch", err)
	return events, revision, err
}

// errRestored is the error of a watch that cannot continue in the current era of the store.
var errRestored = errkind.New(errkind.Conflict, "the store was restored from an older copy")

// unchanged reports whether every entry still has its index in an era; 0 means that it does
// not exist. It takes at most MaxTxnEntries entries.
func (s *storeClient) unchanged(ctx context.Context, entries []Item, era uint64) (bool, error) {
	started := time.Now()
	unchanged, current, err := s.store.Unchanged(ctx, entries)
	s.measure("compare", started, err)
	if err != nil {
		return false, err
	}
	s.eras.observe(current)
	return unchanged && current == era, nil
}

// isLost reports whether the store was restored since it granted a lease. The store may have
// lost the lease or what was written with it, and may grant its identifier to another process.
func (s *storeClient) isLost(lease Lease) bool {
	era, _ := s.eras.current()
	return lease.Era != era
}

// grant requests a lease.
func (s *storeClient) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	started := time.Now()
	lease, err := s.store.Grant(ctx, ttl)
	s.measure("grant", started, err)
	if err != nil {
		return Lease{}, err
	}
	return lease, s.checkLease(lease, lease.Era)
}

// renew renews a lease. The error has kind NotFound if the lease has ended or is lost.
func (s *storeClient) renew(ctx context.Context, lease Lease) error {
	started := time.Now()
	era, err := s.store.Renew(ctx, lease.ID)
	s.measure("renew", started, err)
	if err != nil {
		return err
	}
	return s.checkLease(lease, era)
}

// put writes at most MaxTxnEntries entries in one transaction and attaches them to a lease. The
// error has kind NotFound if the lease has ended or is lost.
func (s *storeClient) put(ctx context.Context, entries []Item, lease Lease) error {
	started := time.Now()
	era, err := s.store.Put(ctx, entries, lease.ID)
	s.measure("put", started, err)
	if err != nil {
		return err
	}
	return s.checkLease(lease, era)
}

// checkLease returns an error of kind NotFound if a lease is lost, as of a response of an era.
func (s *storeClient) checkLease(lease Lease, era uint64) error {
	s.eras.observe(era)
	if s.isLost(lease) {
		return errkind.New(errkind.NotFound, "lease %d of era %d was lost when the store was restored", lease.ID, lease.Era)
	}
	return nil
}

// delete removes an entry.
func (s *storeClient) delete(ctx context.Context, key string) error {
	started := time.Now()
	err := s.store.Delete(ctx, key)
	s.measure("delete", started, err)
	return err
}
