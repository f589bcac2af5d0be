package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"bergamotbank/errkind"
	pb "bergamotbank/process/membership/membershippb"
)

const (
	// retryPeriod is the period in which an unacknowledged change is repeated.
	retryPeriod = 200 * time.Millisecond
	// unnamedHeartbeats is the number of heartbeat periods after which a home
	// that no balancer names any more is left.
	unnamedHeartbeats = 3
	// contactCount is the number of balancers tried at once while no home answers.
	contactCount = 3
	// contactLimit is the largest number of addresses kept for that case.
	contactLimit = 64
	// raisePeriod is the shortest time between two raises of the incarnation.
	raisePeriod = time.Second
	// fetchPeriod is the shortest time between two fetches of the view.
	fetchPeriod = time.Second
	// leaveRepeats is the number of times that the end of a server is told.
	leaveRepeats = 3
	// directoryPeriod is the shortest time between two reads of the directory.
	directoryPeriod = 5 * time.Second
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

// agentCore takes the decisions of an agent. It has no goroutine, clock or I/O
// and is not safe for concurrent use.
type agentCore struct {
	self    Record
	timing  Timing
	random  *rand.Rand
	version func() uint64
	stamp   func() uint64
	depends []string

	homes         map[netip.AddrPort]*home
	contacts      []netip.AddrPort
	seeds         []netip.AddrPort
	started       time.Time
	last          time.Time
	nextContact   time.Time
	nextDirectory time.Time
	lastRaise     time.Time
	leaving       bool

	servers   []Record
	digest    uint64 // of servers
	wanted    uint64 // as the homes tell it
	nextFetch time.Time
	fetching  bool
	fetched   bool
	actions   []action
}

// newAgentCore returns the core of an agent that starts at now.
func newAgentCore(self Record, seeds []netip.AddrPort, timing Timing, random *rand.Rand, now time.Time) *agentCore {
	c := &agentCore{
		self:    self,
		timing:  timing.orDefaults(),
		random:  random,
		version: func() uint64 { return 0 },
		stamp:   func() uint64 { return 0 },
		homes:   make(map[netip.AddrPort]*home),
		seeds:   seeds,
		started: now,
		last:    now,
	}
	c.addContacts(seeds)
	return c
}

func (c *agentCore) take() []action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *agentCore) act(a action) {
	c.actions = append(c.actions, a)
}

func (c *agentCore) send(to netip.AddrPort, envelope *pb.Envelope) {
	envelope.Format = datagramFormat
	envelope.Sender = c.self.Server
	envelope.Version = c.version()
	envelope.Stamp = c.stamp()
	c.act(sendAction{to: to, envelope: envelope})
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

// setState announces a state and a weight.
func (c *agentCore) setState(now time.Time, state State, weight uint16) {
	if c.self.State == state && c.self.Weight == weight {
		return
	}
	c.self.State = state
	c.self.Weight = weight
	c.raise(now)
}

// raise makes the record newer and announces it at once.
func (c *agentCore) raise(now time.Time) {
	c.self.Sequence++
	for _, h := range c.homes {
		h.next = now
	}
	c.tickHeartbeats(now)
}

// leave tells the homes that the server has gone.
func (c *agentCore) leave() {
	c.leaving = true
	c.self.Sequence++
	gone := recordToWire(c.self, statusGone)
	for range leaveRepeats {
		for _, h := range c.sortedHomes() {
			c.send(h.peer.Control, &pb.Envelope{Body: &pb.Envelope_Gossip{Gossip: &pb.Gossip{Records: []*pb.Record{gone}}}})
		}
	}
}

// tick lets time pass.
func (c *agentCore) tick(now time.Time) {
	c.notice(now)
	if c.leaving {
		return
	}
	c.dropHomes(now)
	c.tickContacts(now)
	c.tickHeartbeats(now)
	c.tickFetch(now)
}

// notice detects a pause of the process. The view is then fetched anew before
// it counts as fresh.
func (c *agentCore) notice(now time.Time) {
	gap := now.Sub(c.last)
	c.last = now
	if gap <= c.timing.PauseAfter {
		return
	}
	c.fetched = false
	c.fetching = false
	for _, h := range c.homes {
		h.next = now
		h.named = now
		h.answered = now
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

// homeAnswers tells whether a home has answered lately.
func (c *agentCore) homeAnswers(now time.Time) bool {
	for _, h := range c.homes {
		if !h.answered.IsZero() && now.Sub(h.answered) <= c.timing.SilentAfter {
			return true
		}
	}
	return false
}

// tickHeartbeats sends the heartbeats that are due. One that carries an
// unacknowledged change is repeated sooner.
func (c *agentCore) tickHeartbeats(now time.Time) {
	for _, h := range c.sortedHomes() {
		if now.Before(h.next) {
			continue
		}
		acked := h.acked(c.self)
		period := retryPeriod
		if acked {
			period = c.timing.Heartbeat
		}
		h.next = now.Add(c.jitter(period))
		c.heartbeat(h.peer.Control, !acked)
	}
}

func (c *agentCore) jitter(period time.Duration) time.Duration {
	return jitter(c.random, period)
}

func (c *agentCore) heartbeat(to netip.AddrPort, withRecord bool) {
	heartbeat := &pb.Heartbeat{
		Incarnation: c.self.Incarnation,
		Sequence:    c.self.Sequence,
		Homes:       c.homesHash(),
		DependsOn:   c.depends,
	}
	if withRecord {
		heartbeat.Record = recordToWire(c.self, statusAlive)
	}
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat}})
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

// handle takes in a datagram.
func (c *agentCore) handle(now time.Time, from netip.AddrPort, envelope *pb.Envelope) {
	c.notice(now)
	body, ok := envelope.Body.(*pb.Envelope_HeartbeatReply)
	if !ok || body.HeartbeatReply.Server != serverCheck(c.self.Server) || c.leaving {
		return
	}
	reply := body.HeartbeatReply
	sender := Peer{Name: envelope.Sender, Control: from}
	if h, isHome := c.homes[from]; isHome {
		sender = h.peer
		c.acknowledge(now, h, reply)
	}
	c.takeHomes(now, from, reply)
	c.refute(now, reply)
	c.noteView(reply)
	if envelope.Version > c.version() {
		c.act(hintAction{version: envelope.Version, from: sender})
	}
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
		if err != nil {
			continue
		}
		h, known := c.homes[peer.Control]
		if !known {
			h = &home{answered: now, next: now}
			c.homes[peer.Control] = h
		}
		if h.peer.Name != peer.Name {
			h.ackedIncarnation, h.ackedSequence = 0, 0
		}
		h.peer = peer
		h.named = now
	}
	c.tickHeartbeats(now)
}

// refute raises the version when the balancers hold the server for silent or
// replaced.
func (c *agentCore) refute(now time.Time, reply *pb.HeartbeatReply) {
	switch {
	case reply.RefuteIncarnation == 0 || reply.RefuteIncarnation < c.self.Incarnation:
		return
	case reply.RefuteIncarnation > c.self.Incarnation || reply.RefuteSequence == math.MaxUint64:
		if now.Sub(c.lastRaise) < raisePeriod {
			return
		}
		c.lastRaise = now
		c.self.Incarnation = reply.RefuteIncarnation + 1
		c.self.Sequence = 0
		c.raise(now)
	case reply.RefuteSequence >= c.self.Sequence:
		c.self.Sequence = reply.RefuteSequence
		c.raise(now)
	}
}

// noteView remembers which view the homes have.
func (c *agentCore) noteView(reply *pb.HeartbeatReply) {
	if reply.Ready && reply.Incarnation != 0 {
		c.wanted = reply.View
	}
}

// services returns the services whose view the agent needs.
func (c *agentCore) services() []string {
	services := append([]string{c.self.Service}, c.depends...)
	slices.Sort(services)
	return slices.Compact(services)
}

// setDepends sets the services that the agent needs besides its own.
func (c *agentCore) setDepends(depends []string) {
	sorted := slices.Clone(depends)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if slices.Equal(sorted, c.depends) {
		return
	}
	c.depends = sorted
	c.fetched = false
}

// tickFetch fetches the view of the services when the homes have another one.
func (c *agentCore) tickFetch(now time.Time) {
	differs := c.wanted != c.digest || !c.fetched
	if !differs || c.fetching || now.Before(c.nextFetch) {
		return
	}
	var answering []*home
	for _, h := range c.sortedHomes() {
		if now.Sub(h.answered) <= c.timing.SilentAfter && h.acked(c.self) {
			answering = append(answering, h)
		}
	}
	if len(answering) == 0 {
		return
	}
	c.nextFetch = now.Add(c.jitter(fetchPeriod))
	c.fetching = true
	chosen := answering[c.random.IntN(len(answering))]
	var buckets []uint32
	if c.servers != nil {
		buckets = viewBuckets(c.servers)
	}
	c.act(fetchAction{from: chosen.peer.Control, services: c.services(), buckets: buckets})
}

// fetchDone takes in the view of the services.
func (c *agentCore) fetchDone(now time.Time, response *pb.FetchViewResponse, err error) {
	c.notice(now)
	c.fetching = false
	if err != nil || !response.Ready {
		return
	}
	delta := make([]Record, 0, len(response.Records))
	for _, m := range response.Records {
		record, _, err := recordFromWire(m)
		if err != nil {
			return
		}
		delta = append(delta, record)
	}
	c.servers = applyDelta(c.servers, response.Replaced, delta)
	slices.SortFunc(c.servers, func(a, b Record) int { return cmp.Compare(a.Server, b.Server) })
	digests := serviceDigests(c.servers)
	c.digest = viewDigest(digests, c.self.Service, c.depends)
	c.wanted = c.digest
	if c.digest != response.Digest {
		c.servers = nil
		c.fetched = false
		return
	}
	c.fetched = true
	c.takeContacts(response.Peers)
	c.act(viewAction{})
}

func (c *agentCore) takeContacts(peers []*pb.Peer) {
	for _, m := range peers {
		if peer, _, err := peerFromWire(m); err == nil {
			c.addContacts([]netip.AddrPort{peer.Control})
		}
	}
}

// view returns the snapshot of the needed services and the homes.
func (c *agentCore) view() View {
	return View{Servers: slices.Clone(c.servers), Peers: c.homePeers()}
}

func (c *agentCore) homePeers() []Peer {
	peers := make([]Peer, 0, len(c.homes))
	for _, h := range c.homes {
		peers = append(peers, h.peer)
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// validateSelf checks the settings of an agent. Errors are of kind
// InvalidSettings.
func validateSelf(self Record) error {
	if _, _, err := recordFromWire(recordToWire(self, statusAlive)); err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "announce server %q", self.Server)
	}
	return nil
}
