package membership

import (
	"context"
	"net/netip"
	"slices"
	"time"
)

const (
	// directoryCheckPeriod is the period in which a balancer checks the directory.
	directoryCheckPeriod = time.Minute
	// directoryRetryDelay is the time before a failed access is retried, or a
	// failure domain without known balancers is looked up again.
	directoryRetryDelay = 5 * time.Second
)

// directoryMaintainer maintains the directory on behalf of a balancer.
type directoryMaintainer struct {
	node *Node
	// missing are the balancers in the list of this failure domain that were
	// not alive at the last check; they are removed if they are not alive at the
	// next one either.
	missing map[string]bool
}

// directoryLoop joins the directory, reads it, and checks it periodically.
func (n *Node) directoryLoop(ctx context.Context) error {
	maintainer := &directoryMaintainer{node: n, missing: make(map[string]bool)}
	random := newRandom()
	for {
		delay := directoryCheckPeriod
		complete, err := maintainer.check(ctx)
		if err != nil || !complete {
			delay = directoryRetryDelay
		}
		select {
		case <-ctx.Done():
			maintainer.leave(ctx)
			return nil
		case <-time.After(jitter(random, delay)):
		}
	}
}

// check joins the list of this failure domain before it reads any, so that of
// two balancers that start concurrently at least one sees the other. It reports
// whether balancers of all failure domains are known.
func (m *directoryMaintainer) check(ctx context.Context) (complete bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	self := m.node.options.Self
	if err := m.node.options.Directory.Join(ctx, self); err != nil {
		return false, err
	}
	alive, domains, err := m.liveBalancers(ctx)
	if err != nil {
		return false, err
	}
	listed, err := m.node.options.Directory.Read(ctx, self.Domain)
	if err != nil {
		return false, err
	}
	candidates := controlAddrs(listed)
	configured := m.node.options.Domains()
	complete = len(configured) > 0
	for _, domain := range unknownDomains(configured, domains) {
		peers, err := m.node.options.Directory.Read(ctx, domain)
		if err != nil {
			return false, err
		}
		candidates = append(candidates, controlAddrs(peers)...)
		complete = false
	}
	if err := m.addCandidates(ctx, candidates, len(configured) > 0); err != nil {
		return false, err
	}
	return complete, m.removeMissing(ctx, listed, alive)
}

// liveBalancers returns the live balancers by name and their failure domains.
func (m *directoryMaintainer) liveBalancers(ctx context.Context) (alive, domains map[string]bool, err error) {
	alive = make(map[string]bool)
	domains = make(map[string]bool)
	err = m.node.calls.do(ctx, func() {
		for _, entry := range m.node.core.livePeers() {
			alive[entry.peer.Name] = true
			domains[entry.peer.Domain] = true
		}
	})
	alive[m.node.options.Self.Name] = true
	domains[m.node.options.Self.Domain] = true
	return alive, domains, err
}

// unknownDomains returns the failure domains without a known balancer.
func unknownDomains(configured []string, known map[string]bool) []string {
	return slices.DeleteFunc(slices.Clone(configured), func(domain string) bool { return known[domain] })
}

// addCandidates passes the listed balancers to the core. The directory counts as
// read once the failure domains are known.
func (m *directoryMaintainer) addCandidates(ctx context.Context, candidates []netip.AddrPort, complete bool) error {
	core := m.node.core
	return m.node.calls.do(ctx, func() {
		core.join.add(candidates, core.self.Control)
		if complete {
			core.join.directoryPending = false
		}
	})
}

// removeMissing removes listed balancers that were not alive at two checks in a row.
func (m *directoryMaintainer) removeMissing(ctx context.Context, listed []Peer, alive map[string]bool) error {
	missing := make(map[string]bool)
	remove := make(map[string]bool)
	for _, peer := range listed {
		if !alive[peer.Name] && m.node.Ready() {
			missing[peer.Name] = true
			remove[peer.Name] = m.missing[peer.Name]
		}
	}
	m.missing = missing
	kept := func(p Peer) bool { return !remove[p.Name] }
	if !slices.ContainsFunc(listed, func(p Peer) bool { return !kept(p) }) {
		return nil
	}
	return m.node.options.Directory.Repair(ctx, m.node.options.Self.Domain, kept)
}

// leave removes this balancer from the list when it stops.
func (m *directoryMaintainer) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = m.node.options.Directory.Leave(ctx, m.node.options.Self)
}

func controlAddrs(peers []Peer) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(peers))
	for _, peer := range peers {
		addrs = append(addrs, peer.Control)
	}
	return addrs
}
