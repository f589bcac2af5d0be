package passthrough

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pollAge is the age of the last confirmation of the version in the whole
	// deployment after which the store is read: a watch may be deaf, and a version
	// must be in force in 3 s, of which spreading takes one.
	pollAge = time.Second
	// pollJitter spreads the processes that would read at the same moment; a
	// heartbeat tells the later ones that it is done.
	pollJitter = 700 * time.Millisecond
)

// confirmedAge returns the time since the version was known to be the newest.
func (o *orders) confirmedAge() time.Duration {
	return o.clock.now() - time.Duration(o.confirmed.Load())
}

// confirm notes that the version was the newest some time ago.
func (o *orders) confirm(age time.Duration) {
	at := int64(o.clock.now() - age)
	for before := o.confirmed.Load(); at > before; before = o.confirmed.Load() {
		if o.confirmed.CompareAndSwap(before, at) {
			return
		}
	}
}

// poll reads the store when nobody in the deployment has done so for pollAge.
func (o *orders) poll(ctx context.Context) error {
	pause := backoff{}
	for {
		target := pollAge + rand.N(pollJitter)
		for age := o.confirmedAge(); age < target; age = o.confirmedAge() {
			if !sleep(ctx, target-age) {
				return nil
			}
		}
		before := o.revision()
		if err := o.read(ctx); err != nil {
			pause.wait(ctx)
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		pause.reset()
		if before > 0 {
			// The others need not read then.
			o.announce()
		}
	}
}

// read makes sure that the newest orders are in force. They are compared first,
// since they may be large.
func (o *orders) read(ctx context.Context) error {
	started := o.clock.now()
	unchanged, err := o.unchanged(ctx)
	if err != nil {
		return err
	}
	if !unchanged {
		items, at, err := o.adapter.Store.List(ctx, o.adapter.ConfigPrefix, false)
		if err != nil {
			return err
		}
		o.replaceListed(items, at)
	}
	o.confirm(o.clock.now() - started)
	return nil
}

// unchanged tells whether the store still has the orders in force. When there are
// too many to compare, or none, it does not.
func (o *orders) unchanged(ctx context.Context) (bool, error) {
	entries := o.expected()
	if len(entries) == 0 || len(entries) > MaxTxnEntries {
		return false, nil
	}
	return o.adapter.Store.Unchanged(ctx, entries)
}

// expected returns the entries in force and those that could come, with their
// revisions.
func (o *orders) expected() []Item {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state.Revision == 0 {
		return nil
	}
	entries := slices.Clone(o.state.Items)
	for _, key := range o.adapter.ConfigKeys(o.domains) {
		if !slices.ContainsFunc(entries, func(item Item) bool { return item.Key == key }) {
			entries = append(entries, Item{Key: key})
		}
	}
	return entries
}
