package gate

import (
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

// phase is the state of a flow at the agent.
type phase uint8

const (
	// phaseOpening is a flow whose opening packet was sent to the server.
	phaseOpening phase = iota
	// phaseOpen is a flow that the caller has confirmed.
	phaseOpen
	// phaseClosed is a flow that has ended; late packets are still forwarded.
	phaseClosed
	// phaseAborted is a flow whose server incarnation has terminated; its packets
	// are answered with a reset.
	phaseAborted
)

const (
	callerFinished = 1 << iota
	serverFinished
	bothFinished = callerFinished | serverFinished
)

const (
	// openingTimeout is how long a flow may stay unconfirmed. Callers time out
	// after 1.4 s.
	openingTimeout = 3 * time.Second
	// closedLinger is how long a closed flow is kept for retransmissions, whose
	// intervals grow to 1.6 s.
	closedLinger = 5 * time.Second
	// abortedLinger is how long an aborted flow is kept, to reset it again if its
	// caller sends another packet.
	abortedLinger = 10 * time.Second
	// registerAfter is the age at which an open flow is registered. Most flows
	// that carry a single request have ended by then.
	registerAfter = 150 * time.Millisecond
)

// flow is the state of a flow that the agent's server holds.
type flow struct {
	phase       phase
	finished    uint8
	hops        uint8
	requestOpen bool
	// reserved is true if a slot is reserved for the first request.
	reserved      bool
	registered    bool
	serverISN     uint32
	serverNextSeq uint32
	accepted      bool
	// hedgeable is true if another agent may have the opening packet too.
	hedgeable      bool
	callerAck      uint32
	callerNextSeq  uint32
	callerSentData bool
	version        routes.WireRevision
	service        passthrough.ServiceTag
	// owners are the agents with which the flow was registered.
	owners [2]passthrough.Endpoint
	// informed is the balancer that was last told that this agent holds the flow.
	informed    passthrough.Endpoint
	origin      passthrough.Endpoint
	alternate   passthrough.Endpoint
	request     requestID
	requestedAt time.Duration
	openedAt    time.Duration
	lastUsed    time.Duration
}

// confirms reports whether a caller's packet confirms the opening by this
// server. All packets of the server pass its agent, so a caller that continues
// before this server has responded is using another server.
//
// Two servers that were sent an opening packet at the same time may have chosen numbers that are
// close to each other. A caller acknowledges no more than the server has sent.
func (f *flow) confirms(segment *passthrough.Segment) bool {
	if f.hedgeable && segment.Ack-f.serverISN-1 >= f.serverNextSeq-f.serverISN {
		return false
	}
	return f.accepted && segment.Has(passthrough.Acknowledge) && segment.Ack-f.serverISN < maxWindow
}

// maxWindow is the largest distance between the first sequence number of a server
// and the acknowledgement of a caller's first packets, in bytes.
const maxWindow = 1 << 16

// trackCallerPacket updates the state of a flow from a caller's packet.
func (g *Gate) trackCallerPacket(key passthrough.Flow, f *flow, segment *passthrough.Segment, now time.Duration) {
	f.lastUsed = now
	if segment.Has(passthrough.Acknowledge) {
		f.callerAck = segment.Ack
	}
	if f.phase == phaseOpening {
		f.phase = phaseOpen
		g.openFlows++
		g.unregistered = append(g.unregistered, key)
	}
	if segment.Has(passthrough.Reset) {
		g.close(key, f, now)
		return
	}
	if segment.Has(passthrough.Finish) {
		g.finish(key, f, callerFinished, now)
	}
	if f.phase == phaseOpen && f.hasNewData(segment) && !f.requestOpen {
		if f.reserved {
			f.reserved = false
			g.backlog.Started(key, f.openedAt, now)
		}
		f.requestOpen = true
		g.requests.open++
		g.observeBusySlots(now)
		g.counters.Requests++
		f.requestedAt = now
		f.request.set(g.options.Format.RequestID(segment.Payload))
	}
}

// hasNewData reports whether a caller's packet carries data that was not seen
// before. A retransmission of an answered request is not a new request.
func (f *flow) hasNewData(segment *passthrough.Segment) bool {
	if len(segment.Payload) == 0 {
		return false
	}
	end := segment.Seq + uint32(len(segment.Payload))
	if f.callerSentData && int32(end-f.callerNextSeq) <= 0 {
		return false
	}
	f.callerSentData, f.callerNextSeq = true, end
	return true
}

// trackServerPacket updates the state of a flow from a server's packet.
func (g *Gate) trackServerPacket(key passthrough.Flow, f *flow, segment *passthrough.Segment, now time.Duration) {
	f.lastUsed = now
	if segment.Has(passthrough.Open | passthrough.Acknowledge) {
		if !f.accepted {
			g.options.Observer.Confirmed(key, now-f.openedAt)
		}
		f.serverISN, f.serverNextSeq, f.accepted = segment.Seq, segment.Seq+1, true
	}
	if f.requestOpen {
		g.recordOutcome(f, segment, now)
	}
	if end := segment.Seq + uint32(len(segment.Payload)); int32(end-f.serverNextSeq) > 0 {
		f.serverNextSeq = end
	}
	if len(segment.Payload) > 0 && f.requestOpen {
		g.options.Observer.Answered(key, g.exchange(f, now))
		g.serviceTime.Complete(now)
		g.endRequest(f, now)
	}
	if segment.Has(passthrough.Reset) {
		g.close(key, f, now)
	} else if segment.Has(passthrough.Finish) {
		g.finish(key, f, serverFinished, now)
	}
}

// recordOutcome records the outcome of an open request from a server's packet: a
// response, or the end of the flow without one unless the caller ended it first.
func (g *Gate) recordOutcome(f *flow, segment *passthrough.Segment, now time.Duration) {
	ended := f.endedBy(segment) && f.finished&callerFinished == 0
	answered := len(segment.Payload) > 0
	if !answered && !ended {
		return
	}
	failed := !answered || g.options.Format.Failed(segment.Payload)
	if failed {
		g.counters.Failures++
	}
	if g.server.State == steer.Ready {
		g.health.record(failed, now)
	}
}

// endedBy reports whether a server's packet ends the flow and all earlier data
// of the server has been seen. After reordering, the end of a flow may arrive
// before the response.
func (f *flow) endedBy(segment *passthrough.Segment) bool {
	if segment.Has(passthrough.Reset) {
		return true
	}
	return segment.Has(passthrough.Finish) && f.accepted && segment.Seq == f.serverNextSeq
}

// finish records that one end has no more data to send.
func (g *Gate) finish(key passthrough.Flow, f *flow, end uint8, now time.Duration) {
	f.finished |= end
	if f.finished == bothFinished {
		g.close(key, f, now)
	}
}

func (g *Gate) endRequest(f *flow, now time.Duration) {
	if f.requestOpen {
		f.requestOpen = false
		g.requests.open--
		g.observeBusySlots(now)
	}
}

// observeBusySlots passes the number of busy slots to the estimate of the service time.
func (g *Gate) observeBusySlots(now time.Duration) {
	g.serviceTime.Observe(min(g.requests.open, max(g.server.Slots, defaultSlots)), now)
}

// ServiceTime returns the mean time that the server works on a request, and false if it is not
// known.
func (g *Gate) ServiceTime() (time.Duration, bool) { return g.serviceTime.Mean() }

// close ends a flow. A request that is still open is reported as unanswered.
func (g *Gate) close(key passthrough.Flow, f *flow, now time.Duration) {
	if f.requestOpen {
		g.options.Observer.Unanswered(key, g.exchange(f, now))
	}
	g.endRequest(f, now)
	g.release(key, f)
	if f.phase == phaseOpen {
		g.openFlows--
	}
	if f.phase != phaseAborted {
		f.phase = phaseClosed
	}
}

// ExpireFlows removes flows whose retention time has passed. It scans all flows
// and is meant to be called about once per second.
func (g *Gate) ExpireFlows(now time.Duration) {
	g.expireRestored(now)
	for key, f := range g.flows {
		if now-f.lastUsed < f.retention(g.options.FlowLifetime) {
			continue
		}
		g.close(key, f, now)
		delete(g.flows, key)
	}
}

// retention returns how long the flow is kept after its last packet. Open flows
// are kept for the given lifetime.
func (f *flow) retention(lifetime time.Duration) time.Duration {
	switch f.phase {
	case phaseOpening:
		return openingTimeout
	case phaseClosed:
		return closedLinger
	case phaseAborted:
		return abortedLinger
	case phaseOpen:
	}
	return lifetime
}

// requestMeter computes a moving average of the number of open requests.
type requestMeter struct {
	open      int
	mean      float64
	updatedAt time.Duration
}

// requestWindow is the time constant of the mean. It is long enough to cover the
// pauses in long-lived flows and short enough to follow a change in load.
const requestWindow = 1500 * time.Millisecond

func (m *requestMeter) update(now time.Duration) {
	weight := 1 - math.Exp(-float64(now-m.updatedAt)/float64(requestWindow))
	m.mean += (float64(m.open) - m.mean) * weight
	m.updatedAt = now
}

// MeanOpenRequests returns the mean number of open requests.
func (g *Gate) MeanOpenRequests() float64 { return g.requests.mean }

// OpenRequests returns the number of open requests.
func (g *Gate) OpenRequests() int { return g.requests.open }

// Flows returns the number of open flows.
func (g *Gate) Flows() int { return g.openFlows }
