package passthrough

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/process/roster"
)

const (
	// directoryPrefix is the key prefix below which processes write their peer
	// addresses, followed by the prefix of their role.
	directoryPrefix = "bergamotbank/members/"
	balancersPrefix = "balancers/"
	agentsPrefix    = "agents/"
	// entryLease is the requested lease of a directory entry; the store may grant only
	// longer ones. Entries serve discovery; heartbeats detect failed members.
	entryLease = 30 * time.Second
	// renewalsPerLease is the number of renewals in a lease, so that two may fail.
	renewalsPerLease = 3
	// listInterval is the time between reads of the directory, by which processes
	// discover each other when no other member has introduced them.
	listInterval = 15 * time.Second
	// entryRestoreTime is the time within which processes write their entries again after the
	// store was restored from an older copy. entryRestoreSpread spreads the writes.
	entryRestoreTime   = 2 * time.Second
	entryRestoreSpread = time.Second
)

// directory maintains the entry of this process in the store and reads those of others.
type directory struct {
	store   *storeClient
	backoff *storeBackoff
	logger  *zap.Logger
	key     string
	peer    passthrough.Endpoint
	// apply passes the entries of other processes to the roster.
	apply func([]roster.Entry)

	// minLease is the shortest lease that the store grants.
	minLease time.Duration
	// lease is the lease of this process's entry, the zero value for none.
	lease Lease
	// entryWritten is closed when this process's entry has been written for the first
	// time.
	entryWritten chan struct{}
	// synced is true if the directory has been read after this process's entry was
	// written: of two processes that start together, the one that reads later then
	// finds the other.
	synced atomic.Bool
}

func newDirectory(n *node) *directory {
	return &directory{
		store:        n.store,
		backoff:      n.backoff,
		logger:       n.logger,
		key:          directoryKey(n.role, n.settings.Name),
		peer:         n.self(),
		apply:        n.updateDirectory,
		minLease:     time.Duration(n.settings.Passthrough.LeaseMinimum),
		entryWritten: make(chan struct{}),
	}
}

// directoryKey returns the key of the entry of a process.
func directoryKey(role roster.Role, name string) string {
	if role == roster.Agent {
		return directoryPrefix + agentsPrefix + name
	}
	return directoryPrefix + balancersPrefix + name
}

// roleOf returns the role in a key, 0 for none.
func roleOf(key string) roster.Role {
	switch name := strings.TrimPrefix(key, directoryPrefix); {
	case strings.HasPrefix(name, agentsPrefix):
		return roster.Agent
	case strings.HasPrefix(name, balancersPrefix):
		return roster.Balancer
	}
	return 0
}

// maintainEntry keeps this process's entry in the store until ctx is canceled.
func (d *directory) maintainEntry(ctx context.Context) error {
	unavailable := false
	for ctx.Err() == nil {
		err := d.renewOrWrite(ctx)
		switch {
		case err == nil:
			if unavailable {
				d.logger.Info("directory entry restored")
			}
			unavailable = false
			era, restored := d.store.eras.current()
			if d.lease.Era == era {
				// The lease may expire during an outage.
				d.backoff.sleepUntilResponding(ctx, d.lease.Duration/renewalsPerLease, restored)
			}
			if d.store.isLost(d.lease) {
				sleep(ctx, rand.N(entryRestoreSpread))
			}
		case errkind.Is(err, errkind.NotFound):
			d.logger.Info("lease of the directory entry has ended; writing the entry again", zap.Uint64("lease", d.lease.ID), zap.Uint64("era", d.lease.Era))
			d.lease = Lease{}
		default:
			if !unavailable && ctx.Err() == nil {
				d.logger.Warn("store does not respond; the directory entry may expire", zap.Error(err))
				unavailable = true
			}
			d.backoff.wait(ctx)
		}
	}
	return nil
}

// renewOrWrite renews the lease, or writes the entry under a new one if there is none or it is
// lost.
func (d *directory) renewOrWrite(ctx context.Context) error {
	if d.lease.ID != 0 && !d.store.isLost(d.lease) {
		return d.store.renew(ctx, d.lease)
	}
	lease, err := d.store.grant(ctx, max(entryLease, d.minLease))
	if err != nil {
		return err
	}
	if err := d.store.put(ctx, []Item{{Key: d.key, Value: []byte(d.peer.String())}}, lease); err != nil {
		return err
	}
	d.lease = lease
	select {
	case <-d.entryWritten:
	default:
		close(d.entryWritten)
	}
	return nil
}

// poll periodically reads the entries of other processes until ctx is canceled.
func (d *directory) poll(ctx context.Context) error {
	select {
	case <-d.entryWritten:
	case <-ctx.Done():
		return nil
	}
	// The store may have been restored just before, so that entries are missing at first.
	interval, stale := entryRestoreTime, false
	for ctx.Err() == nil {
		era, restored := d.store.eras.current()
		items, revision, err := d.store.list(ctx, directoryPrefix, stale)
		if err != nil {
			d.backoff.wait(ctx)
			continue
		}
		if !d.synced.Load() || revision.Era == era {
			d.apply(d.entries(items))
			d.synced.Store(true)
			stale = true
			sleepUntil(ctx, interval, nil, restored)
			interval = listInterval
		}
		if latest, _ := d.store.eras.current(); latest != era {
			stale = false
			sleep(ctx, entryRestoreTime)
		}
	}
	return nil
}

// entries decodes the entries of other processes. Those of another writer are left out.
func (d *directory) entries(items []Item) []roster.Entry {
	entries := make([]roster.Entry, 0, len(items))
	for _, item := range items {
		entry, err := d.entry(item)
		if err != nil {
			d.logger.Info("malformed directory entry ignored", zap.String("key", item.Key), zap.Error(err))
			continue
		}
		if entry.Peer != d.peer {
			entries = append(entries, entry)
		}
	}
	return entries
}

// entry decodes an entry. Every process writes its own with a lease, and all have the same peer
// port. The error has kind Malformed.
func (d *directory) entry(item Item) (roster.Entry, error) {
	entry := roster.Entry{Role: roleOf(item.Key)}
	if entry.Role == 0 || item.Lease == 0 {
		return entry, errkind.New(errkind.Malformed, "entry without a role or a lease")
	}
	addr, err := netip.ParseAddrPort(string(item.Value))
	if err != nil {
		return entry, errkind.Wrap(err, errkind.Malformed, "address")
	}
	entry.Peer = passthrough.EndpointOf(addr)
	ip := entry.Peer.AddrPort().Addr()
	if entry.Peer.Port() != d.peer.Port() || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return entry, errkind.New(errkind.Malformed, "address %s cannot be that of a process", addr)
	}
	return entry, nil
}

// broadcast is the limited broadcast address.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// removeEntry deletes this process's entry. Its lease is left to expire.
func (d *directory) removeEntry(ctx context.Context) {
	if d.lease.ID == 0 {
		return
	}
	if err := d.store.delete(ctx, d.key); err != nil {
		d.logger.Info("cannot delete the directory entry; it stays until its lease expires", zap.Error(err))
	}
}
