package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// Exchange is a request on a flow and its outcome, as seen in packets.
type Exchange struct {
	// RequestID identifies the request; empty if the packet did not contain the
	// identifier. It is valid only during the call.
	RequestID []byte
	// Wait is the time from the first packet of the request to the first packet of
	// the response, or to the end of the flow.
	Wait time.Duration
	// OpenRequests is the number of open requests at the server.
	OpenRequests int
}

// QueueOutcome is what happened to an opening packet of a route with a latency target.
type QueueOutcome uint8

// The outcomes.
const (
	// Waiting is an opening packet that waits for room at the server.
	Waiting QueueOutcome = iota
	// Forwarded is one that was sent to the server after it had waited.
	Forwarded
	// PassedOn is one that was forwarded to another agent.
	PassedOn
	// Refused is one that cannot be forwarded before its caller gives up, or may no longer be
	// sent to the server.
	Refused
	// Expired is one whose caller has given up.
	Expired
	// Withdrawn is one whose caller has reset the flow or opened it elsewhere.
	Withdrawn
)

// String returns the name of the outcome in logs.
func (o QueueOutcome) String() string {
	return [...]string{"waiting", "forwarded", "passed_on", "refused", "expired", "withdrawn"}[o]
}

// QueueEvent is a decision of the admission queue.
type QueueEvent struct {
	Outcome QueueOutcome
	// Waited is the time in the queue.
	Waited time.Duration
	// Expected is the expected wait and Ahead the number of entries ahead, on arrival.
	Expected time.Duration
	Ahead    int
	// Priority is the priority of the route.
	Priority uint8
	// Late is true if the response is not expected within the latency target.
	Late bool
}

// Observer is notified of decisions and outcomes. Its methods must not block.
type Observer interface {
	// Opened reports an opening packet that was sent to the server.
	Opened(flow passthrough.Flow, frame passthrough.Frame)
	// Confirmed reports the server's response to an opening packet.
	Confirmed(flow passthrough.Flow, wait time.Duration)
	// Refused reports a refused opening packet. passedTo is the agent to which it is
	// forwarded, 0 for none.
	Refused(flow passthrough.Flow, kind errkind.Kind, frame passthrough.Frame, passedTo passthrough.Endpoint)
	// Queued reports a decision of the admission queue. Decisions to send a packet to the
	// server without a wait are reported by Opened alone.
	Queued(flow passthrough.Flow, event QueueEvent)
	// Reset reports a flow that was reset at its caller.
	Reset(flow passthrough.Flow, kind errkind.Kind)
	// PassedOn reports a packet of an unknown flow that was forwarded to another
	// agent; kind is the kind of datagram that carries it.
	PassedOn(flow passthrough.Flow, kind passthrough.Kind, to passthrough.Endpoint)
	// Searched reports a search for the holder of a flow and the number of agents
	// queried.
	Searched(flow passthrough.Flow, queried int)
	// Adopted reports a flow that was learned from a packet of the server.
	Adopted(flow passthrough.Flow)
	// CheckpointReset reports the number of flows in a restored checkpoint whose
	// server has terminated.
	CheckpointReset(flows int)
	// Answered reports a request whose response has begun.
	Answered(flow passthrough.Flow, exchange Exchange)
	// Unanswered reports a request whose flow ended before a response.
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

// Queued does nothing.
func (NopObserver) Queued(passthrough.Flow, QueueEvent) {}

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

// maxRequestID is the length in bytes to which request identifiers are truncated.
const maxRequestID = 40

// requestID is a request identifier in a fixed-size buffer, which avoids an
// allocation per request.
type requestID struct {
	b [maxRequestID]byte
	n uint8
}

func (r *requestID) set(id []byte) { r.n = uint8(copy(r.b[:], id)) }

func (r *requestID) bytes() []byte { return r.b[:r.n] }

func (g *Gate) exchange(f *flow, now time.Duration) Exchange {
	return Exchange{RequestID: f.request.bytes(), Wait: now - f.requestedAt, OpenRequests: g.requests.open}
}
