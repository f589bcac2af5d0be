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
	// retryInterval is the time between transmissions of an unacknowledged change.
	retryInterval = 200 * time.Millisecond
	// homeExpiryHeartbeats is the number of heartbeat periods after which a home
	// that no balancer lists any more is dropped.
	homeExpiryHeartbeats = 3
	// contactCount is the number of balancers tried at once while no home replies.
	contactCount = 3
	// contactLimit is the maximum number of contact addresses kept for that case.
	contactLimit = 64
	// minIncarnationInterval is the minimum time between two increments of the
	// incarnation.
	minIncarnationInterval = time.Second
	// minFetchInterval is the minimum time between two fetches of the view.
	minFetchInterval = time.Second
	// minDirectoryReadInterval is the minimum time between two reads of the directory.
	minDirectoryReadInterval = 5 * time.Second
)

// agentCore implements the protocol of an agent. It has no goroutine, clock or I/O
// and is not safe for concurrent use.
type agentCore struct {
	self      Record
	timing    Timing
	random    *rand.Rand
	version   func() uint64
	stamp     func() uint64
	dependsOn []string

	homes                 map[netip.AddrPort]*home
	contacts              []netip.AddrPort
	seeds                 []netip.AddrPort
	started               time.Time
	lastEvent             time.Time
	nextContact           time.Time
	nextDirectory         time.Time
	lastIncarnationChange time.Time
	leaving               bool

	servers    []Record
	digest     uint64 // of servers
	homeDigest uint64 // as reported by the homes
	nextFetch  time.Time
	fetching   bool
	fetched    bool
	actions    []action
}

// newAgentCore returns the core of an agent that starts at now.
func newAgentCore(self Record, seeds []netip.AddrPort, timing Timing, random *rand.Rand, now time.Time) *agentCore {
	c := &agentCore{
		self:      self,
		timing:    timing.withDefaults(),
		random:    random,
		version:   func() uint64 { return 0 },
		stamp:     func() uint64 { return 0 },
		homes:     make(map[netip.AddrPort]*home),
		seeds:     seeds,
		started:   now,
		lastEvent: now,
	}
	c.addContacts(seeds)
	return c
}

// takeActions returns the actions since the last call.
func (c *agentCore) takeActions() []action {
	actions := c.actions
	c.actions = nil
	return actions
}

func (c *agentCore) emit(a action) {
	c.actions = append(c.actions, a)
}

func (c *agentCore) send(to netip.AddrPort, envelope *pb.Envelope) {
	envelope.Format = datagramFormat
	envelope.Sender = c.self.Server
	envelope.Version = c.version()
	envelope.Stamp = c.stamp()
	c.emit(sendAction{to: to, envelope: envelope})
}

// setState announces a state and a weight.
func (c *agentCore) setState(now time.Time, state State, weight uint16) {
	if c.self.State == state && c.self.Weight == weight {
		return
	}
	c.self.State = state
	c.self.Weight = weight
	c.announceChange(now)
}

// announceChange increments the sequence and announces the record immediately.
func (c *agentCore) announceChange(now time.Time) {
	c.self.Sequence++
	for _, h := range c.homes {
		h.nextHeartbeat = now
	}
	c.tickHeartbeats(now)
}

// leave announces that the server leaves, repeatedly until all homes have
// acknowledged it.
func (c *agentCore) leave(now time.Time) {
	if c.leaving {
		return
	}
	c.leaving = true
	c.announceChange(now)
}

// leaveAcknowledged reports whether all homes know that the server has left.
func (c *agentCore) leaveAcknowledged() bool {
	for _, h := range c.homes {
		if !h.acked(c.self) {
			return false
		}
	}
	return c.leaving
}

// tick runs the periodic work that is due.
func (c *agentCore) tick(now time.Time) {
	c.detectPause(now)
	c.dropHomes(now)
	if c.leaving {
		c.tickHeartbeats(now)
		return
	}
	c.tickContacts(now)
	c.tickHeartbeats(now)
	c.tickFetch(now)
}

// detectPause detects a pause of the process. After a pause the view is not
// ready until it has been fetched again.
func (c *agentCore) detectPause(now time.Time) {
	gap := now.Sub(c.lastEvent)
	c.lastEvent = now
	if gap <= c.timing.PauseAfter {
		return
	}
	c.fetched = false
	c.fetching = false
	for _, h := range c.homes {
		h.nextHeartbeat = now
		h.lastListed = now
		h.lastReply = now
	}
}

// tickHeartbeats sends the heartbeats that are due. A heartbeat that carries an
// unacknowledged change is repeated sooner.
func (c *agentCore) tickHeartbeats(now time.Time) {
	for _, h := range c.sortedHomes() {
		if now.Before(h.nextHeartbeat) {
			continue
		}
		acked := h.acked(c.self)
		if acked && c.leaving {
			continue
		}
		period := retryInterval
		if acked {
			period = c.timing.Heartbeat
		}
		h.nextHeartbeat = now.Add(c.jitter(period))
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
		DependsOn:   c.dependsOn,
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

// handle processes a datagram.
func (c *agentCore) handle(now time.Time, from netip.AddrPort, envelope *pb.Envelope) {
	c.detectPause(now)
	body, ok := envelope.Body.(*pb.Envelope_HeartbeatReply)
	if !ok || body.HeartbeatReply.Server != serverNameHash(c.self.Server) {
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
	c.updateHomes(now, from, reply)
	c.refute(now, reply)
	c.noteViewDigest(reply)
	if envelope.Version > c.version() {
		c.emit(newerVersionAction{version: envelope.Version, from: sender})
	}
}

// refute announces a newer version when the balancers consider the server silent
// or replaced.
func (c *agentCore) refute(now time.Time, reply *pb.HeartbeatReply) {
	switch {
	case reply.RefuteIncarnation == 0 || reply.RefuteIncarnation < c.self.Incarnation:
		return
	case reply.RefuteIncarnation > c.self.Incarnation || reply.RefuteSequence == math.MaxUint64:
		if now.Sub(c.lastIncarnationChange) < minIncarnationInterval {
			return
		}
		c.lastIncarnationChange = now
		c.self.Incarnation = reply.RefuteIncarnation + 1
		c.self.Sequence = 0
		c.announceChange(now)
	case reply.RefuteSequence >= c.self.Sequence:
		c.self.Sequence = reply.RefuteSequence
		c.announceChange(now)
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
