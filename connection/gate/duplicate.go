package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// handleDuplicate handles a copy of an opening packet that another agent has too. If this agent
// has not seen the flow, its server gets the packet only if it has a free slot; otherwise the
// balancer learns that the server has not opened the flow. Nothing is sent to the caller.
func (g *Gate) handleDuplicate(d *delivery, now time.Duration) {
	g.counters.Duplicates++
	if !d.segment.IsOpening() {
		g.counters.Malformed++
		return
	}
	if f := g.flows[d.flow]; f != nil && f.phase != phaseAborted {
		if f.phase == phaseOpening {
			f.duplicated, f.lastUsed = true, now
			g.reserve(d.flow, f, now)
			g.sendToServer(d.packet)
		}
		return
	}
	if g.backlog.MarkDuplicated(d.flow) {
		return
	}
	// If the server has terminated since the first copy, the other one may hold the flow.
	delete(g.flows, d.flow)
	if _, ok := g.check(d, now); !ok || !g.takesDuplicate(d, now) {
		g.counters.DuplicatesDeclined++
		g.notifyBalancer(passthrough.NotHeld, d.frame.Origin, d.flow)
		return
	}
	g.open(d, now)
}

// hasSecondAgent reports whether the frame of a packet of a flow names another agent that may
// hold the flow, since the balancer has sent the opening packet to both.
func (d *delivery) hasSecondAgent() bool {
	return d.frame.Kind == passthrough.Deliver && d.frame.Alternate != 0
}

// takesDuplicate reports whether the server has a free slot and neither starts nor fails, and
// requests of the route may be repeated.
func (g *Gate) takesDuplicate(d *delivery, now time.Duration) bool {
	if route := g.version.Route(d.flow.Service.AddrPort()); route != nil && !route.Idempotent {
		return false
	}
	return g.server.State == steer.Ready && now >= g.server.ColdUntil && !g.Failing() && g.backlog.HasFreeSlot(g.load(now), now)
}

// HandleCancel processes a datagram of kind Cancel: another agent holds the flow. The opening
// packet stops waiting, and the slot reserved for the flow becomes free. The flow itself is
// kept, so that nothing is lost if the datagram is wrong.
func (g *Gate) HandleCancel(datagram []byte, now time.Duration) {
	_, flow, err := passthrough.ParseHolder(datagram)
	if err != nil {
		g.counters.Malformed++
		return
	}
	g.lastEvent = now
	g.withdraw(flow, now)
	if f := g.flows[flow]; f != nil && f.phase == phaseOpening {
		g.release(flow, f)
	}
	g.forwardQueued(now)
}
