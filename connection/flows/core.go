// Package flows decides what an agent does with each TCP segment of its
// service's callers: deliver it to the local TCP endpoint, forward it to the
// agent that holds the flow, or drop it. An agent holds a flow if its TCP endpoint
// terminates the connection. The package does no I/O and reads no clock: the time
// and all input are arguments, and the output is returned. A Core is not safe for
// concurrent use.
package flows

import (
	"net/netip"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// TickInterval is the interval between calls of Core.Tick.
	TickInterval = 100 * time.Millisecond

	// MaxFlows is the maximum number of flows in the flow table.
	MaxFlows = 1 << 16
	// MaxHalfOpen is the maximum number of flows whose handshake is not complete.
	MaxHalfOpen = 1 << 13
	// MaxRegistrations is the maximum number of flows that other agents registered
	// with this one.
	MaxRegistrations = 1 << 17

	// IdleTimeout is the time without a segment after which an established flow is
	// removed. It is longer than keepalive probes take to detect an unresponsive
	// caller.
	IdleTimeout = 10 * time.Minute
	// HalfOpenTimeout is the time without a segment after which a flow whose
	// handshake is not complete is removed.
	HalfOpenTimeout = 75 * time.Second
	// ClosingTimeout is the time without a segment after which a closed flow is
	// removed.
	ClosingTimeout = 15 * time.Second

	// scanInterval is the interval between scans of the flow table.
	scanInterval = time.Second

	// handshakeWindowBytes is how far a caller's sequence number may be beyond its
	// initial one while the SYN-ACK of this agent is not acknowledged.
	handshakeWindowBytes = 1 << 20
)

// phase is the phase of a flow's connection.
type phase uint8

const (
	halfOpen phase = iota
	established
	closing
)

// flow is a flow in the flow table.
type flow struct {
	hash      uint64
	lastSeen  time.Time
	refreshAt time.Time
	// callerISN and localISN are the initial sequence numbers of the caller and of
	// the local TCP endpoint.
	callerISN uint32
	localISN  uint32
	phase     phase
	// synAckSent is true if a SYN-ACK was sent with localISN.
	synAckSent bool
	// superseded is true if the caller acknowledged another agent's SYN-ACK.
	superseded  bool
	finReceived bool
	finSent     bool
	// resetReceived is true if the caller sent a reset and the TCP endpoint has not
	// shown since then that it rejected it.
	resetReceived bool
	// learnedOwner is the owner that a balancer named and that had no registration
	// of this flow. The agent's own view may not contain it.
	learnedOwner netip.AddrPort
	learnedAt    time.Time
	// registered is true if the flow was registered with another agent.
	registered bool
	// window detects stale acknowledgements.
	window sendWindow
}

// Options configure a Core.
type Options struct {
	// Self is the agent's packet address, as other processes know it.
	Self netip.AddrPort
	// Source is the source address of the agent's calls to other services. It may
	// be the zero value.
	Source netip.Addr
	// DisableRegistration turns registration off, so that only the candidate lists
	// lead a segment to the agent that holds its flow. It is for benchmarks and
	// tests.
	DisableRegistration bool
}

// Core holds the flow table, the agent's view of its service's servers and the
// registrations.
type Core struct {
	options   Options
	service   netip.AddrPort
	suspended bool
	draining  bool

	flows    map[encap.FlowKey]*flow
	halfOpen int

	view          serverView
	registrations registrations
	outbox        outbox

	configVersion uint64
	nextScan      time.Time
}

// New returns a core without a service: it drops every segment to a service
// until SetService is called.
func New(options Options) *Core {
	return &Core{
		options:       options,
		flows:         make(map[encap.FlowKey]*flow),
		view:          newServerView(),
		registrations: newRegistrations(),
		outbox:        newOutbox(),
	}
}

// SetService sets the service's address. If the address changes, all flows and
// registrations are removed. It returns the number of removed flows.
func (c *Core) SetService(addr netip.AddrPort) (removed int) {
	if addr == c.service {
		return 0
	}
	c.service = addr
	return c.clearFlows()
}

// SetSuspended sets whether the agent's failure domain is out of service. While
// it is, every segment is dropped. Suspending removes all flows and
// registrations; the number of removed flows is returned.
func (c *Core) SetSuspended(suspended bool) (removed int) {
	c.suspended = suspended
	if !suspended {
		return 0
	}
	return c.clearFlows()
}

// SetDraining sets whether the agent accepts no new flows. An agent to which its
// view gives weight 0 accepts none either.
func (c *Core) SetDraining(draining bool) {
	c.draining = draining
}

// Flows returns the number of established flows.
func (c *Core) Flows() int {
	n := 0
	for _, f := range c.flows {
		if f.phase == established {
			n++
		}
	}
	return n
}

// Registrations returns the number of flows that other agents registered with
// this one.
func (c *Core) Registrations() int {
	return len(c.registrations.entries)
}

// ConfigVersion returns the highest configuration version in a received header.
func (c *Core) ConfigVersion() uint64 {
	return c.configVersion
}

// clearFlows removes all flows, registrations and queued messages. It returns the
// number of removed flows.
func (c *Core) clearFlows() int {
	n := len(c.flows)
	clear(c.flows)
	c.halfOpen = 0
	c.registrations = newRegistrations()
	c.outbox = newOutbox()
	return n
}

func (c *Core) setPhase(f *flow, p phase) {
	if f.phase == halfOpen {
		c.halfOpen--
	}
	if p == halfOpen {
		c.halfOpen++
	}
	f.phase = p
}

func (c *Core) remove(key encap.FlowKey, f *flow) {
	if f.phase == halfOpen {
		c.halfOpen--
	}
	c.release(f)
	delete(c.flows, key)
}

// Tick expires and refreshes entries and returns the messages to send. It must be
// called every TickInterval.
func (c *Core) Tick(now time.Time) []Message {
	if c.suspended {
		return nil
	}
	if !now.Before(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.scan(now)
	}
	return c.outbox.drain(now)
}

// scan expires replaced tables, registrations and flows, and renews the
// registrations of established flows.
func (c *Core) scan(now time.Time) {
	c.view.expire(now)
	c.registrations.expire(now)
	for key, f := range c.flows {
		if now.Sub(f.lastSeen) > f.timeout() {
			c.remove(key, f)
			continue
		}
		if f.phase == established && !now.Before(f.refreshAt) {
			c.register(f, now)
		}
	}
}

func (f *flow) timeout() time.Duration {
	switch f.phase {
	case halfOpen:
		return HalfOpenTimeout
	case established:
		return IdleTimeout
	case closing:
	}
	return ClosingTimeout
}
