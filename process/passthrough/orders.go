package passthrough

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const (
	// watchWait is how long one watch waits in the store. Each is a priced call;
	// heartbeats tell of a version that a silent watch missed.
	watchWait = 20 * time.Second
	// watchCheck is the pace at which a process that does not watch looks whether it
	// should.
	watchCheck = 500 * time.Millisecond
	// storeRetry and storeRetryLimit bound the pause after a failed call.
	storeRetry      = 100 * time.Millisecond
	storeRetryLimit = 800 * time.Millisecond
)

// orderState is everything that operators have written, at a revision.
type orderState struct {
	Revision uint64
	Items    []Item
}

// orders keeps a process at the newest version of what operators have written: by
// a watch on the store, and from a peer when a heartbeat tells of a newer version
// than the watch has brought. A version is never replaced by an older one.
type orders struct {
	adapter Adapter
	logger  *zap.Logger
	apply   func(*routes.Version)
	domains []string
	clock   clock
	client  http.Client
	// watches tells whether this process follows the store.
	watches func() bool
	// announce tells all members of the version and that it is confirmed.
	announce func()

	// confirmed is the time, counted from the start of the process, at which the
	// version was last known to be the newest.
	confirmed atomic.Int64
	mu        sync.Mutex
	state     orderState
	hints     chan hint
}

func newOrders(n *node, apply func(*routes.Version)) *orders {
	return &orders{
		adapter:  n.adapter,
		logger:   n.logger,
		clock:    n.clock,
		watches:  n.watches,
		announce: n.announce,
		domains:  n.settings.Passthrough.Domains,
		apply:    apply,
		client:   http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		hints:    make(chan hint, 1),
	}
}

// offerHint notes that a peer has a newer version. It never blocks.
func (o *orders) offerHint(revision uint64, peer passthrough.Endpoint) {
	select {
	case o.hints <- hint{revision, peer}:
	default:
	}
}

// revision returns the revision in force.
func (o *orders) revision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Revision
}

// watch follows the store until ctx ends.
func (o *orders) watch(ctx context.Context) error {
	pause := backoff{}
	lost := false
	position := uint64(0)
	for ctx.Err() == nil {
		if o.revision() != 0 && !o.watches() {
			position = 0
			sleep(ctx, watchCheck)
			continue
		}
		next, err := o.step(ctx, position)
		if err == nil {
			if lost {
				o.logger.Info("store answers again", zap.Uint64("revision", next))
			}
			lost = false
			position = next
			pause.reset()
			continue
		}
		if errkind.Is(err, errkind.Conflict) {
			o.logger.Info("store no longer keeps the history; reading all orders", zap.Uint64("revision", position))
			position = 0
			continue
		}
		if !lost && ctx.Err() == nil {
			o.logger.Warn("store does not answer the watch", zap.Error(err))
			lost = true
		}
		pause.wait(ctx)
	}
	return nil
}

// step reads all orders when position is 0, else waits for changes after it.
func (o *orders) step(ctx context.Context, position uint64) (uint64, error) {
	if position == 0 {
		items, at, err := o.adapter.Store.List(ctx, o.adapter.ConfigPrefix, false)
		if err != nil {
			return 0, err
		}
		o.replaceListed(items, at)
		return at, nil
	}
	events, at, err := o.adapter.Store.Watch(ctx, o.adapter.ConfigPrefix, position, watchWait)
	if err != nil {
		return 0, err
	}
	if o.merge(events) {
		o.announce()
	}
	return max(at, position), nil
}

// replaceListed takes over the entries of the store. Their own revisions count, as
// for a watch, so that all processes name a state alike; the revision of the list
// grows with other entries too. Only a deletion leaves no revision of its own.
func (o *orders) replaceListed(items []Item, at uint64) {
	state := orderState{Items: items}
	for _, item := range items {
		state.Revision = max(state.Revision, item.Revision)
	}
	if state.Revision <= o.revision() && !o.has(items) {
		state.Revision = at
	}
	o.replace(state, "store")
}

// has tells whether the entries are those in force.
func (o *orders) has(items []Item) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return sameItems(items, o.state.Items)
}

// replace takes over a whole state that is newer than the own one.
func (o *orders) replace(state orderState, source string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state.Revision > o.state.Revision {
		o.install(state, source)
	}
}

// merge takes over changes in the order of their revisions and tells whether there
// were new ones.
func (o *orders) merge(events []Item) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := orderState{Revision: o.state.Revision, Items: slices.Clone(o.state.Items)}
	for _, event := range events {
		if event.Revision <= o.state.Revision {
			continue
		}
		state.Revision = max(state.Revision, event.Revision)
		state.Items = slices.DeleteFunc(state.Items, func(item Item) bool { return item.Key == event.Key })
		if !event.Deleted {
			state.Items = append(state.Items, event)
		}
	}
	if state.Revision <= o.state.Revision {
		return false
	}
	o.install(state, "watch")
	return true
}

// install puts a state in force; one that cannot be read leaves the last good
// version in force.
func (o *orders) install(state orderState, source string) {
	version, err := o.adapter.Decode(state.Items)
	if err != nil {
		o.logger.Warn("orders refused; the last version stays in force", zap.Error(err),
			zap.Uint64("revision", state.Revision), zap.String("source", source))
		return
	}
	version.Revision = state.Revision
	slices.SortFunc(state.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	o.state = state
	o.apply(version)
	o.logger.Info("version in force", zap.Uint64("revision", state.Revision), zap.Uint64("version", version.Number),
		zap.String("source", source), zap.Int("routes", len(version.Routes)), zap.Int("domains_out", len(version.OutDomains)))
}

func sameItems(a, b []Item) bool {
	if len(a) != len(b) {
		return false
	}
	revisions := make(map[string]uint64, len(a))
	for _, item := range a {
		revisions[item.Key] = item.Revision
	}
	for _, item := range b {
		if revision, ok := revisions[item.Key]; !ok || revision != item.Revision {
			return false
		}
	}
	return true
}
