package membership

import (
	"math"
	"math/rand/v2"
	"net/netip"
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
	// directoryPeriod is the shortest time between two reads of the directory.
	directoryPeriod = 5 * time.Second
)

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

// leave announces that the server has gone, until the homes have it.
func (c *agentCore) leave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.raise(now)
}

// left tells whether all homes know that the server has gone.
func (c *agentCore) left() bool {
	for _, h := range c.homes {
		if !h.acked(c.self) {
			return false
		}
	}
	return c.leaving
}

// tick lets time pass.
func (c *agentCore) tick(now time.Time) {
	c.notice(now)
	c.dropHomes(now)
	if c.leaving {
		c.tickHeartbeats(now)
		return
	}
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

// tickHeartbeats sends the heartbeats that are due. One that carries an
// unacknowledged change is repeated sooner.
func (c *agentCore) tickHeartbeats(now time.Time) {
	for _, h := range c.sortedHomes() {
		if now.Before(h.next) {
			continue
		}
		acked := h.acked(c.self)
		if acked && c.leaving {
			continue
		}
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
		heartbeat.Record = recordToWire(c.self, c.status())
	}
	c.send(to, &pb.Envelope{Body: &pb.Envelope_Heartbeat{Heartbeat: heartbeat}})
}

func (c *agentCore) status() status {
	if c.leaving {
		return statusGone
	}
	return statusAlive
}

// handle takes in a datagram.
func (c *agentCore) handle(now time.Time, from netip.AddrPort, envelope *pb.Envelope) {
	c.notice(now)
	body, ok := envelope.Body.(*pb.Envelope_HeartbeatReply)
	if !ok || body.HeartbeatReply.Server != serverCheck(c.self.Server) {
		return
	}
	reply := body.HeartbeatReply
	sender := Peer{Name: envelope.Sender, Control: from}
	if h, isHome := c.homes[from]; isHome {
		sender = h.peer
		c.acknowledge(now, h, reply)
	}
	if c.leaving {
		return
	}
	c.takeHomes(now, from, reply)
	c.refute(now, reply)
	c.noteView(reply)
	if envelope.Version > c.version() {
		c.act(hintAction{version: envelope.Version, from: sender})
	}
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

// validateSelf checks the settings of an agent. Errors are of kind
// InvalidSettings.
func validateSelf(self Record) error {
	if _, _, err := recordFromWire(recordToWire(self, statusAlive)); err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "announce server %q", self.Server)
	}
	return nil
}
