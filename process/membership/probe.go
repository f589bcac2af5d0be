package membership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	pb "bergamotbank/process/membership/membershippb"
)

const (
	// indirectProbes is the number of balancers that are requested to probe a
	// balancer that did not reply.
	indirectProbes = 3
	// rejoinPeriod is the period in which a balancer that is considered failed, or
	// an address from the settings, is tried again.
	rejoinPeriod = 5 * time.Second
	// relayTimeout is the time for which a relayed probe is kept.
	relayTimeout = 2 * time.Second
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

// pendingProbe is a probe that has not been acknowledged yet.
type pendingProbe struct {
	name     string
	sent     time.Time
	indirect bool
}

// relay is a probe relayed for another balancer.
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

// rotation iterates over a set of balancers in random order, so that each is
// probed within a bounded number of periods.
type rotation struct {
	names []string
}

// next returns the next balancer of the round, or nil if there is none. A new
// round consists of the live balancers, which list returns in random order.
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

// tickProbes probes one balancer of this balancer's failure domain and one of another
// in each period, and checks pending probes.
func (c *nodeCore) tickProbes(now time.Time) {
	c.checkPendingProbes(now)
	if !now.Before(c.probes.nextRejoin) {
		c.probes.nextRejoin = now.Add(rejoinPeriod)
		c.rejoin()
	}
	if now.Before(c.probes.next) {
		return
	}
	c.probes.next = now.Add(c.jitter(c.timing.Probe))
	c.probe(now, c.probes.local.next(c.state.peers, func() []*peerEntry { return c.shuffledPeers(true) }))
	c.probe(now, c.probes.remote.next(c.state.peers, func() []*peerEntry { return c.shuffledPeers(false) }))
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

// jitter returns a period randomly varied by up to 10%.
func (c *nodeCore) jitter(period time.Duration) time.Duration {
	return jitter(c.random, period)
}

// checkPendingProbes requests other balancers to probe a balancer that did not
// reply, and suspects it if they get no reply either.
func (c *nodeCore) checkPendingProbes(now time.Time) {
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
		if now.Sub(relay.sent) > relayTimeout {
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

// suspect marks a balancer that acknowledged no probe as suspect, unless this
// balancer receives nothing at all.
func (c *nodeCore) suspect(now time.Time, name string) {
	entry, ok := c.state.peers[name]
	if !ok || entry.status != statusAlive || c.receptionFailed(now) {
		return
	}
	c.mergePeer(now, entry.peer, statusSuspect)
}

// tickSuspicions marks suspects that did not refute in time as failed.
func (c *nodeCore) tickSuspicions(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(c.suspects)) {
		entry := c.state.peers[name]
		if now.Sub(entry.changed) >= c.timing.Suspicion && !c.receptionFailed(now) {
			c.mergePeer(now, entry.peer, statusSilent)
		}
	}
}

// rejoin pings a failed balancer or a known address, so that both sides of a
// partition find each other again after it ends.
func (c *nodeCore) rejoin() {
	var targets []netip.AddrPort
	known := make(map[netip.AddrPort]bool)
	for name, entry := range c.state.peers {
		if name == c.self.Name {
			continue
		}
		known[entry.peer.Control] = entry.status <= statusSuspect
		if entry.status == statusSilent {
			targets = append(targets, entry.peer.Control)
		}
	}
	for _, candidate := range c.join.candidates {
		if !known[candidate.addr] {
			targets = append(targets, candidate.addr)
		}
	}
	slices.SortFunc(targets, netip.AddrPort.Compare)
	if len(targets) > 0 {
		c.ping(targets[c.random.IntN(len(targets))], 0)
	}
}

// handlePing replies to a probe.
func (c *nodeCore) handlePing(now time.Time, from netip.AddrPort, ping *pb.Ping) {
	c.mergeIntroduction(now, ping.Self)
	if ping.Ready {
		c.join.noteReadyPeer(from)
	}
	c.send(from, &pb.Envelope{Body: &pb.Envelope_Ack{Ack: &pb.Ack{
		Nonce: ping.Nonce,
		Self:  peerToWire(c.self, statusAlive),
		State: c.state.total(),
		Ready: c.join.ready,
	}}})
}

// mergeIntroduction merges what a balancer announces about itself. If it is
// considered suspect or failed, it is informed so that it refutes.
func (c *nodeCore) mergeIntroduction(now time.Time, self *pb.Peer) {
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

// handleAck completes a probe and starts an anti-entropy exchange if the states
// differ.
func (c *nodeCore) handleAck(now time.Time, from netip.AddrPort, sender string, ack *pb.Ack) {
	c.mergeIntroduction(now, ack.Self)
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
		c.join.noteReadyPeer(from)
	}
	if ack.State != c.state.total() {
		c.startExchange(now, from)
	}
}

// handlePingRequest probes a balancer on behalf of another one.
func (c *nodeCore) handlePingRequest(now time.Time, from netip.AddrPort, request *pb.PingRequest) {
	target, err := endpointFromWire(request.Target)
	if err != nil {
		return
	}
	c.probes.nonce++
	c.probes.relays[c.probes.nonce] = relay{origin: from, nonce: request.Nonce, sent: now}
	c.ping(target, c.probes.nonce)
}
