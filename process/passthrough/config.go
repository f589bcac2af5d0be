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

	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const (
	// watchWait is the maximum duration of one watch call, which is billed. Heartbeats
	// announce versions that a stalled watch misses.
	watchWait = 20 * time.Second
	// watchRecheckInterval is the interval at which a process that does not watch the
	// store checks whether it should.
	watchRecheckInterval = 500 * time.Millisecond
)

// configState is the complete operator configuration at a revision.
type configState struct {
	routes.Revision
	Items []Item
}

// configSync keeps the operator configuration of a process up to date: by a watch on the
// store, by polling, and from a peer if a heartbeat announces a version that the watch
// has not delivered. A version is never replaced by an older one.
type configSync struct {
	adapter   Adapter
	store     *storeClient
	logger    *zap.Logger
	onVersion func(*routes.Version)
	domains   []string
	clock     clock
	client    http.Client
	// shouldWatch reports whether this process watches the store.
	shouldWatch func() bool
	// isProber reports whether this process probes a store that does not respond.
	isProber func() bool
	backoff  *storeBackoff
	// announce sends the active revision and its confirmation to all members.
	announce func()

	// confirmed is the time of clock, in nanoseconds, at which the version was last
	// known to be the newest.
	confirmed atomic.Int64
	mu        sync.Mutex
	state     configState
	// announced are newer versions of peers, encoded is the response to their requests.
	announced *announcements
	encoded   encodedConfig
}

func newConfigSync(n *node, onVersion func(*routes.Version)) *configSync {
	return &configSync{
		adapter:     n.adapter,
		store:       n.store,
		logger:      n.logger,
		clock:       n.clock,
		shouldWatch: n.shouldWatch,
		isProber:    n.isProber,
		backoff:     n.backoff,
		announce:    n.announce,
		domains:     n.settings.Passthrough.Domains,
		onVersion:   onVersion,
		client:      http.Client{Timeout: fetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		announced:   newAnnouncements(n.settings.Domain),
	}
}

// revision returns the active revision, the zero value for none.
func (c *configSync) revision() routes.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision
}

// watch keeps a watch on the store until ctx is canceled.
func (c *configSync) watch(ctx context.Context) error {
	unavailable := false
	position := routes.Revision{}
	for ctx.Err() == nil {
		if !c.revision().IsZero() && !c.shouldWatch() {
			position = routes.Revision{}
			sleep(ctx, watchRecheckInterval)
			continue
		}
		next, err := c.listOrWatch(ctx, position)
		if err == nil {
			if unavailable {
				c.logger.Info("store responds again", revisionFields(next)...)
				if c.isProber() {
					c.announce()
				}
			}
			unavailable = false
			position = next
			continue
		}
		if errkind.Is(err, errkind.Conflict) {
			c.logger.Info("store has discarded the history; reading the whole configuration", revisionFields(position)...)
			position = routes.Revision{}
			continue
		}
		if !unavailable && ctx.Err() == nil {
			c.logger.Warn("watch on the store failed", zap.Error(err))
			unavailable = true
		}
		c.backoff.wait(ctx)
	}
	return nil
}

// listOrWatch reads the whole configuration if position is the zero value, else waits for
// changes after it. It returns the next position.
func (c *configSync) listOrWatch(ctx context.Context, position routes.Revision) (routes.Revision, error) {
	if position.IsZero() {
		return c.list(ctx)
	}
	events, at, err := c.store.watch(ctx, c.adapter.ConfigPrefix, position, watchWait)
	if err != nil {
		return routes.Revision{}, err
	}
	applied, err := c.applyEvents(events, at.Era)
	if applied {
		c.announce()
	}
	return latest(at, position), err
}

// list reads the whole configuration and returns the revision of the store.
func (c *configSync) list(ctx context.Context) (routes.Revision, error) {
	started := c.clock.now()
	items, at, err := c.store.list(ctx, c.adapter.ConfigPrefix, false)
	if err != nil {
		return routes.Revision{}, err
	}
	c.applyList(items, at)
	if at.Era == c.revision().Era {
		c.confirm(c.clock.now() - started)
	}
	return at, nil
}

// applyList applies listed entries. The state gets the highest revision of its entries,
// as with a watch, so that all processes give a state the same revision; the revision of
// the list also increases with unrelated entries. The revision of the list is used only
// after a deletion, which leaves no entry with a higher revision.
func (c *configSync) applyList(items []Item, at routes.Revision) {
	state := configState{Items: items}
	for _, item := range items {
		state.Revision = latest(state.Revision, item.Revision)
	}
	if !state.Newer(c.revision()) && !c.isActive(items) {
		state.Revision = at
	}
	if !c.applyIfNewer(state, "store") && !c.isActive(items) {
		c.logger.Warn("configuration in the store is not newer; keeping the active version", revisionFields(state.Revision,
			zap.Uint64("active_era", c.revision().Era), zap.Uint64("active_revision", c.revision().Index))...)
	}
}

// isActive reports whether the entries are those of the active version.
func (c *configSync) isActive(items []Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sameItems(items, c.state.Items)
}

// applyIfNewer applies a complete state and reports whether it is newer than the active one.
func (c *configSync) applyIfNewer(state configState, source string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !state.Newer(c.state.Revision) {
		return false
	}
	c.activate(state, source)
	return true
}

// applyEvents applies watch events, which are in the order of their revisions, and
// reports whether any was new. The error has kind Conflict if the active version is of
// another era than the events, which then do not complete it.
func (c *configSync) applyEvents(events []Item, era uint64) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(events) > 0 && era != c.state.Era {
		return false, errRestored
	}
	state := configState{Revision: c.state.Revision, Items: slices.Clone(c.state.Items)}
	for _, event := range events {
		if !event.Newer(c.state.Revision) {
			continue
		}
		state.Revision = latest(state.Revision, event.Revision)
		state.Items = slices.DeleteFunc(state.Items, func(item Item) bool { return item.Key == event.Key })
		if !event.Deleted {
			state.Items = append(state.Items, event)
		}
	}
	if !state.Newer(c.state.Revision) {
		return false, nil
	}
	c.activate(state, "watch")
	return true, nil
}

// activate makes a state the active one. If it is invalid, the last valid version stays
// active.
func (c *configSync) activate(state configState, source string) {
	version, err := c.adapter.Decode(state.Items)
	if err != nil {
		c.logger.Warn("invalid configuration rejected; keeping the active version", revisionFields(state.Revision,
			zap.String("source", source), zap.Error(err))...)
		return
	}
	version.Revision = state.Revision
	slices.SortFunc(state.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	c.state = state
	c.onVersion(version)
	c.logger.Info("configuration version activated", revisionFields(state.Revision, zap.Uint64("version", version.Number),
		zap.String("source", source), zap.Int("routes", len(version.Routes)), zap.Int("domains_out", len(version.OutDomains)))...)
}

// latest returns the newer one of two revisions.
func latest(a, b routes.Revision) routes.Revision {
	if b.Newer(a) {
		return b
	}
	return a
}

// revisionFields returns the log fields of a revision, followed by more.
func revisionFields(r routes.Revision, more ...zap.Field) []zap.Field {
	return append([]zap.Field{zap.Uint64("era", r.Era), zap.Uint64("revision", r.Index)}, more...)
}

func sameItems(a, b []Item) bool {
	if len(a) != len(b) {
		return false
	}
	revisions := make(map[string]routes.Revision, len(a))
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
