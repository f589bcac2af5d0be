package passthrough

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// lostEntryTimeout is how long an entry that the store has lost stays in effect once the
// numbered entry is up to date. After that, the operators are assumed to have removed it while
// the store was away.
const lostEntryTimeout = 5 * time.Second

// heldEntry is an entry of an earlier era, or the removal of one, that the store lost when it
// was restored from an older copy. It stays in effect until operators write it again.
type heldEntry struct {
	Item
	// Number is the version number of the entry that operators number, 0 for other entries.
	Number uint64 `json:",omitempty"`
	// ExpiresIn is the remaining time in a response to a peer, 0 if it has not started.
	ExpiresIn time.Duration `json:",omitempty"`
	// expiresAt is the end of the time on the clock, 0 if it has not started.
	expiresAt time.Duration
}

// effective returns the entries of a state with those that the store has lost.
func (s *configState) effective() []Item {
	if len(s.Held) == 0 {
		return s.Items
	}
	items := slices.Clone(s.Items)
	for _, held := range s.Held {
		items = slices.DeleteFunc(items, func(item Item) bool { return item.Key == held.Key })
		if !held.Deleted {
			items = append(items, held.Item)
		}
	}
	return items
}

// heldDigest returns a digest of the held entries, 0 if there are none. Processes with the same
// revision and digest have the same version.
func (s *configState) heldDigest() uint16 {
	if len(s.Held) == 0 {
		return 0
	}
	var digest uint16
	for _, held := range s.Held {
		b := fmt.Appendf(nil, "%s %d %d %t", held.Key, held.Era, held.Index, held.Deleted)
		digest ^= uint16(xxhash.Sum64(b))
	}
	return max(digest, 1)
}

// lostEntries returns the entries of the active version and the known removals, as held
// entries. The caller holds mu.
func (c *configSync) lostEntries() []heldEntry {
	var lost []heldEntry
	for _, item := range c.state.effective() {
		held := heldEntry{Item: item}
		if item.Key == c.adapter.ConfigKey {
			held.Number = c.number
		}
		lost = append(lost, held)
	}
	for _, item := range c.removed {
		item.Deleted = true
		lost = append(lost, heldEntry{Item: item})
	}
	return lost
}

// isWritten reports whether the store shows the entry, or the removal, or a later change of it.
// number is the version number that the store has.
func (c *configSync) isWritten(held heldEntry, items []Item, number uint64) bool {
	at := slices.IndexFunc(items, func(item Item) bool { return item.Key == held.Key })
	switch {
	case held.Key == c.adapter.ConfigKey:
		return number >= held.Number
	case held.Deleted:
		return at < 0 || items[at].Index != held.Index
	}
	return at >= 0
}

// isLater reports whether a held entry replaces another one with the same key: it has a higher
// number or a later revision, or is the removal of the other one.
func (h *heldEntry) isLater(other heldEntry) bool {
	switch {
	case h.Number != other.Number:
		return h.Number > other.Number
	case h.Revision != other.Revision:
		return h.Newer(other.Revision)
	}
	return h.Deleted && !other.Deleted
}

// mergeHeld combines the held entries of two processes in the same era.
func mergeHeld(a, b []heldEntry) []heldEntry {
	merged := slices.Clone(a)
	for _, held := range b {
		at := slices.IndexFunc(merged, func(other heldEntry) bool { return other.Key == held.Key })
		switch {
		case at < 0:
			merged = append(merged, held)
		case held.isLater(merged[at]):
			merged[at] = held
		}
	}
	return merged
}

// received prepares the held entries in a response of a peer. Those that have ended here in the
// same era are left out. The caller holds mu.
func (c *configSync) received(read configState) []heldEntry {
	var entries []heldEntry
	for _, held := range read.Held {
		if read.Era == c.state.Era && slices.Contains(c.released, held.Key) {
			continue
		}
		if held.ExpiresIn > 0 {
			held.expiresAt = c.clock.now() + held.ExpiresIn
		}
		entries = append(entries, held)
	}
	return entries
}

// settleHeld removes the held entries of a state that have been written again or have expired,
// and starts the time of the others. The error has kind InvalidConfig. The caller holds mu.
func (c *configSync) settleHeld(state *configState) error {
	if len(state.Held) == 0 {
		return nil
	}
	number, err := c.numberOf(state.Items)
	if err != nil {
		return err
	}
	now := c.clock.now()
	var held []heldEntry
	behind := false
	for _, entry := range state.Held {
		if c.isWritten(entry, state.Items, number) {
			continue
		}
		held = append(held, entry)
		behind = behind || entry.Key == c.adapter.ConfigKey
	}
	state.Held = nil
	for _, entry := range held {
		if !behind && entry.expiresAt == 0 {
			entry.expiresAt = now + lostEntryTimeout
		}
		if entry.expiresAt > 0 && entry.expiresAt <= now {
			c.released = append(c.released, entry.Key)
			c.logger.Warn("entry that the store has lost was not written again; following the store", revisionFields(state.Revision,
				zap.String("key", entry.Key), zap.Bool("deleted", entry.Deleted))...)
			continue
		}
		state.Held = append(state.Held, entry)
	}
	slices.SortFunc(state.Held, func(a, b heldEntry) int { return strings.Compare(a.Key, b.Key) })
	return nil
}

// numberOf returns the version number of entries, 0 if the numbered one is missing. The error
// has kind InvalidConfig.
func (c *configSync) numberOf(items []Item) (uint64, error) {
	if !slices.ContainsFunc(items, func(item Item) bool { return item.Key == c.adapter.ConfigKey }) {
		return 0, nil
	}
	version, err := c.adapter.Decode(items)
	if err != nil {
		return 0, err
	}
	return version.Number, nil
}

// expireHeld removes the held entries whose time has ended.
func (c *configSync) expireHeld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.state.Held) > 0 {
		c.settle(c.state, "expiry of held entries")
	}
}

// noteRemovals remembers the entries that a new state lacks. The caller holds mu.
func (c *configSync) noteRemovals(before, after []Item) {
	for _, item := range before {
		if !slices.ContainsFunc(after, func(other Item) bool { return other.Key == item.Key }) {
			c.removed = append(c.removed, item)
		}
	}
	c.removed = slices.DeleteFunc(c.removed, func(item Item) bool {
		return slices.ContainsFunc(after, func(other Item) bool { return other.Key == item.Key })
	})
}

// logHeld logs the held entries of a new state if they have changed. The caller holds mu.
func (c *configSync) logHeld(state configState) {
	if state.heldDigest() == c.state.heldDigest() {
		return
	}
	if len(state.Held) == 0 {
		c.logger.Info("no entry of the active version is missing from the store any more", revisionFields(state.Revision)...)
		return
	}
	keys := make([]string, 0, len(state.Held))
	for _, held := range state.Held {
		keys = append(keys, held.Key)
	}
	c.logger.Warn("entries that the store has lost stay in effect until they are written again", revisionFields(state.Revision, zap.Strings("keys", keys))...)
}

// scheduleExpiry ends the held entries of the active version when their time is over. The
// caller holds mu.
func (c *configSync) scheduleExpiry() {
	for _, held := range c.state.Held {
		if held.expiresAt > 0 {
			time.AfterFunc(held.expiresAt-c.clock.now(), c.expireHeld)
		}
	}
}

// release ends a held entry of an event's key, other than the numbered one. The caller holds mu.
func (c *configSync) release(state *configState, key string) {
	before := len(state.Held)
	state.Held = slices.DeleteFunc(state.Held, func(held heldEntry) bool { return held.Key == key && key != c.adapter.ConfigKey })
	if len(state.Held) < before {
		c.released = append(c.released, key)
	}
}

// heldEntries returns the number of entries in effect that the store has lost.
func (c *configSync) heldEntries() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.state.Held)
}

// forPeer returns the state with the remaining times of its held entries.
func (s configState) forPeer(now time.Duration) configState {
	s.Held = slices.Clone(s.Held)
	for i, held := range s.Held {
		if held.expiresAt > 0 {
			s.Held[i].ExpiresIn = max(held.expiresAt-now, time.Millisecond)
		}
	}
	return s
}
