package gate

import (
	"math"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// phase is the state of a flow at the agent.
type phase uint8

const (
	// phaseOpening is a flow whose opening packet went to the server.
	phaseOpening phase = iota
	// phaseOpen is a flow that the caller has confirmed.
	phaseOpen
	// phaseClosed is a flow that has ended; late packets still pass.
	phaseClosed
	// phaseLost is a flow whose server incarnation has ended.
	phaseLost
)

const (
	callerFinished = 1 << iota
	serverFinished
	bothFinished = callerFinished | serverFinished
)

const (
	// openingTimeout is how long a flow may stay unconfirmed; callers give up
	// after 1.4 s.
	openingTimeout = 3 * time.Second
	// closedLinger keeps an ended flow for packets sent again, whose intervals
	// grow to 1.6 s.
	closedLinger = 5 * time.Second
	// lostLinger keeps a lost flow, to answer its caller.
	lostLinger = 10 * time.Second
	// registerAfter is the age at which an open flow is registered; most flows of
	// a single request have ended by then.
	registerAfter = 150 * time.Millisecond
)

// flow is what an agent knows of a flow that its server holds.
type flow struct {
	phase      phase
	finished   uint8
	hops       uint8
	busy       bool
	registered bool
	serverSeq  uint32
	serverEnd  uint32
	answered   bool
	callerAck  uint32
	callerEnd  uint32
	sent       bool
	version    uint64
	origin     passthrough.Endpoint
	alternate  passthrough.Endpoint
	request    requestID
	requested  time.Duration
	opened     time.Duration
	used       time.Duration
}

// answers tells whether a caller's packet confirms the opening by this server. All
// packets of the server pass its agent, so a caller that goes on before the
// server has answered speaks to another one.
func (f *flow) answers(segment *passthrough.Segment) bool {
	return f.answered && segment.Has(passthrough.Acknowledge) && segment.Ack-f.serverSeq < maxWindow
}

// maxWindow is the largest distance between the first sequence number of a server
// and the acknowledgement of a caller's first packets, in bytes.
const maxWindow = 1 << 16

// callerPacket follows a caller's packet of a held flow.
func (g *Gate) callerPacket(key passthrough.Flow, f *flow, segment *passthrough.Segment, now time.Duration) {
	f.used = now
	if segment.Has(passthrough.Acknowledge) {
		f.callerAck = segment.Ack
	}
	if f.phase == phaseOpening {
		f.phase = phaseOpen
		g.open++
		g.young = append(g.young, key)
	}
	if segment.Has(passthrough.Reset) {
		g.close(key, f, now)
		return
	}
	if segment.Has(passthrough.Finish) {
		g.finish(key, f, callerFinished, now)
	}
	if f.phase == phaseOpen && f.hasNewData(segment) && !f.busy {
		f.busy = true
		g.work.open++
		g.counters.Requests++
		f.requested = now
		f.request.set(g.options.Format.RequestID(segment.Payload))
	}
}

// hasNewData tells whether a caller's packet carries data that was not seen before.
// A copy of a request that has been answered is no new request.
func (f *flow) hasNewData(segment *passthrough.Segment) bool {
	if len(segment.Payload) == 0 {
		return false
	}
	end := segment.Seq + uint32(len(segment.Payload))
	if f.sent && int32(end-f.callerEnd) <= 0 {
		return false
	}
	f.sent, f.callerEnd = true, end
	return true
}

// serverPacket follows a server's packet of a held flow.
func (g *Gate) serverPacket(key passthrough.Flow, f *flow, segment *passthrough.Segment, now time.Duration) {
	f.used = now
	if segment.Has(passthrough.Open | passthrough.Acknowledge) {
		if !f.answered {
			g.options.Observer.Confirmed(key, now-f.opened)
		}
		f.serverSeq, f.serverEnd, f.answered = segment.Seq, segment.Seq+1, true
	}
	if f.busy {
		g.judge(f, segment, now)
	}
	if end := segment.Seq + uint32(len(segment.Payload)); int32(end-f.serverEnd) > 0 {
		f.serverEnd = end
	}
	if len(segment.Payload) > 0 && f.busy {
		g.options.Observer.Answered(key, g.exchange(f, now))
		g.idle(f)
	}
	if segment.Has(passthrough.Reset) {
		g.close(key, f, now)
	} else if segment.Has(passthrough.Finish) {
		g.finish(key, f, serverFinished, now)
	}
}

// judge takes the outcome of an open request from a server's packet: an answer, or
// the end of the flow without one, unless the caller gave up first.
func (g *Gate) judge(f *flow, segment *passthrough.Segment, now time.Duration) {
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

// endedBy tells whether a server's packet ends the flow with nothing before it that
// is still on its way: the end of a flow may overtake the answer.
func (f *flow) endedBy(segment *passthrough.Segment) bool {
	if segment.Has(passthrough.Reset) {
		return true
	}
	return segment.Has(passthrough.Finish) && f.answered && segment.Seq == f.serverEnd
}

// finish notes that one end has no more data.
func (g *Gate) finish(key passthrough.Flow, f *flow, end uint8, now time.Duration) {
	f.finished |= end
	if f.finished == bothFinished {
		g.close(key, f, now)
	}
}

func (g *Gate) idle(f *flow) {
	if f.busy {
		f.busy = false
		g.work.open--
	}
}

// close ends a flow; a request that is still open stays without an answer.
func (g *Gate) close(key passthrough.Flow, f *flow, now time.Duration) {
	if f.busy {
		g.options.Observer.Unanswered(key, g.exchange(f, now))
	}
	g.idle(f)
	if f.phase == phaseOpen {
		g.open--
	}
	if f.phase != phaseLost {
		f.phase = phaseClosed
	}
}

// ExpireFlows forgets flows that are over. It is for calls a second apart.
func (g *Gate) ExpireFlows(now time.Duration) {
	for key, f := range g.flows {
		if now-f.used < f.keep(g.options.FlowLifetime) {
			continue
		}
		g.close(key, f, now)
		delete(g.flows, key)
	}
}

// keep returns how long the flow is kept after its last packet; open ones for the
// lifetime of a flow.
func (f *flow) keep(lifetime time.Duration) time.Duration {
	switch f.phase {
	case phaseOpening:
		return openingTimeout
	case phaseClosed:
		return closedLinger
	case phaseLost:
		return lostLinger
	case phaseOpen:
	}
	return lifetime
}

// workMeter averages the number of open requests.
type workMeter struct {
	open int
	mean float64
	last time.Duration
}

// workWindow is the time constant of the mean; long enough for the pauses of long
// flows, short enough to follow a change of load.
const workWindow = 1500 * time.Millisecond

func (w *workMeter) update(now time.Duration) {
	weight := 1 - math.Exp(-float64(now-w.last)/float64(workWindow))
	w.mean += (float64(w.open) - w.mean) * weight
	w.last = now
}

// MeanOpenRequests returns the mean number of open requests.
func (g *Gate) MeanOpenRequests() float64 { return g.work.mean }

// OpenRequests returns the number of open requests.
func (g *Gate) OpenRequests() int { return g.work.open }

// Flows returns the number of open flows.
func (g *Gate) Flows() int { return g.open }
