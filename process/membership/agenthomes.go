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
	// lastListed is when a balancer last listed it as a home.
	lastListed time.Time
	// lastReply is when it last replied.
	lastReply time.Time
	// nextHeartbeat is when its next heartbeat is due.
	nextHeartbeat time.Time
	// ackedIncarnation and ackedSequence are the newest version that it acknowledged.
	ackedIncarnation, ackedSequence uint64
}

func (h *home) acked(r Record) bool {
	return compareVersions(h.ackedIncarnation, h.ackedSequence, 0, r.Incarnation, r.Sequence, 0) >= 0
}

// addContacts adds addresses of balancers that are tried while no home replies.
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

// dropHomes drops homes that no balancer lists any more or that do not reply.
func (c *agentCore) dropHomes(now time.Time) {
	for _, h := range c.sortedHomes() {
		addr := h.peer.Control
		unlisted := now.Sub(h.lastListed) > homeExpiryHeartbeats*c.timing.Heartbeat
		unresponsive := now.Sub(h.lastReply) > c.timing.HeartbeatTimeout
		if unlisted || unresponsive {
			delete(c.homes, addr)
			if unresponsive {
				c.emit(recordAction{event: event.Event{Kind: event.PeerSilent, Peer: h.peer.Name, Domain: h.peer.Domain}})
			}
			c.addContacts([]netip.AddrPort{addr})
		}
	}
}

// tickContacts tries other balancers while no home replies.
func (c *agentCore) tickContacts(now time.Time) {
	if now.Before(c.nextContact) || c.hasResponsiveHome(now) {
		return
	}
	c.nextContact = now.Add(c.jitter(c.timing.Heartbeat / 2))
	if !now.Before(c.nextDirectory) {
		c.nextDirectory = now.Add(minDirectoryReadInterval)
		c.emit(readDirectoryAction{})
	}
	contacts := slices.Clone(c.contacts)
	c.random.Shuffle(len(contacts), func(i, j int) { contacts[i], contacts[j] = contacts[j], contacts[i] })
	for _, addr := range contacts[:min(contactCount, len(contacts))] {
		if _, isHome := c.homes[addr]; !isHome {
			c.heartbeat(addr, true)
		}
	}
}

// hasResponsiveHome reports whether a home has replied recently. Its limit is well
// below HeartbeatTimeout, so that other balancers are tried before the homes consider
// the server silent.
func (c *agentCore) hasResponsiveHome(now time.Time) bool {
	for _, h := range c.homes {
		if now.Sub(h.lastReply) <= c.timing.HeartbeatTimeout/2 {
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

// sortedHomes returns the homes sorted by address.
func (c *agentCore) sortedHomes() []*home {
	sorted := make([]*home, 0, len(c.homes))
	for _, h := range c.homes {
		sorted = append(sorted, h)
	}
	slices.SortFunc(sorted, func(a, b *home) int { return a.peer.Control.Compare(b.peer.Control) })
	return sorted
}

func (c *agentCore) acknowledge(now time.Time, h *home, reply *pb.HeartbeatReply) {
	h.lastReply = now
	if reply.WantRecord {
		h.ackedIncarnation, h.ackedSequence = 0, 0
		h.nextHeartbeat = now
		return
	}
	if reply.Incarnation != 0 {
		h.ackedIncarnation, h.ackedSequence = reply.Incarnation, reply.Sequence
	}
}

// updateHomes applies the list of homes in a reply. A reply without a list
// confirms the current homes.
func (c *agentCore) updateHomes(now time.Time, from netip.AddrPort, reply *pb.HeartbeatReply) {
	if len(reply.Homes) == 0 {
		if _, isHome := c.homes[from]; isHome && reply.Incarnation != 0 {
			for _, h := range c.homes {
				h.lastListed = now
			}
		}
		return
	}
	for _, m := range reply.Homes {
		peer, _, err := peerFromWire(m)
		if err != nil || !c.hasCommonProtocol(peer) {
			continue
		}
		h, known := c.homes[peer.Control]
		if !known {
			h = &home{lastReply: now, nextHeartbeat: now}
			c.homes[peer.Control] = h
			c.emit(recordAction{event: event.Event{Kind: event.PeerBack, Peer: peer.Name, Domain: peer.Domain}})
		}
		if h.peer.Name != peer.Name {
			h.ackedIncarnation, h.ackedSequence = 0, 0
		}
		h.peer = peer
		h.lastListed = now
	}
	c.tickHeartbeats(now)
}

// hasCommonProtocol reports whether this agent and a balancer have a protocol
// version in common.
func (c *agentCore) hasCommonProtocol(peer Peer) bool {
	_, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, peer.MinProtocol, peer.MaxProtocol)
	return ok
}

func (c *agentCore) addContactPeers(peers []*pb.Peer) {
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
