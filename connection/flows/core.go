// Package flows decides what an agent does with each TCP segment of its
// service's callers: deliver it to the local TCP endpoint, pass it to the agent
// that holds the flow, or drop it. The package is pure: the time and all input
// come with each call, and the output is returned. A Core is for one goroutine
// at a time.
package flows

import (
	"net/netip"
	"time"

	"bergamotbank/connection/encap"
)

const (
	// TickInterval is the time between calls of Core.Tick.
	TickInterval = 100 * time.Millisecond

	// MaxFlows is the bound of the flow table.
	MaxFlows = 1 << 16
	// MaxHalfOpen is the bound of flows whose handshake is not complete.
	MaxHalfOpen = 1 << 13
	// MaxRegistrations is the bound of flows that other agents registered here.
	MaxRegistrations = 1 << 17

	// IdleTimeout ends a flow without a segment. It is longer than the time in
	// which keepalive probes find a silent caller.
	IdleTimeout = 10 * time.Minute
	// HalfOpenTimeout ends a flow whose handshake is not completed.
	HalfOpenTimeout = 75 * time.Second
	// ClosingTimeout forgets a closed flow.
	ClosingTimeout = 15 * time.Second

	scanInterval = time.Second

	// handshakeWindow is how far, in bytes, a caller's sequence number may be
	// beyond its initial one while our answer is not acknowledged.
	handshakeWindow = 1 << 20
)

// phase is the state of a flow.
type phase uint8

const (
	halfOpen phase = iota
	established
	closing
)

// flow is a flow that the local TCP endpoint holds.
type flow struct {
	hash      uint64
	seen      time.Time
	refreshAt time.Time
	// callerISN and ownISN are the initial sequence numbers.
	callerISN uint32
	ownISN    uint32
	phase     phase
	// answered tells that our SYN-ACK was sent with ownISN.
	answered bool
	// superseded tells that the caller took another agent's answer.
	superseded bool
	finIn      bool
	finOut     bool
	// reset tells that the caller sent a reset which may not be acceptable.
	reset bool
	// learned is the owner that a balancer named and that did not know of this
	// flow. It may be unknown to the own view.
	learned   netip.AddrPort
	learnedAt time.Time
	// registered tells that another agent knows of this flow.
	registered bool
	// window tells old acknowledgements from new ones.
	window sendWindow
}

// Options are the settings of a Core.
type Options struct {
	// Self is the agent's packet address, as other processes know it.
	Self netip.AddrPort
	// Source is the address from which the agent calls other services. It may
	// be the zero value.
	Source netip.Addr
	// DisableRegistration leaves hand-over to the candidate lists alone. It is
	// for measurements and tests.
	DisableRegistration bool
}

// Core holds the flow table and all that the decisions need.
type Core struct {
	options   Options
	service   netip.AddrPort
	suspended bool
	draining  bool

	flows    map[encap.FlowKey]*flow
	halfOpen int

	tables        tables
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
		tables:        newTables(),
		registrations: newRegistrations(),
		outbox:        newOutbox(),
	}
}

// SetService sets the service's address. When it differs from the former one,
// all flows are given up; their number is returned.
func (c *Core) SetService(addr netip.AddrPort) (givenUp int) {
	if addr == c.service {
		return 0
	}
	c.service = addr
	return c.giveUp()
}

// SetSuspended tells that the agent's own failure domain is out, or in again.
// While it is out everything is dropped. All flows are given up when it goes
// out; their number is returned.
func (c *Core) SetSuspended(suspended bool) (givenUp int) {
	c.suspended = suspended
	if !suspended {
		return 0
	}
	return c.giveUp()
}

// SetDraining tells that the agent takes no new flows, whatever its view says.
func (c *Core) SetDraining(draining bool) {
	c.draining = draining
}

// Flows returns the number of flows held, without half-open and closed ones.
func (c *Core) Flows() int {
	n := 0
	for _, f := range c.flows {
		if f.phase == established {
			n++
		}
	}
	return n
}

// Registrations returns the number of flows that other agents registered here.
func (c *Core) Registrations() int {
	return len(c.registrations.entries)
}

// ConfigVersion returns the highest configuration version that a balancer named.
func (c *Core) ConfigVersion() uint64 {
	return c.configVersion
}

// giveUp forgets all flows, held here and elsewhere.
func (c *Core) giveUp() int {
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

// Tick does what time asks for and returns the messages to send. It is to be
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

// scan expires flows and registrations, and renews registrations of flows.
func (c *Core) scan(now time.Time) {
	c.tables.expire(now)
	c.registrations.expire(now)
	for key, f := range c.flows {
		if now.Sub(f.seen) > f.timeout() {
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
