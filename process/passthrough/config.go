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
	// Items are the entries of the store in the era of the revision.
	Items []Item
	// Held are entries of earlier eras that the store has lost.
	Held []heldEntry `json:",omitempty"`
}

// configSync keeps the operator configuration of a process up to date: by a watch on the
// store, by polling, and from a peer if a heartbeat announces a version that the watch
// has not delivered. A version is never replaced by an older one: if the store was restored
// from an older copy, what it has lost stays in effect until operators write it again.
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
	// number is the version number of the active version.
	number uint64
	// removed are the entries that were removed, by key the last one.
	removed []Item
	// released are the keys of the held entries that expired in the era of the state.
	released []string
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
		before := c.revision()
		at, err := c.list(ctx)
		if !before.IsZero() && c.revision().Newer(before) {
			c.announce()
		}
		return at, err
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
	c.confirm(c.clock.now() - started)
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
	if active := c.revision(); !state.Newer(active) && (at.Era != active.Era || !c.isActive(items)) {
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

// applyIfNewer applies what is newer in a complete state than in the active one: the entries
// of the store by their revision, and entries of earlier eras that the store has lost.
func (c *configSync) applyIfNewer(read configState, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := read
	switch {
	case read.Era < c.state.Era:
		return
	case read.Era > c.state.Era:
		next.Held = mergeHeld(c.lostEntries(), c.received(read))
	default:
		if !read.Newer(c.state.Revision) {
			next = c.state
		}
		next.Held = mergeHeld(c.state.Held, c.received(read))
	}
	c.settle(next, source)
}

// settle activates a state without the held entries that have been written again, if it
// differs from the active one. The caller holds mu.
func (c *configSync) settle(next configState, source string) {
	if err := c.settleHeld(&next); err != nil {
		c.logRejected(next, source, err)
		return
	}
	if next.Newer(c.state.Revision) || next.heldDigest() != c.state.heldDigest() {
		c.activate(next, source)
	}
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
	state := configState{Revision: c.state.Revision, Items: slices.Clone(c.state.Items), Held: slices.Clone(c.state.Held)}
	for _, event := range events {
		if !event.Newer(c.state.Revision) {
			continue
		}
		state.Revision = latest(state.Revision, event.Revision)
		state.Items = slices.DeleteFunc(state.Items, func(item Item) bool { return item.Key == event.Key })
		if !event.Deleted {
			state.Items = append(state.Items, event)
			continue
		}
		c.release(&state, event.Key)
	}
	if !state.Newer(c.state.Revision) {
		return false, nil
	}
	c.settle(state, "watch")
	return true, nil
}

// activate makes a state the active one. If it is invalid, the last valid version stays
// active.
func (c *configSync) activate(state configState, source string) {
	items := state.effective()
	version, err := c.adapter.Decode(items)
	if err != nil {
		c.logRejected(state, source, err)
		return
	}
	version.Revision, version.Held = state.Revision, state.heldDigest()
	slices.SortFunc(state.Items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	c.noteRemovals(c.state.effective(), items)
	c.logHeld(state)
	if state.Era != c.state.Era {
		c.released = nil
	}
	c.state, c.number = state, version.Number
	if version.Held != 0 {
		c.announced.setMerged(state.Era, version.Held)
	}
	c.scheduleExpiry()
	c.onVersion(version)
	c.logger.Info("configuration version activated", revisionFields(state.Revision, zap.Uint64("version", version.Number),
		zap.String("source", source), zap.Int("routes", len(version.Routes)), zap.Int("domains_out", len(version.OutDomains)), zap.Int("held", len(state.Held)))...)
}

func (c *configSync) logRejected(state configState, source string, err error) {
	c.logger.Warn("invalid configuration rejected; keeping the active version", revisionFields(state.Revision,
		zap.String("source", source), zap.Error(err))...)
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
