package flows

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// Inbound decides about a segment that a balancer or an agent sent here. The
// header is updated when the segment is to be passed on.
func (c *Core) Inbound(s *encap.Segment, h *encap.Header, now time.Time) Decision {
	if c.suspended {
		return drop(ReasonSuspended)
	}
	c.configVersion = max(c.configVersion, h.ConfigVersion)
	if s.Destination != c.service {
		return drop(ReasonWrongService)
	}
	if !h.Visit(c.options.Self) {
		return drop(ReasonHopLimit)
	}
	key := s.FlowKeyToService()
	f := c.flows[key]
	if f != nil && f.phase == closing && isNewSYN(s, f) {
		c.remove(key, f)
		f = nil
	}
	if f == nil {
		return c.unknown(key, s, h, now)
	}
	f.seen = now
	if f.phase == halfOpen {
		return c.inboundHalfOpen(f, s, h, now)
	}
	if f.window.stale(s) {
		return drop(ReasonStaleAcknowledgement)
	}
	c.noteInbound(f, s)
	c.learnOwner(f, h, now)
	return deliver()
}

// InboundAnswer decides about a packet that the fabric sent here: an answer to
// a call of this agent.
func (c *Core) InboundAnswer(s *encap.Segment) Decision {
	if c.suspended {
		return drop(ReasonSuspended)
	}
	if s.Destination.Addr() != c.options.Source {
		return drop(ReasonWrongService)
	}
	return deliver()
}

func isSYN(s *encap.Segment) bool {
	return s.Flags&(header.TCPFlagSyn|header.TCPFlagAck|header.TCPFlagRst) == header.TCPFlagSyn
}

func isNewSYN(s *encap.Segment, f *flow) bool {
	return isSYN(s) && s.Sequence != f.callerISN
}

// unknown decides about a segment of a flow that is not held here.
func (c *Core) unknown(key encap.FlowKey, s *encap.Segment, h *encap.Header, now time.Time) Decision {
	hash := key.Hash()
	if !isSYN(s) {
		return c.pass(h, hash, now)
	}
	if holder, ok := c.registrations.holder(hash, now); ok && h.HopLimit > 0 && c.mayVisit(h, holder) {
		return c.passToHolder(h, holder)
	}
	if c.isDraining() {
		return c.refuse(h, hash)
	}
	if owner, ok := c.betterOwner(h, hash); ok {
		return c.passTo(h, owner)
	}
	return c.accept(key, hash, s, now)
}

// accept opens a half-open flow.
func (c *Core) accept(key encap.FlowKey, hash uint64, s *encap.Segment, now time.Time) Decision {
	if len(c.flows) >= MaxFlows || c.halfOpen >= MaxHalfOpen {
		return drop(ReasonTableFull)
	}
	f := &flow{hash: hash, seen: now, callerISN: s.Sequence}
	f.window.start(s)
	c.flows[key] = f
	c.halfOpen++
	return deliver()
}

// refuse passes a new flow from this draining agent to the owner, for the last
// time: an owner with another view must not send it back here.
func (c *Core) refuse(h *encap.Header, hash uint64) Decision {
	c.releaseHash(hash)
	owner, ok := c.tables.owner(hash)
	if !ok || h.HopLimit == 0 || !c.isTarget(owner) || !h.Visit(owner) {
		return drop(ReasonDraining)
	}
	h.HopLimit = 0
	return Decision{Verdict: Pass, To: owner}
}

// betterOwner returns the owner under the own view when it should take a new
// flow in place of this agent. A new flow is passed on once.
func (c *Core) betterOwner(h *encap.Header, hash uint64) (netip.AddrPort, bool) {
	owner, ok := c.tables.owner(hash)
	if !ok || !c.mayVisit(h, owner) {
		return netip.AddrPort{}, false
	}
	// A view without this agent is older than the balancer's.
	once := h.HopLimit == encap.DefaultHopLimit
	return owner, once && c.tables.selfListed
}

func (c *Core) isDraining() bool {
	return c.draining || c.tables.selfDraining
}

// inboundHalfOpen decides about a segment of a flow whose handshake is not
// complete. Only the acknowledgement of our own answer completes it.
func (c *Core) inboundHalfOpen(f *flow, s *encap.Segment, h *encap.Header, now time.Time) Decision {
	if isNewSYN(s, f) {
		f.callerISN = s.Sequence
		f.window.start(s)
		f.superseded = false
		return deliver()
	}
	if f.superseded {
		return c.pass(h, f.hash, now)
	}
	if s.Flags&header.TCPFlagAck == 0 {
		return deliver()
	}
	if f.answered && s.Acknowledgement == f.ownISN+1 {
		c.setPhase(f, established)
		c.register(f, now)
		c.noteInbound(f, s)
		return deliver()
	}
	if s.Sequence-f.callerISN-1 < handshakeWindow {
		f.superseded = true
	}
	return c.pass(h, f.hash, now)
}

// noteInbound follows the end of an established flow.
func (c *Core) noteInbound(f *flow, s *encap.Segment) {
	if s.Flags&header.TCPFlagFin != 0 {
		f.finIn = true
	}
	if s.Flags&header.TCPFlagRst != 0 {
		f.reset = true
	}
	c.updateClosing(f)
}

func (c *Core) updateClosing(f *flow) {
	if f.reset || (f.finIn && f.finOut) {
		c.setPhase(f, closing)
		return
	}
	c.setPhase(f, established)
}

// pass sends a segment of a flow that is not held here to the agent most likely
// to hold it. No agent is visited twice.
func (c *Core) pass(h *encap.Header, hash uint64, now time.Time) Decision {
	if holder, ok := c.registrations.holder(hash, now); ok && c.mayVisit(h, holder) {
		return c.passToHolder(h, holder)
	}
	for i := range h.Len() {
		if candidate := h.Address(i); c.mayVisit(h, candidate) {
			return c.passTo(h, candidate)
		}
	}
	for _, t := range c.tables.recent {
		owner, ok := t.owner(hash)
		if ok && c.mayVisit(h, owner) {
			return c.passTo(h, owner)
		}
	}
	return drop(ReasonNoHolder)
}

// passToHolder passes a segment to the agent that registered its flow here. The
// kind tells the holder when the owner that the balancer named knew the flow.
func (c *Core) passToHolder(h *encap.Header, holder netip.AddrPort) Decision {
	d := c.passTo(h, holder)
	if h.Len() > 0 && h.Address(0) == c.options.Self {
		h.Kind = encap.KindRedirectedPacket
	}
	return d
}

func (c *Core) passTo(h *encap.Header, to netip.AddrPort) Decision {
	h.Kind = encap.KindPacket
	if h.HopLimit == 0 || !h.Visit(to) {
		return drop(ReasonHopLimit)
	}
	h.HopLimit--
	return Decision{Verdict: Pass, To: to}
}

// mayVisit tells whether the segment may be passed to the agent at addr.
func (c *Core) mayVisit(h *encap.Header, addr netip.AddrPort) bool {
	return addr != c.options.Self && !h.Visited(addr) && !c.tables.blocked(addr)
}
