package membership

import (
	"fmt"
	"time"

	"bergamotbank/event"
)

// mergeRecord merges a record and queues it for gossip if it is newer. It returns
// the result of state.mergeServer.
func (c *nodeCore) mergeRecord(now time.Time, r Record, st status) int {
	entry, known := c.state.servers[r.Server]
	var before serverEntry
	wasLive := false
	if known {
		before = *entry
		wasLive = c.state.live(entry)
	}
	if st == statusGone && !known {
		return 0
	}
	result := c.state.mergeServer(r, st, now)
	if result <= 0 {
		return result
	}
	entry = c.state.servers[r.Server]
	c.gossipQueue.add(entryKey{server: true, name: entry.record.Server})
	c.viewStale = true
	c.updateWatch(now, entry)
	c.recordServerChange(&before, wasLive, entry)
	if st == statusSilent {
		c.requestRefutation(now, entry)
	}
	if st == statusAlive {
		c.removeReplaced(now, entry)
	}
	return result
}

// removeReplaced permanently removes the servers whose packet address is now used
// by another server of a higher incarnation.
func (c *nodeCore) removeReplaced(now time.Time, entry *serverEntry) {
	if c.state.superseded(entry) != nil {
		return
	}
	for {
		replaced := c.state.replacedBy(entry)
		if replaced == nil {
			return
		}
		c.mergeRecord(now, *replaced.record, statusGone)
	}
}

// recordServerChange records the event for a change of a server.
func (c *nodeCore) recordServerChange(before *serverEntry, wasLive bool, entry *serverEntry) {
	e := event.Event{
		Server:  entry.record.Server,
		Service: entry.record.Service,
		Domain:  entry.record.Domain,
	}
	switch {
	case entry.status == statusGone:
		e.Kind = event.ServerGone
	case entry.status == statusSilent:
		e.Kind = event.ServerSilent
	case !wasLive || before.record.Incarnation != entry.record.Incarnation:
		e.Kind = event.ServerAnnounced
		e.Detail = entry.record.State.String()
	case before.record.State != entry.record.State || before.record.Weight != entry.record.Weight:
		e.Kind = event.StateChanged
		e.Detail = entry.record.State.String()
		e.Count = uint64(entry.record.Weight)
	default:
		return
	}
	c.record(e)
	if e.Kind == event.ServerAnnounced {
		c.recordIncompatible(e, entry.record.MinProtocol, entry.record.MaxProtocol)
	}
}

// recordIncompatible records that a server or balancer is not used if it has no
// protocol version in common with this balancer.
func (c *nodeCore) recordIncompatible(e event.Event, minProtocol, maxProtocol uint8) {
	if _, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, minProtocol, maxProtocol); ok {
		return
	}
	e.Kind = event.ViewChanged
	e.Detail = fmt.Sprintf("not used: supports protocol versions %d to %d, this process %d to %d",
		minProtocol, maxProtocol, c.self.MinProtocol, c.self.MaxProtocol)
	c.record(e)
}

// mergePeer merges a peer and queues it for gossip if it is newer. It returns the
// result of state.mergePeer.
func (c *nodeCore) mergePeer(now time.Time, p Peer, st status) int {
	if p.Name == c.self.Name {
		return c.refuteSelf(now, p, st)
	}
	entry, known := c.state.peers[p.Name]
	if !known && st > statusSuspect {
		return 0
	}
	wasLive := known && entry.status <= statusSuspect
	result := c.state.mergePeer(p, st, now)
	if result <= 0 {
		return result
	}
	c.gossipQueue.add(entryKey{name: p.Name})
	c.livePeerCache = nil
	delete(c.suspects, p.Name)
	if st == statusSuspect {
		c.suspects[p.Name] = struct{}{}
	}
	isLive := st <= statusSuspect
	if !wasLive || !isLive {
		c.homeTableStale = true
	}
	c.viewStale = true
	if wasLive != isLive {
		c.recordPeerChange(p, isLive)
	}
	if isLive {
		c.removeReplacedPeers(now, p)
	}
	return result
}

func (c *nodeCore) recordPeerChange(p Peer, live bool) {
	e := event.Event{Kind: event.PeerSilent, Peer: p.Name, Domain: p.Domain}
	if live {
		e.Kind = event.PeerBack
	}
	c.record(e)
	if live {
		c.recordIncompatible(e, p.MinProtocol, p.MaxProtocol)
	}
}

// refuteSelf refutes a message that this balancer is not alive by a higher
// incarnation.
func (c *nodeCore) refuteSelf(now time.Time, p Peer, st status) int {
	newer := p.Incarnation > c.self.Incarnation
	disputed := p.Incarnation == c.self.Incarnation && st != statusAlive
	if !newer && !disputed {
		return 0
	}
	c.self.Incarnation = p.Incarnation + 1
	c.state.mergePeer(c.self, statusAlive, now)
	c.gossipQueue.add(entryKey{name: c.self.Name})
	return 0
}

// removeReplacedPeers removes peers of lower incarnations at the address of a new
// peer.
func (c *nodeCore) removeReplacedPeers(now time.Time, p Peer) {
	for _, other := range c.livePeers() {
		replaced := other.peer.Control == p.Control &&
			other.peer.Name != p.Name &&
			other.peer.Incarnation < p.Incarnation
		if replaced {
			c.mergePeer(now, other.peer, statusGone)
		}
	}
}
