package membership

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// nodeCore implements the protocol of a balancer. It has no goroutine, clock or
// I/O: handle, tick and the merge functions take events and the time, takeActions
// returns the actions. It is not safe for concurrent use.
type nodeCore struct {
	self    Peer
	timing  Timing
	random  *rand.Rand
	version func() uint64
	stamp   func() uint64

	state     *state
	started   time.Time
	lastEvent time.Time
	actions   []action

	join         joinState
	probes       prober
	gossipQueue  gossipQueue
	silence      silenceDetector
	lastExchange time.Time // last anti-entropy exchange

	livePeerCache  []*peerEntry        // cache of livePeers, nil when stale
	suspects       map[string]struct{} // names of suspected balancers
	homeTable      *homeTable
	homeTableStale bool
	homeTableBuilt time.Time
	viewStale      bool
	currentView    View
	viewDigests    map[string]uint64 // by service, of the current view
	nextCleanup    time.Time
}

// newNodeCore returns the core of a balancer that starts at now without state.
func newNodeCore(self Peer, seeds []netip.AddrPort, timing Timing, random *rand.Rand, now time.Time) *nodeCore {
	c := &nodeCore{
		self:      self,
		timing:    timing.withDefaults(),
		random:    random,
		version:   func() uint64 { return 0 },
		stamp:     func() uint64 { return 0 },
		state:     newState(),
		suspects:  make(map[string]struct{}),
		started:   now,
		lastEvent: now,
	}
	c.join.add(seeds, self.Control)
	c.silence = newSilenceDetector()
	c.probes = newProber()
	c.gossipQueue = newGossipQueue()
	c.state.mergePeer(self, statusAlive, now)
	c.homeTableStale = true
	c.viewStale = true
	return c
}

// takeActions returns the actions since the last call.
func (c *nodeCore) takeActions() []action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *nodeCore) emit(a action) {
	c.actions = append(c.actions, a)
}

func (c *nodeCore) record(e event.Event) {
	c.emit(recordAction{event: e})
}

// send queues a datagram.
func (c *nodeCore) send(to netip.AddrPort, envelope *pb.Envelope) {
	envelope.Format = datagramFormat
	envelope.Sender = c.self.Name
	envelope.Version = c.version()
	envelope.Stamp = c.stamp()
	c.emit(sendAction{to: to, envelope: envelope})
}

// tick runs the periodic work that is due.
func (c *nodeCore) tick(now time.Time) {
	c.detectPause(now)
	c.refreshHomeTable(now)
	c.tickJoin(now)
	c.tickProbes(now)
	c.tickSuspicions(now)
	c.tickSilence(now)
	c.tickGossip(now)
	c.tickCleanup(now)
	c.refreshView()
}

// detectPause detects a pause of the process from the time since the last event.
func (c *nodeCore) detectPause(now time.Time) {
	gap := now.Sub(c.lastEvent)
	c.lastEvent = now
	if gap <= c.timing.PauseAfter {
		return
	}
	if gap > c.timing.TombstoneTTL {
		c.state = newState()
		c.suspects = make(map[string]struct{})
		c.self.Incarnation++
		c.state.mergePeer(c.self, statusAlive, now)
	}
	c.livePeerCache = nil
	c.silence.restart(now)
	c.probes = newProber()
	c.gossipQueue = newGossipQueue()
	c.join.restart(now)
	c.started = now
	c.homeTableStale = true
	c.homeTableBuilt = time.Time{}
	c.viewStale = true
}

// handle processes a datagram.
func (c *nodeCore) handle(now time.Time, from netip.AddrPort, envelope *pb.Envelope) {
	c.detectPause(now)
	if envelope.Sender == c.self.Name {
		return
	}
	c.silence.lastInbound = now
	c.reportNewerVersion(envelope)
	switch body := envelope.Body.(type) {
	case *pb.Envelope_Heartbeat:
		c.handleHeartbeat(now, from, envelope.Sender, body.Heartbeat)
	case *pb.Envelope_Ping:
		c.handlePing(now, from, body.Ping)
	case *pb.Envelope_Ack:
		c.handleAck(now, from, envelope.Sender, body.Ack)
	case *pb.Envelope_PingRequest:
		c.handlePingRequest(now, from, body.PingRequest)
	case *pb.Envelope_Gossip:
		c.handleGossip(now, from, body.Gossip)
	case *pb.Envelope_Digest:
		c.handleDigest(from, body.Digest)
	case *pb.Envelope_Buckets:
		c.handleBuckets(from, body.Buckets)
	case *pb.Envelope_Want:
		c.handleWant(from, body.Want)
	case *pb.Envelope_Silence:
		c.handleSilence(now, envelope.Sender, body.Silence)
	case *pb.Envelope_Heard:
		c.handleHeard(now, body.Heard)
	}
}

// reportNewerVersion reports the configuration version of a peer if it is newer.
func (c *nodeCore) reportNewerVersion(envelope *pb.Envelope) {
	if envelope.Version <= c.version() {
		return
	}
	if entry, ok := c.state.peers[envelope.Sender]; ok {
		c.emit(newerVersionAction{version: envelope.Version, from: entry.peer})
	}
}

// livePeers returns the alive and suspect peers, without this balancer, sorted by
// name. The result must not be modified.
func (c *nodeCore) livePeers() []*peerEntry {
	if c.livePeerCache != nil {
		return c.livePeerCache
	}
	live := make([]*peerEntry, 0, len(c.state.peers))
	for name, entry := range c.state.peers {
		if name != c.self.Name && entry.status <= statusSuspect {
			live = append(live, entry)
		}
	}
	slices.SortFunc(live, func(a, b *peerEntry) int { return strings.Compare(a.peer.Name, b.peer.Name) })
	c.livePeerCache = live
	return live
}

// minTableRebuildInterval is the minimum time between two rebuilds of the home
// table, since each one visits all servers.
const minTableRebuildInterval = time.Second

// refreshHomeTable rebuilds the home table after a change of the balancers and
// determines of which servers this balancer is a home now.
func (c *nodeCore) refreshHomeTable(now time.Time) {
	if !c.homeTableStale || now.Sub(c.homeTableBuilt) < minTableRebuildInterval {
		return
	}
	c.homeTableStale = false
	c.homeTableBuilt = now
	members := append(slices.Clone(c.livePeers()), c.state.peers[c.self.Name])
	c.homeTable = newHomeTable(members)
	for _, entry := range c.state.servers {
		c.updateWatch(now, entry)
	}
}

// homesOf returns the home balancers of a server.
func (c *nodeCore) homesOf(serverHash uint64, domain string) []*peerEntry {
	if c.homeTable == nil {
		return nil
	}
	return c.homeTable.homes(serverHash, domain)
}

// refreshView rebuilds the snapshot after a change.
func (c *nodeCore) refreshView() {
	if !c.viewStale {
		return
	}
	c.viewStale = false
	c.currentView, c.viewDigests = c.state.view(c.self)
	c.emit(publishViewAction{})
}

// leaveTargets is the number of balancers that are informed of a leave.
const leaveTargets = 8

// leave informs some balancers that this one leaves.
func (c *nodeCore) leave() {
	gone := peerToWire(c.self, statusGone)
	for _, target := range c.chooseTargets(leaveTargets, false) {
		c.sendGossip(target.peer.Control, nil, []*pb.Peer{gone})
	}
	for _, target := range c.chooseTargets(leaveTargets, true) {
		c.sendGossip(target.peer.Control, nil, []*pb.Peer{gone})
	}
}

// cleanupPeriod is the period in which expired entries are removed.
const cleanupPeriod = 5 * time.Second

// tickCleanup turns silent servers into tombstones and removes expired tombstones.
func (c *nodeCore) tickCleanup(now time.Time) {
	if now.Before(c.nextCleanup) {
		return
	}
	c.nextCleanup = now.Add(cleanupPeriod)
	for _, entry := range c.state.servers {
		age := now.Sub(entry.changed)
		switch {
		case entry.status == statusSilent && age > c.timing.SilentTTL:
			c.state.mergeServer(*entry.record, statusGone, now)
		case entry.status == statusGone && age > c.timing.TombstoneTTL:
			c.state.removeServer(entry)
		}
	}
	for _, entry := range c.state.peers {
		age := now.Sub(entry.changed)
		if entry.status > statusSuspect && age > c.timing.TombstoneTTL {
			c.state.removePeer(entry)
			c.livePeerCache = nil
		}
	}
}
