package passthrough

import (
	"context"
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
	// directoryPrefix is where processes write their peer addresses, each below the
	// folder of its role.
	directoryPrefix = "bergamotbank/members/"
	balancerFolder  = "balancers/"
	agentFolder     = "agents/"
	// entryLifetime is the lease of a directory entry, where the store grants one so
	// short. Heartbeats judge members; the entry only has to lead newcomers to them.
	entryLifetime = 30 * time.Second
	// renewShare is the number of renewals in a lease, so that two may be lost.
	renewShare = 3
	// listInterval is the pause between reads of the directory, which bring
	// together processes that never heard of each other.
	listInterval = 15 * time.Second
)

// directory keeps the process' own entry in the store and reads those of others.
type directory struct {
	store  Store
	logger *zap.Logger
	key    string
	peer   passthrough.Endpoint
	add    func(passthrough.Endpoint, roster.Role)

	// least is the shortest lease that the store grants.
	least time.Duration
	// lease is the lease of the own entry, 0 for none.
	lease   uint64
	granted time.Duration
	// written is closed when the own entry has been written for the first time.
	written chan struct{}
	// complete tells that the directory was read after the own entry was written:
	// of two processes that start together the later reader finds the other.
	complete atomic.Bool
}

func newDirectory(n *node) *directory {
	return &directory{
		store:   n.store,
		logger:  n.logger,
		key:     directoryKey(n.role, n.settings.Name),
		peer:    n.self(),
		add:     n.greet,
		least:   time.Duration(n.settings.Passthrough.LeaseMinimum),
		written: make(chan struct{}),
	}
}

// directoryKey returns the key of a process' entry.
func directoryKey(role roster.Role, name string) string {
	if role == roster.Agent {
		return directoryPrefix + agentFolder + name
	}
	return directoryPrefix + balancerFolder + name
}

// roleOf returns the role that a key names, 0 for none.
func roleOf(key string) roster.Role {
	switch name := strings.TrimPrefix(key, directoryPrefix); {
	case strings.HasPrefix(name, agentFolder):
		return roster.Agent
	case strings.HasPrefix(name, balancerFolder):
		return roster.Balancer
	}
	return 0
}

// announce keeps the own entry until ctx ends.
func (d *directory) announce(ctx context.Context) error {
	pause := backoff{}
	lost := false
	for ctx.Err() == nil {
		err := d.renew(ctx)
		switch {
		case err == nil:
			if lost {
				d.logger.Info("directory entry is back")
			}
			lost = false
			pause.reset()
			sleep(ctx, d.granted/renewShare)
		case errkind.Is(err, errkind.NotFound):
			d.logger.Info("lease of the directory entry has ended; writing the entry anew", zap.Uint64("lease", d.lease))
			d.lease = 0
		default:
			if !lost && ctx.Err() == nil {
				d.logger.Warn("store does not answer; the directory entry may lapse", zap.Error(err))
				lost = true
			}
			pause.wait(ctx)
		}
	}
	return nil
}

// renew prolongs the lease, or writes the entry under a new one.
func (d *directory) renew(ctx context.Context) error {
	if d.lease != 0 {
		return d.store.Renew(ctx, d.lease)
	}
	lease, granted, err := d.store.Grant(ctx, max(entryLifetime, d.least))
	if err != nil {
		return err
	}
	if err := d.store.Put(ctx, []Item{{Key: d.key, Value: []byte(d.peer.String())}}, lease); err != nil {
		return err
	}
	d.lease, d.granted = lease, granted
	select {
	case <-d.written:
	default:
		close(d.written)
	}
	return nil
}

// read reads the entries of others until ctx ends.
func (d *directory) read(ctx context.Context) error {
	select {
	case <-d.written:
	case <-ctx.Done():
		return nil
	}
	pause := backoff{}
	for ctx.Err() == nil {
		items, _, err := d.store.List(ctx, directoryPrefix, d.complete.Load())
		if err != nil {
			pause.wait(ctx)
			continue
		}
		pause.reset()
		for _, item := range items {
			d.take(item)
		}
		d.complete.Store(true)
		sleep(ctx, listInterval)
	}
	return nil
}

func (d *directory) take(item Item) {
	addr, err := netip.ParseAddrPort(string(item.Value))
	if err != nil {
		d.logger.Warn("directory entry without an address", zap.String("key", item.Key), zap.Error(err))
		return
	}
	d.add(passthrough.EndpointOf(addr), roleOf(item.Key))
}

// end removes the own entry. Its lease runs out by itself.
func (d *directory) end(ctx context.Context) {
	if d.lease == 0 {
		return
	}
	if err := d.store.Delete(ctx, d.key); err != nil {
		d.logger.Info("directory entry stays until its lease ends", zap.Error(err))
	}
}
