package membership

import (
	"fmt"
	"time"

	"bergamotbank/event"
)

// mergeRecord takes in a record and spreads it when it is news. It returns the
// result of state.mergeServer.
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
	c.rumors.add(rumorKey{server: true, name: entry.record.Server})
	c.viewStale = true
	c.watch(now, entry)
	c.recordServer(&before, wasLive, entry)
	if st == statusSilent {
		c.refuteForAgent(now, entry)
	}
	if st == statusAlive {
		c.retireReplaced(now, entry)
	}
	return result
}

// retireReplaced takes out for good the servers whose packet address another
// server of a higher incarnation has taken over.
func (c *nodeCore) retireReplaced(now time.Time, entry *serverEntry) {
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

// recordServer records what has changed about a server.
func (c *nodeCore) recordServer(before *serverEntry, wasLive bool, entry *serverEntry) {
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
		c.recordProtocol(e, entry.record.MinProtocol, entry.record.MaxProtocol)
	}
}

// recordProtocol records that a server or balancer is not used, as it supports
// no protocol version of this balancer.
func (c *nodeCore) recordProtocol(e event.Event, minProtocol, maxProtocol uint8) {
	if _, ok := AgreeProtocol(c.self.MinProtocol, c.self.MaxProtocol, minProtocol, maxProtocol); ok {
		return
	}
	e.Kind = event.ViewChanged
	e.Detail = fmt.Sprintf("not used: supports protocol versions %d to %d, this process %d to %d",
		minProtocol, maxProtocol, c.self.MinProtocol, c.self.MaxProtocol)
	c.record(e)
}

// mergePeer takes in a peer and spreads it when it is news. It returns the
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
	c.rumors.add(rumorKey{name: p.Name})
	c.live = nil
	delete(c.suspects, p.Name)
	if st == statusSuspect {
		c.suspects[p.Name] = struct{}{}
	}
	isLive := st <= statusSuspect
	if !wasLive || !isLive {
		c.tableStale = true
	}
	c.viewStale = true
	if wasLive != isLive {
		c.recordPeer(p, isLive)
	}
	if isLive {
		c.replacePeersAt(now, p)
	}
	return result
}

func (c *nodeCore) recordPeer(p Peer, live bool) {
	e := event.Event{Kind: event.PeerSilent, Peer: p.Name, Domain: p.Domain}
	if live {
		e.Kind = event.PeerBack
	}
	c.record(e)
	if live {
		c.recordProtocol(e, p.MinProtocol, p.MaxProtocol)
	}
}

// refuteSelf answers a rumor that this balancer is not alive with a higher
// incarnation.
func (c *nodeCore) refuteSelf(now time.Time, p Peer, st status) int {
	newer := p.Incarnation > c.self.Incarnation
	doubted := p.Incarnation == c.self.Incarnation && st != statusAlive
	if !newer && !doubted {
		return 0
	}
	c.self.Incarnation = p.Incarnation + 1
	c.state.mergePeer(c.self, statusAlive, now)
	c.rumors.add(rumorKey{name: c.self.Name})
	return 0
}

// replacePeersAt takes out peers of lower incarnations that had the address of
// a new peer.
func (c *nodeCore) replacePeersAt(now time.Time, p Peer) {
	for _, other := range c.livePeers() {
		replaced := other.peer.Control == p.Control &&
			other.peer.Name != p.Name &&
			other.peer.Incarnation < p.Incarnation
		if replaced {
			c.mergePeer(now, other.peer, statusGone)
		}
	}
}
