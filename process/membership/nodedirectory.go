package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// directoryCheck is the period in which a balancer looks after the directory.
	directoryCheck = time.Minute
	// directoryRetry is the time before a failed access is repeated, or a
	// failure domain without known balancers is looked up again.
	directoryRetry = 5 * time.Second
)

// directoryKeeper looks after the directory on behalf of a balancer.
type directoryKeeper struct {
	node *Node
	// doubted are the balancers of the own list that were not alive at the last
	// check; those that are not alive at the next one either are taken off.
	doubted map[string]bool
}

// directoryLoop joins the directory, reads it, and looks after it from time to
// time.
func (n *Node) directoryLoop(ctx context.Context) error {
	keeper := &directoryKeeper{node: n, doubted: make(map[string]bool)}
	random := newRandom()
	for {
		pause := directoryCheck
		complete, err := keeper.check(ctx)
		if err != nil || !complete {
			pause = directoryRetry
		}
		select {
		case <-ctx.Done():
			keeper.leave(ctx)
			return nil
		case <-time.After(jitter(random, pause)):
		}
	}
}

// check joins the own list before it reads any, so that of two balancers that
// start at once at least one sees the other. It tells whether balancers of all
// failure domains are known.
func (k *directoryKeeper) check(ctx context.Context) (complete bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	self := k.node.options.Self
	if err := k.node.options.Directory.Join(ctx, self); err != nil {
		return false, err
	}
	alive, domains, err := k.known(ctx)
	if err != nil {
		return false, err
	}
	listed, err := k.node.options.Directory.Read(ctx, self.Domain)
	if err != nil {
		return false, err
	}
	candidates := controlAddrs(listed)
	configured := k.node.options.Domains()
	complete = len(configured) > 0
	for _, domain := range lookups(configured, domains) {
		peers, err := k.node.options.Directory.Read(ctx, domain)
		if err != nil {
			return false, err
		}
		candidates = append(candidates, controlAddrs(peers)...)
		complete = false
	}
	if err := k.offer(ctx, candidates, len(configured) > 0); err != nil {
		return false, err
	}
	return complete, k.repair(ctx, listed, alive)
}

// known returns the live balancers by name and their failure domains.
func (k *directoryKeeper) known(ctx context.Context) (alive, domains map[string]bool, err error) {
	alive = make(map[string]bool)
	domains = make(map[string]bool)
	err = k.node.calls.do(ctx, func() {
		for _, entry := range k.node.core.livePeers() {
			alive[entry.peer.Name] = true
			domains[entry.peer.Domain] = true
		}
	})
	alive[k.node.options.Self.Name] = true
	domains[k.node.options.Self.Domain] = true
	return alive, domains, err
}

// lookups returns the failure domains of which no balancer is known.
func lookups(configured []string, known map[string]bool) []string {
	return slices.DeleteFunc(slices.Clone(configured), func(domain string) bool { return known[domain] })
}

// offer gives the listed balancers to the core. The directory counts as read
// once the failure domains are known.
func (k *directoryKeeper) offer(ctx context.Context, candidates []netip.AddrPort, complete bool) error {
	core := k.node.core
	return k.node.calls.do(ctx, func() {
		core.join.add(candidates, core.self.Control)
		if complete {
			core.join.directoryPending = false
		}
	})
}

// repair takes balancers off the own list that were not alive at two checks.
func (k *directoryKeeper) repair(ctx context.Context, listed []Peer, alive map[string]bool) error {
	doubted := make(map[string]bool)
	remove := make(map[string]bool)
	for _, peer := range listed {
		if !alive[peer.Name] && k.node.Ready() {
			doubted[peer.Name] = true
			remove[peer.Name] = k.doubted[peer.Name]
		}
	}
	k.doubted = doubted
	kept := func(p Peer) bool { return !remove[p.Name] }
	if !slices.ContainsFunc(listed, func(p Peer) bool { return !kept(p) }) {
		return nil
	}
	return k.node.options.Directory.Repair(ctx, k.node.options.Self.Domain, kept)
}

// leave takes this balancer off the list at its end.
func (k *directoryKeeper) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = k.node.options.Directory.Leave(ctx, k.node.options.Self)
}

func controlAddrs(peers []Peer) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(peers))
	for _, peer := range peers {
		addrs = append(addrs, peer.Control)
	}
	return addrs
}
