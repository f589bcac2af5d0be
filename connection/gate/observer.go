package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// Exchange is a request on a flow, as far as it can be told from packets.
type Exchange struct {
	// RequestID identifies the request; empty when the packet did not show it. It is
	// valid during the call.
	RequestID []byte
	// Wait is the time from its first packet to the first one of the answer, or to
	// the end of the flow.
	Wait time.Duration
	// OpenRequests is the number of open requests at the server.
	OpenRequests int
}

// Observer is told of decisions and outcomes. Its methods must not block.
type Observer interface {
	// Opened reports an opening packet that went to the server.
	Opened(flow passthrough.Flow, frame passthrough.Frame)
	// Confirmed reports the server's answer to an opening packet.
	Confirmed(flow passthrough.Flow, wait time.Duration)
	// Refused reports an opening packet that was turned away; passedTo is the agent
	// that gets it, 0 for none.
	Refused(flow passthrough.Flow, kind errkind.Kind, frame passthrough.Frame, passedTo passthrough.Endpoint)
	// Reset reports a flow that was reset at its caller.
	Reset(flow passthrough.Flow, kind errkind.Kind)
	// PassedOn reports a packet of a flow that is not held here; kind tells by what
	// the next agent was chosen.
	PassedOn(flow passthrough.Flow, kind passthrough.Kind, to passthrough.Endpoint)
	// Searched reports a flow whose holder is asked for at all agents.
	Searched(flow passthrough.Flow, asked int)
	// Adopted reports a flow that the server turned out to hold.
	Adopted(flow passthrough.Flow)
	// CheckpointReset reports flows of a checkpoint whose server has ended.
	CheckpointReset(flows int)
	// Answered reports a request whose answer has begun.
	Answered(flow passthrough.Flow, exchange Exchange)
	// Unanswered reports a request whose flow ended first.
	Unanswered(flow passthrough.Flow, exchange Exchange)
}

// NopObserver is an Observer that does nothing.
type NopObserver struct{}

// Opened does nothing.
func (NopObserver) Opened(passthrough.Flow, passthrough.Frame) {}

// Confirmed does nothing.
func (NopObserver) Confirmed(passthrough.Flow, time.Duration) {}

// Refused does nothing.
func (NopObserver) Refused(passthrough.Flow, errkind.Kind, passthrough.Frame, passthrough.Endpoint) {}

// Reset does nothing.
func (NopObserver) Reset(passthrough.Flow, errkind.Kind) {}

// PassedOn does nothing.
func (NopObserver) PassedOn(passthrough.Flow, passthrough.Kind, passthrough.Endpoint) {}

// Searched does nothing.
func (NopObserver) Searched(passthrough.Flow, int) {}

// Adopted does nothing.
func (NopObserver) Adopted(passthrough.Flow) {}

// CheckpointReset does nothing.
func (NopObserver) CheckpointReset(int) {}

// Answered does nothing.
func (NopObserver) Answered(passthrough.Flow, Exchange) {}

// Unanswered does nothing.
func (NopObserver) Unanswered(passthrough.Flow, Exchange) {}

// maxRequestID is the length to which identifiers of requests are kept.
const maxRequestID = 40

// requestID is an identifier in a fixed place, so that a request allocates nothing.
type requestID struct {
	b [maxRequestID]byte
	n uint8
}

func (r *requestID) set(id []byte) { r.n = uint8(copy(r.b[:], id)) }

func (r *requestID) bytes() []byte { return r.b[:r.n] }

func (g *Gate) exchange(f *flow, now time.Duration) Exchange {
	return Exchange{RequestID: f.request.bytes(), Wait: now - f.requested, OpenRequests: g.work.open}
}
