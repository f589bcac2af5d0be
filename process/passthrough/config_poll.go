package passthrough

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxConfirmationAge is the time after the last confirmation of the version by any
	// process at which the store is read, since a watch may be stalled. A version must be
	// active everywhere within 3 s, of which distribution takes 1 s.
	maxConfirmationAge = time.Second
	// pollJitter spreads the reads of processes that would poll at the same time; the
	// heartbeat of the first one makes the reads of the others unnecessary.
	pollJitter = 700 * time.Millisecond
)

// confirmedAge returns the time since the version was last known to be the newest.
func (c *configSync) confirmedAge() time.Duration {
	return c.clock.now() - time.Duration(c.confirmed.Load())
}

// confirm records a confirmation, of the given age, that the version is the newest one.
func (c *configSync) confirm(age time.Duration) {
	at := int64(c.clock.now() - age)
	for before := c.confirmed.Load(); at > before; before = c.confirmed.Load() {
		if c.confirmed.CompareAndSwap(before, at) {
			return
		}
	}
}

// poll reads the store if no process of the deployment has done so for
// maxConfirmationAge.
func (c *configSync) poll(ctx context.Context) error {
	for {
		target := maxConfirmationAge + rand.N(pollJitter)
		for age := c.confirmedAge(); age < target; age = c.confirmedAge() {
			if !sleep(ctx, target-age) {
				return nil
			}
		}
		before := c.revision()
		if err := c.refresh(ctx); err != nil {
			c.backoff.wait(ctx)
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if !before.IsZero() {
			// The other processes then need not read the store.
			c.announce()
		}
	}
}

// refresh makes sure that the newest configuration is active. It compares revisions
// first, since the configuration may be large.
func (c *configSync) refresh(ctx context.Context) error {
	started := c.clock.now()
	unchanged, err := c.unchanged(ctx)
	if err != nil {
		return err
	}
	if !unchanged {
		_, err := c.list(ctx)
		return err
	}
	c.confirm(c.clock.now() - started)
	return nil
}

// unchanged reports whether the store still holds the active configuration. It returns
// false if there are no entries or too many to compare.
func (c *configSync) unchanged(ctx context.Context) (bool, error) {
	entries, era := c.expectedEntries()
	if len(entries) == 0 || len(entries) > MaxTxnEntries {
		return false, nil
	}
	return c.store.unchanged(ctx, entries, era)
}

// expectedEntries returns the active entries and, with index 0, those that operators may add,
// and the era of the active revision.
func (c *configSync) expectedEntries() ([]Item, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state.IsZero() {
		return nil, 0
	}
	entries := slices.Clone(c.state.Items)
	for _, key := range c.adapter.ConfigKeys(c.domains) {
		if !slices.ContainsFunc(entries, func(item Item) bool { return item.Key == key }) {
			entries = append(entries, Item{Key: key})
		}
	}
	return entries, c.state.Era
}
