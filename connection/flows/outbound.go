package flows

import (
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// Outbound decides what to do with a segment that the local TCP endpoint sends.
func (c *Core) Outbound(s *encap.Segment, now time.Time) Decision {
	if c.suspended {
		return drop(ReasonSuspended)
	}
	if s.Source != c.service {
		return c.outboundCall(s)
	}
	f := c.flows[s.FlowKeyToCaller()]
	if f == nil {
		return drop(ReasonUnknownFlow)
	}
	if f.phase == halfOpen {
		return c.outboundHalfOpen(f, s)
	}
	f.lastSeen = now
	c.trackOutboundClose(f, s)
	return deliver()
}

// outboundCall decides what to do with a segment of an outgoing connection of
// this agent.
func (c *Core) outboundCall(s *encap.Segment) Decision {
	if s.Source.Addr() != c.options.Source {
		return drop(ReasonUnknownFlow)
	}
	return deliver()
}

func (c *Core) outboundHalfOpen(f *flow, s *encap.Segment) Decision {
	if s.Flags&header.TCPFlagRst != 0 {
		return drop(ReasonForeignReset)
	}
	if f.superseded {
		return drop(ReasonSuperseded)
	}
	if s.Flags&header.TCPFlagSyn != 0 {
		f.synAckSent = true
		f.localISN = s.Sequence
	}
	return deliver()
}

// trackOutboundClose updates the close state of a flow after its handshake. Any
// segment of the TCP endpoint other than a reset shows that it rejected the
// caller's reset.
func (c *Core) trackOutboundClose(f *flow, s *encap.Segment) {
	if s.Flags&header.TCPFlagFin != 0 {
		f.finSent = true
	}
	if s.Flags&header.TCPFlagRst != 0 {
		f.finReceived = true
		f.finSent = true
	}
	f.resetReceived = false
	c.updatePhase(f)
}
