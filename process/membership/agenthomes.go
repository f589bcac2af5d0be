package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// home is a home balancer of an agent.
type home struct {
	peer Peer
	// named is when a balancer last named it as a home.
	named time.Time
	// answered is when it last answered.
	answered time.Time
	// next is when it gets the next heartbeat.
	next time.Time
	// ackedIncarnation and ackedSequence are the newest version it has.
	ackedIncarnation, ackedSequence uint64
}

func (h *home) acked(r Record) bool {
	return compareVersions(h.ackedIncarnation, h.ackedSequence, 0, r.Incarnation, r.Sequence, 0) >= 0
}

// addContacts takes in addresses of balancers for the case that no home answers.
func (c *agentCore) addContacts(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if !slices.Contains(c.contacts, addr) {
			c.contacts = append(c.contacts, addr)
		}
	}
	if len(c.contacts) > contactLimit {
		c.contacts = append(slices.Clone(c.seeds), c.contacts[len(c.contacts)-contactLimit/2:]...)
	}
}

// dropHomes leaves homes that no balancer names any more or that do not answer.
func (c *agentCore) dropHomes(now time.Time) {
	for _, h := range c.sortedHomes() {
		addr := h.peer.Control
		unnamed := now.Sub(h.named) > unnamedHeartbeats*c.timing.Heartbeat
		mute := now.Sub(h.answered) > c.timing.SilentAfter
		if unnamed || mute {
			delete(c.homes, addr)
			if mute {
				c.act(recordAction{event: event.Event{Kind: event.PeerSilent, Peer: h.peer.Name, Domain: h.peer.Domain}})
			}
			c.addContacts([]netip.AddrPort{addr})
		}
	}
}

// tickContacts tries other balancers while no home answers.
func (c *agentCore) tickContacts(now time.Time) {
	if now.Before(c.nextContact) || c.homeAnswers(now) {
		return
	}
	c.nextContact = now.Add(c.jitter(c.timing.Heartbeat / 2))
	if !now.Before(c.nextDirectory) {
		c.nextDirectory = now.Add(directoryPeriod)
		c.act(directoryAction{})
	}
	contacts := slices.Clone(c.contacts)
	c.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	for _, addr := range contacts[:min(contactCount, len(contacts))] {
		if _, isHome := c.homes[addr]; !isHome {
			c.heartbeat(addr, true)
		}
	}
}

// homeAnswers tells whether a home has answered lately. Others are tried well
// before the homes find the server silent.
func (c *agentCore) homeAnswers(now time.Time) bool {
	for _, h := range c.homes {
		if now.Sub(h.answered) <= c.timing.SilentAfter/2 {
			return true
		}
	}
	return false
}

func (c *agentCore) homesHash() uint64 {
	names := make([]string, 0, len(c.homes))
	for _, h := range c.homes {
		names = append(names, h.peer.Name)
	}
	return homesHash(names)
}

// sortedHomes returns the homes in the order of their addresses.
func (c *agentCore) sortedHomes() []*home {
	sorted := make([]*home, 0, len(c.homes))
	for _, h := range c.homes {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, func(a, b *home) int { return a.peer.Control.Compare(b.peer.Control) })
	return sorted
}

func (c *agentCore) acknowledge(now time.Time, h *home, reply *pb.HeartbeatReply) {
	h.answered = now
	if reply.WantRecord {
		h.ackedIncarnation, h.ackedSequence = 0, 0
		h.next = now
		return
	}
	if reply.Incarnation != 0 {
		h.ackedIncarnation, h.ackedSequence = reply.Incarnation, reply.Sequence
	}
}

// takeHomes takes in the homes that a balancer names. A balancer that names
// none agrees with the present ones.
func (c *agentCore) takeHomes(now time.Time, from netip.AddrPort, reply *pb.HeartbeatReply) {
	if len(reply.Homes) == 0 {
		if _, isHome := c.homes[from]; isHome && reply.Incarnation != 0 {
			for _, h := range c.homes {
				h.named = now
			}
		}
		return
	}
	for _, m := range reply.Homes {
		peer, _, err := peerFromWire(m)
		if err != nil || !c.speaks(peer) {
			continue
		}
		h, known := c.homes[peer.Control]
		if !known {
			h = &home{answered: now, next: now}
			c.homes[peer.Control] = h
			c.act(recordAction{event: event.Event{Kind: event.PeerBack, Peer: peer.Name, Domain: peer.Domain}})
		}
		if h.peer.Name != peer.Name {
			h.ackedIncarnation, h.ackedSequence = 0, 0
		}
		h.peer = peer
		h.named = now
	}
	c.tickHeartbeats(now)
}

// speaks tells whether this agent and a balancer have a protocol version in
// common.
func (c *agentCore) speaks(peer Peer) bool {
	_, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, peer.MinProtocol, peer.MaxProtocol)
	return ok
}

func (c *agentCore) takeContacts(peers []*pb.Peer) {
	for _, m := range peers {
		if peer, _, err := peerFromWire(m); err == nil {
			c.addContacts([]netip.AddrPort{peer.Control})
		}
	}
}

func (c *agentCore) homePeers() []Peer {
	peers := make([]Peer, 0, len(c.homes))
	for _, h := range c.homes {
		peers = append(peers, h.peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}
