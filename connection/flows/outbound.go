package flows

import (
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// Outbound decides about a segment that the local TCP endpoint sends.
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
	f.seen = now
	c.noteOutbound(f, s)
	return deliver()
}

// outboundCall decides about a segment of a call of this agent.
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
		f.answered = true
		f.ownISN = s.Sequence
	}
	return deliver()
}

// noteOutbound follows the end of an established flow. A segment other than a
// reset shows that the endpoint did not accept the caller's reset.
func (c *Core) noteOutbound(f *flow, s *encap.Segment) {
	if s.Flags&header.TCPFlagFin != 0 {
		f.finOut = true
	}
	if s.Flags&header.TCPFlagRst != 0 {
		f.finIn = true
		f.finOut = true
	}
	f.reset = false
	c.updateClosing(f)
}
