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

// nodeCore takes the decisions of a balancer. It has no goroutine, clock or
// I/O: handle, tick and the merge functions take events and the time, take
// returns the actions. It is not safe for concurrent use.
type nodeCore struct {
	self    Peer
	timing  Timing
	random  *rand.Rand
	version func() uint64
	stamp   func() uint64

	state   *state
	started time.Time
	last    time.Time
	actions []action

	join     joining
	probes   prober
	rumors   rumors
	silence  silenceWatch
	exchange time.Time // last anti-entropy exchange

	live        []*peerEntry        // cache of livePeers, nil when stale
	suspects    map[string]struct{} // names of suspected balancers
	table       *homeTable
	tableStale  bool
	tableBuilt  time.Time
	viewStale   bool
	current     View
	digests     map[string]uint64 // by service, of the current view
	nextCleanup time.Time
}

// newNodeCore returns the core of a balancer that starts at now with empty
// memory.
func newNodeCore(self Peer, seeds []netip.AddrPort, timing Timing, random *rand.Rand, now time.Time) *nodeCore {
	c := &nodeCore{
		self:     self,
		timing:   timing.orDefaults(),
		random:   random,
		version:  func() uint64 { return 0 },
		stamp:    func() uint64 { return 0 },
		state:    newState(),
		suspects: make(map[string]struct{}),
		started:  now,
		last:     now,
	}
	c.join.add(seeds, self.Control)
	c.silence = newSilenceWatch()
	c.probes = newProber()
	c.rumors = newRumors()
	c.state.mergePeer(self, statusAlive, now)
	c.tableStale = true
	c.viewStale = true
	return c
}

// take returns the actions since the last call.
func (c *nodeCore) take() []action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *nodeCore) act(a action) {
	c.actions = append(c.actions, a)
}

func (c *nodeCore) record(e event.Event) {
	c.act(recordAction{event: e})
}

// send queues a datagram.
func (c *nodeCore) send(to netip.AddrPort, envelope *pb.Envelope) {
	envelope.Format = datagramFormat
	envelope.Sender = c.self.Name
	envelope.Version = c.version()
	envelope.Stamp = c.stamp()
	c.act(sendAction{to: to, envelope: envelope})
}

// tick lets time pass.
func (c *nodeCore) tick(now time.Time) {
	c.notice(now)
	c.refreshTable(now)
	c.tickJoin(now)
	c.tickProbes(now)
	c.tickSuspicions(now)
	c.tickSilence(now)
	c.tickGossip(now)
	c.tickCleanup(now)
	c.refreshView()
}

// notice detects a pause of the process from the gap since the last event.
func (c *nodeCore) notice(now time.Time) {
	gap := now.Sub(c.last)
	c.last = now
	if gap <= c.timing.PauseAfter {
		return
	}
	if gap > c.timing.TombstoneLife {
		c.state = newState()
		c.suspects = make(map[string]struct{})
		c.self.Incarnation++
		c.state.mergePeer(c.self, statusAlive, now)
	}
	c.live = nil
	c.silence.restart(now)
	c.probes = newProber()
	c.rumors = newRumors()
	c.join.restart(now)
	c.started = now
	c.tableStale = true
	c.tableBuilt = time.Time{}
	c.viewStale = true
}

// handle takes in a datagram.
func (c *nodeCore) handle(now time.Time, from netip.AddrPort, envelope *pb.Envelope) {
	c.notice(now)
	if envelope.Sender == c.self.Name {
		return
	}
	c.silence.lastInbound = now
	c.hint(envelope)
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

// hint passes on the configuration version of a peer.
func (c *nodeCore) hint(envelope *pb.Envelope) {
	if envelope.Version <= c.version() {
		return
	}
	if entry, ok := c.state.peers[envelope.Sender]; ok {
		c.act(hintAction{version: envelope.Version, from: entry.peer})
	}
}

// livePeers returns the peers that are alive or suspect, without this one, by
// name. The result must not be modified.
func (c *nodeCore) livePeers() []*peerEntry {
	if c.live != nil {
		return c.live
	}
	live := make([]*peerEntry, 0, len(c.state.peers))
	for name, entry := range c.state.peers {
		if name != c.self.Name && entry.status <= statusSuspect {
			live = append(live, entry)
		}
	}
	slices.SortFunc(live, func(a, b *peerEntry) int { return strings.Compare(a.peer.Name, b.peer.Name) })
	c.live = live
	return live
}

// tablePeriod is the shortest time between two rebuilds of the home table, as
// each one visits all servers.
const tablePeriod = time.Second

// refreshTable rebuilds the home table after a change of the balancers and
// finds out of which servers this balancer is a home now.
func (c *nodeCore) refreshTable(now time.Time) {
	if !c.tableStale || now.Sub(c.tableBuilt) < tablePeriod {
		return
	}
	c.tableStale = false
	c.tableBuilt = now
	members := append(slices.Clone(c.livePeers()), c.state.peers[c.self.Name])
	c.table = newHomeTable(members)
	for _, entry := range c.state.servers {
		c.watch(now, entry)
	}
}

// homesOf returns the home balancers of a server.
func (c *nodeCore) homesOf(serverHash uint64, domain string) []*peerEntry {
	if c.table == nil {
		return nil
	}
	return c.table.homes(serverHash, domain)
}

// refreshView builds the snapshot after a change.
func (c *nodeCore) refreshView() {
	if !c.viewStale {
		return
	}
	c.viewStale = false
	c.current, c.digests = c.state.view(c.self)
	c.act(viewAction{})
}

// leaveTargets is the number of balancers that are told of a leaving one.
const leaveTargets = 8

// leave tells some balancers that this one leaves.
func (c *nodeCore) leave() {
	gone := peerToWire(c.self, statusGone)
	for _, target := range c.chooseTargets(leaveTargets, false) {
		c.sendGossip(target.peer.Control, nil, []*pb.Peer{gone})
	}
	for _, target := range c.chooseTargets(leaveTargets, true) {
		c.sendGossip(target.peer.Control, nil, []*pb.Peer{gone})
	}
}

// cleanupPeriod is the period in which silent entries are forgotten.
const cleanupPeriod = 5 * time.Second

// tickCleanup forgets what has been silent for long and drops old tombstones.
func (c *nodeCore) tickCleanup(now time.Time) {
	if now.Before(c.nextCleanup) {
		return
	}
	c.nextCleanup = now.Add(cleanupPeriod)
	for _, entry := range c.state.servers {
		age := now.Sub(entry.changed)
		switch {
		case entry.status == statusSilent && age > c.timing.ForgetAfter:
			c.state.mergeServer(*entry.record, statusGone, now)
		case entry.status == statusGone && age > c.timing.TombstoneLife:
			c.state.removeServer(entry)
		}
	}
	for _, entry := range c.state.peers {
		age := now.Sub(entry.changed)
		if entry.status > statusSuspect && age > c.timing.TombstoneLife {
			c.state.removePeer(entry)
			c.live = nil
		}
	}
}
