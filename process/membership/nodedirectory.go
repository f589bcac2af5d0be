package membership

import (
	"context"
	"net/netip"
	"time"
)

const (
	// directoryCheck is the period in which a balancer looks after the directory.
	directoryCheck = time.Minute
	// directoryRetry is the time before a failed access is repeated.
	directoryRetry = 2 * time.Second
)

// directoryLoop reads the directory at the start, joins it, and looks after it
// from time to time.
func (n *Node) directoryLoop(ctx context.Context) error {
	for {
		pause := directoryCheck
		if err := n.useDirectory(ctx); err != nil {
			pause = directoryRetry
		}
		select {
		case <-ctx.Done():
			n.leaveDirectory(ctx)
			return nil
		case <-time.After(jitter(newRandom(), pause)):
		}
	}
}

// useDirectory joins the list of the own failure domain, reads all lists and
// takes dead balancers off the own one. It joins first: of two balancers that
// start at the same moment, the later reader then finds the other.
func (n *Node) useDirectory(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	if err := n.options.Directory.Join(ctx, n.options.Self); err != nil {
		return err
	}
	peers, err := n.options.Directory.ReadAll(ctx)
	if err != nil {
		return err
	}
	addrs := make([]netip.AddrPort, 0, len(peers))
	for _, peer := range peers {
		addrs = append(addrs, peer.Control)
	}
	dead := make(map[string]bool)
	err = n.calls.do(ctx, func() {
		n.core.join.add(addrs, n.core.self.Control)
		n.core.join.directoryPending = false
		for name, entry := range n.core.state.peers {
			dead[name] = entry.status > statusSuspect
		}
	})
	if err != nil {
		return err
	}
	if !n.Ready() || !anyDead(peers, dead) {
		return nil
	}
	alive := func(p Peer) bool { return !dead[p.Name] }
	return n.options.Directory.Repair(ctx, n.options.Self.Domain, alive)
}

func anyDead(peers []Peer, dead map[string]bool) bool {
	for _, peer := range peers {
		if dead[peer.Name] {
			return true
		}
	}
	return false
}

// leaveDirectory takes this balancer off the list at its end.
func (n *Node) leaveDirectory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = n.options.Directory.Leave(ctx, n.options.Self)
}
