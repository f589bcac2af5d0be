package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// indirectProbes is the number of balancers asked to probe a balancer that
	// did not answer.
	indirectProbes = 3
	// rejoinPeriod is the period in which a balancer that is held for dead, or
	// an address from the settings, is tried again.
	rejoinPeriod = 5 * time.Second
	// relayLife is the time for which a probe for another balancer is kept.
	relayLife = 2 * time.Second
)

// prober is the state of the probes.
type prober struct {
	nonce      uint64
	next       time.Time
	nextRejoin time.Time
	local      rotation
	remote     rotation
	pending    map[uint64]*pendingProbe
	relays     map[uint64]relay
}

// pendingProbe is a probe without an answer yet.
type pendingProbe struct {
	name     string
	sent     time.Time
	indirect bool
}

// relay is a probe made for another balancer.
type relay struct {
	origin netip.AddrPort
	nonce  uint64
	sent   time.Time
}

func newProber() prober {
	return prober{
		pending: make(map[uint64]*pendingProbe),
		relays:  make(map[uint64]relay),
	}
}

// rotation goes round a set of balancers in random order, so that each is
// probed within a bounded number of periods.
type rotation struct {
	names []string
}

// next returns the next balancer of the round, or nil when there is none. A
// new round is drawn from the live balancers, which list returns at random.
func (r *rotation) next(peers map[string]*peerEntry, list func() []*peerEntry) *peerEntry {
	for range 2 {
		for len(r.names) > 0 {
			entry, ok := peers[r.names[0]]
			r.names = r.names[1:]
			if ok && entry.status <= statusSuspect {
				return entry
			}
		}
		for _, entry := range list() {
			r.names = append(r.names, entry.peer.Name)
		}
	}
	return nil
}

// tickProbes probes one balancer of the own failure domain and one of another
// in each period, and follows up open probes.
func (c *nodeCore) tickProbes(now time.Time) {
	c.followProbes(now)
	if !now.Before(c.probes.nextRejoin) {
		c.probes.nextRejoin = now.Add(rejoinPeriod)
		c.rejoin()
	}
	if now.Before(c.probes.next) {
		return
	}
	c.probes.next = now.Add(c.jitter(c.timing.Probe))
	c.probe(now, c.probes.local.next(c.state.peers, func() []*peerEntry { return c.otherPeers(true) }))
	c.probe(now, c.probes.remote.next(c.state.peers, func() []*peerEntry { return c.otherPeers(false) }))
}

func (c *nodeCore) probe(now time.Time, target *peerEntry) {
	if target == nil {
		return
	}
	c.probes.nonce++
	c.probes.pending[c.probes.nonce] = &pendingProbe{name: target.peer.Name, sent: now}
	c.ping(target.peer.Control, c.probes.nonce)
}

func (c *nodeCore) ping(to netip.AddrPort, nonce uint64) {
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Ping{Ping: &pb.Ping{
		Nonce: nonce,
		Self:  peerToWire(c.self, statusAlive),
		State: c.state.total(),
		Ready: c.join.ready,
	}}})
}

// jitter returns a period changed by up to a tenth.
func (c *nodeCore) jitter(period time.Duration) time.Duration {
	return jitter(c.random, period)
}

// followProbes asks others to probe a balancer that did not answer, and
// suspects it when they get no answer either.
func (c *nodeCore) followProbes(now time.Time) {
	for _, nonce := range slices.Sorted(maps.Keys(c.probes.pending)) {
		probe := c.probes.pending[nonce]
		age := now.Sub(probe.sent)
		switch {
		case age >= c.timing.Probe:
			delete(c.probes.pending, nonce)
			c.suspect(now, probe.name)
		case age >= c.timing.AckTimeout && !probe.indirect:
			probe.indirect = true
			c.probeIndirectly(nonce, probe.name)
		}
	}
	for nonce, relay := range c.probes.relays {
		if now.Sub(relay.sent) > relayLife {
			delete(c.probes.relays, nonce)
		}
	}
}

func (c *nodeCore) probeIndirectly(nonce uint64, name string) {
	target, ok := c.state.peers[name]
	if !ok {
		return
	}
	for _, helper := range c.chooseTargets(indirectProbes, false) {
		if helper == target {
			continue
		}
		c.send(helper.peer.Control, &pb.Envelope{Body: &pb.Envelope_PingRequest{PingRequest: &pb.PingRequest{
			Nonce:  nonce,
			Target: endpointToWire(target.peer.Control),
		}}})
	}
}

// suspect marks a balancer that answered no probe, unless this balancer hears
// nobody at all.
func (c *nodeCore) suspect(now time.Time, name string) {
	entry, ok := c.state.peers[name]
	if !ok || entry.status != statusAlive || c.deaf(now) {
		return
	}
	c.mergePeer(now, entry.peer, statusSuspect)
}

// tickSuspicions holds a suspect that did not refute in time for dead.
func (c *nodeCore) tickSuspicions(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		entry := c.state.peers[name]
		if now.Sub(entry.changed) >= c.timing.Suspicion && !c.deaf(now) {
			c.mergePeer(now, entry.peer, statusSilent)
		}
	}
}

// rejoin pings a dead balancer and a known address, so that the two sides of a
// cut find each other again.
func (c *nodeCore) rejoin() {
	var dead []netip.AddrPort
	known := make(map[netip.AddrPort]bool)
	for name, entry := range c.state.peers {
		if name == c.self.Name {
			continue
		}
		known[entry.peer.Control] = entry.status <= statusSuspect
		if entry.status == statusSilent {
			dead = append(dead, entry.peer.Control)
		}
	}
	for _, candidate := range c.join.candidates {
		if !known[candidate.addr] {
			dead = append(dead, candidate.addr)
		}
	}
	slices.SortFunc(dead, netip.AddrPort.Compare)
	if len(dead) > 0 {
		c.ping(dead[c.random.IntN(len(dead))], 0)
	}
}

// handlePing answers a probe.
func (c *nodeCore) handlePing(now time.Time, from netip.AddrPort, ping *pb.Ping) {
	c.meet(now, ping.Self)
	if ping.Ready {
		c.join.noteReady(from)
	}
	c.send(from, &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{
		Nonce: ping.Nonce,
		Self:  peerToWire(c.self, statusAlive),
		State: c.state.total(),
		Ready: c.join.ready,
	}}})
}

// meet takes in what a balancer says about itself. One that is held for
// suspect or dead is told, so that it refutes.
func (c *nodeCore) meet(now time.Time, self *pb.Peer) {
	peer, _, err := peerFromWire(self)
	if err != nil || peer.Name == c.self.Name {
		return
	}
	c.mergePeer(now, peer, statusAlive)
	entry, ok := c.state.peers[peer.Name]
	if ok && entry.status != statusAlive {
		c.sendGossip(entry.peer.Control, nil, []*pb.Peer{peerToWire(entry.peer, entry.status)})
	}
}

// handleAck ends a probe and opens an anti-entropy exchange when the states
// differ.
func (c *nodeCore) handleAck(now time.Time, from netip.AddrPort, sender string, ack *pb.Ack) {
	c.meet(now, ack.Self)
	if relay, ok := c.probes.relays[ack.Nonce]; ok {
		delete(c.probes.relays, ack.Nonce)
		c.send(relay.origin, &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{
			Nonce: relay.nonce,
			Self:  ack.Self,
			State: c.state.total(),
			Ready: ack.Ready,
		}}})
		return
	}
	if probe, ok := c.probes.pending[ack.Nonce]; ok && ack.Self.GetName() == probe.name {
		delete(c.probes.pending, ack.Nonce)
	}
	if sender != ack.Self.GetName() {
		return
	}
	if ack.Ready {
		c.join.noteReady(from)
	}
	if ack.State != c.state.total() {
		c.openExchange(now, from)
	}
}

// handlePingRequest probes a balancer for another one.
func (c *nodeCore) handlePingRequest(now time.Time, from netip.AddrPort, request *pb.PingRequest) {
	target, err := endpointFromWire(request.Target)
	if err != nil {
		return
	}
	c.probes.nonce++
	c.probes.relays[c.probes.nonce] = relay{origin: from, nonce: request.Nonce, sent: now}
	c.ping(target, c.probes.nonce)
}
