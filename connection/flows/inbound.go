package flows

import (
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// Inbound decides what to do with a segment received from a balancer or another
// agent. If the segment is to be forwarded, the header is updated.
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
		return c.inboundUnknownFlow(key, s, h, now)
	}
	f.lastSeen = now
	if f.phase == halfOpen {
		return c.inboundHalfOpen(f, s, h, now)
	}
	if f.window.observe(s) {
		return drop(ReasonStaleAcknowledgement)
	}
	c.trackInboundClose(f, s)
	c.learnOwner(f, h, now)
	return deliver()
}

// InboundReply decides what to do with a segment received from the fabric, which
// belongs to an outgoing connection of this agent.
func (c *Core) InboundReply(s *encap.Segment) Decision {
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

// inboundUnknownFlow decides what to do with a segment of a flow that is not in
// the flow table.
func (c *Core) inboundUnknownFlow(key encap.FlowKey, s *encap.Segment, h *encap.Header, now time.Time) Decision {
	hash := key.Hash()
	if !isSYN(s) {
		return c.forward(h, hash, now)
	}
	if holder, ok := c.registrations.lookup(hash, now); ok && h.HopLimit > 0 && c.canForwardTo(h, holder) {
		return c.forwardToHolder(h, holder)
	}
	if c.isDraining() {
		return c.forwardWhileDraining(h, hash)
	}
	if owner, ok := c.preferredOwner(h, hash); ok {
		return c.forwardTo(h, owner)
	}
	return c.accept(key, hash, s, now)
}

// accept adds a half-open flow to the flow table.
func (c *Core) accept(key encap.FlowKey, hash uint64, s *encap.Segment, now time.Time) Decision {
	if len(c.flows) >= MaxFlows || c.halfOpen >= MaxHalfOpen {
		return drop(ReasonTableFull)
	}
	f := &flow{hash: hash, lastSeen: now, callerISN: s.Sequence}
	f.window.handleSYN(s)
	c.flows[key] = f
	c.halfOpen++
	return deliver()
}

// forwardWhileDraining forwards the SYN of a new flow from this draining agent to
// the owner. It sets the hop limit to 0, so that an owner with another view does
// not send the SYN back.
func (c *Core) forwardWhileDraining(h *encap.Header, hash uint64) Decision {
	c.releaseHash(hash)
	owner, ok := c.view.owner(hash)
	if !ok || h.HopLimit == 0 || !c.isAvailablePeer(owner) || !h.Visit(owner) {
		return drop(ReasonDraining)
	}
	h.HopLimit = 0
	return Decision{Verdict: Forward, To: owner}
}

// preferredOwner returns the owner in this agent's view if it should accept a new
// flow instead of this agent. The SYN of a new flow is forwarded only once.
func (c *Core) preferredOwner(h *encap.Header, hash uint64) (netip.AddrPort, bool) {
	owner, ok := c.view.owner(hash)
	if !ok || !c.canForwardTo(h, owner) {
		return netip.AddrPort{}, false
	}
	notForwarded := h.HopLimit == encap.DefaultHopLimit
	// A view without this agent is older than the balancer's.
	return owner, notForwarded && c.view.selfListed
}

func (c *Core) isDraining() bool {
	return c.draining || c.view.selfDraining
}

// inboundHalfOpen decides what to do with a segment of a flow whose handshake is
// not complete. Only an acknowledgement of this agent's SYN-ACK completes it.
func (c *Core) inboundHalfOpen(f *flow, s *encap.Segment, h *encap.Header, now time.Time) Decision {
	if isNewSYN(s, f) {
		f.callerISN = s.Sequence
		f.window.handleSYN(s)
		f.superseded = false
		return deliver()
	}
	if f.superseded {
		return c.forward(h, f.hash, now)
	}
	if s.Flags&header.TCPFlagAck == 0 {
		return deliver()
	}
	if f.synAckSent && s.Acknowledgement == f.localISN+1 {
		c.setPhase(f, established)
		c.register(f, now)
		c.trackInboundClose(f, s)
		return deliver()
	}
	if s.Sequence-f.callerISN-1 < handshakeWindowBytes {
		f.superseded = true
	}
	return c.forward(h, f.hash, now)
}

// trackInboundClose updates the close state of a flow after its handshake.
func (c *Core) trackInboundClose(f *flow, s *encap.Segment) {
	if s.Flags&header.TCPFlagFin != 0 {
		f.finReceived = true
	}
	if s.Flags&header.TCPFlagRst != 0 {
		f.resetReceived = true
	}
	c.updatePhase(f)
}

func (c *Core) updatePhase(f *flow) {
	if f.resetReceived || (f.finReceived && f.finSent) {
		c.setPhase(f, closing)
		return
	}
	c.setPhase(f, established)
}

// forward forwards a segment to the agent most likely to hold its flow: the one
// that registered it, a candidate of the balancer or an owner in a recent table. No
// agent receives a segment twice.
func (c *Core) forward(h *encap.Header, hash uint64, now time.Time) Decision {
	if holder, ok := c.registrations.lookup(hash, now); ok && c.canForwardTo(h, holder) {
		return c.forwardToHolder(h, holder)
	}
	for i := range h.Len() {
		if candidate := h.Address(i); c.canForwardTo(h, candidate) {
			return c.forwardTo(h, candidate)
		}
	}
	for _, t := range c.view.recent {
		owner, ok := t.owner(hash)
		if ok && c.canForwardTo(h, owner) {
			return c.forwardTo(h, owner)
		}
	}
	return drop(ReasonNoHolder)
}

// forwardToHolder forwards a segment to the agent that registered its flow with
// this one. If this agent is the owner that the balancer named, the kind tells the
// holder that this owner has its registration.
func (c *Core) forwardToHolder(h *encap.Header, holder netip.AddrPort) Decision {
	d := c.forwardTo(h, holder)
	if h.Len() > 0 && h.Address(0) == c.options.Self {
		h.Kind = encap.KindRedirectedPacket
	}
	return d
}

func (c *Core) forwardTo(h *encap.Header, to netip.AddrPort) Decision {
	h.Kind = encap.KindPacket
	if h.HopLimit == 0 || !h.Visit(to) {
		return drop(ReasonHopLimit)
	}
	h.HopLimit--
	return Decision{Verdict: Forward, To: to}
}

// canForwardTo reports whether a segment may be forwarded to the agent at addr.
func (c *Core) canForwardTo(h *encap.Header, addr netip.AddrPort) bool {
	return addr != c.options.Self && !h.Visited(addr) && !c.view.outOfService(addr)
}
