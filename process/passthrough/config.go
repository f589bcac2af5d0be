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
	Revision uint64
	Items    []Item
}

// configSync keeps the operator configuration of a process up to date: by a watch on the
// store, by polling, and from a peer if a heartbeat announces a version that the watch
// has not delivered. A version is never replaced by an older one.
type configSync struct {
	adapter   Adapter
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

// revision returns the active revision.
func (c *configSync) revision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Revision
}

// watch keeps a watch on the store until ctx is canceled.
func (c *configSync) watch(ctx context.Context) error {
	unavailable := false
	position := uint64(0)
	for ctx.Err() == nil {
		if c.revision() != 0 && !c.shouldWatch() {
			position = 0
			sleep(ctx, watchRecheckInterval)
			continue
		}
		next, err := c.listOrWatch(ctx, position)
		if err == nil {
			if unavailable {
				c.logger.Info("store responds again", zap.Uint64("revision", next))
				if c.isProber() {
					c.announce()
				}
			}
			unavailable = false
			position = next
			continue
		}
		if errkind.Is(err, errkind.Conflict) {
			c.logger.Info("store has discarded the history; reading the whole configuration", zap.Uint64("revision", position))
			position = 0
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

// listOrWatch reads the whole configuration if position is 0, else waits for changes
// after it. It returns the next position.
func (c *configSync) listOrWatch(ctx context.Context, position uint64) (uint64, error) {
	if position == 0 {
		return c.list(ctx)
	}
	events, at, err := c.adapter.Store.Watch(ctx, c.adapter.ConfigPrefix, position, watchWait)
	if err != nil {
		return 0, err
	}
	if c.applyEvents(events) {
		c.announce()
	}
	return max(at, position), nil
}

// list reads the whole configuration and returns the revision of the store.
func (c *configSync) list(ctx context.Context) (uint64, error) {
	started := c.clock.now()
	items, at, err := c.adapter.Store.List(ctx, c.adapter.ConfigPrefix, false)
	if err != nil {
		return 0, err
	}
	c.applyList(items, at)
	c.confirm(c.clock.now() - started)
	return at, nil
}

// applyList applies listed entries. The state gets the highest revision of its entries,
// as with a watch, so that all processes give a state the same revision; the revision of
// the list also increases with unrelated entries. The revision of the list is used only
// after a deletion, which leaves no entry with a higher revision.
func (c *configSync) applyList(items []Item, at uint64) {
	state := configState{Items: items}
	for _, item := range items {
		state.Revision = max(state.Revision, item.Revision)
	}
	if state.Revision <= c.revision() && !c.isActive(items) {
		state.Revision = at
	}
	c.applyIfNewer(state, "store")
}

// isActive reports whether the entries are those of the active version.
func (c *configSync) isActive(items []Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return sameItems(items, c.state.Items)
}

// applyIfNewer applies a complete state if it is newer than the active one.
func (c *configSync) applyIfNewer(state configState, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.Revision > c.state.Revision {
		c.activate(state, source)
	}
}

// applyEvents applies watch events, which are in the order of their revisions, and
// reports whether any was new.
func (c *configSync) applyEvents(events []Item) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := configState{Revision: c.state.Revision, Items: slices.Clone(c.state.Items)}
	for _, event := range events {
		if event.Revision <= c.state.Revision {
			continue
		}
		state.Revision = max(state.Revision, event.Revision)
		state.Items = slices.DeleteFunc(state.Items, func(item Item) bool { return item.Key == event.Key })
		if !event.Deleted {
			state.Items = append(state.Items, event)
		}
	}
	if state.Revision <= c.state.Revision {
		return false
	}
	c.activate(state, "watch")
	return true
}

// activate makes a state the active one. If it is invalid, the last valid version stays
// active.
func (c *configSync) activate(state configState, source string) {
	version, err := c.adapter.Decode(state.Items)
	if err != nil {
		c.logger.Warn("invalid configuration rejected; keeping the active version", zap.Error(err),
			zap.Uint64("revision", state.Revision), zap.String("source", source))
		return
	}
	version.Revision = state.Revision
	slices.SortFunc(state.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	c.state = state
	c.onVersion(version)
	c.logger.Info("configuration version activated", zap.Uint64("revision", state.Revision), zap.Uint64("version", version.Number),
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
