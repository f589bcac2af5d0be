package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// handleDuplicate handles an opening packet that another agent was sent before. The server gets
// it only if it has a free slot; otherwise the balancer learns that the server has not opened the
// flow. Nothing is sent to the caller.
func (g *Gate) handleDuplicate(d *delivery, now time.Duration) {
	g.counters.Duplicates++
	if !d.segment.IsOpening() {
		g.counters.Malformed++
		return
	}
	if f := g.flows[d.flow]; (f != nil && f.phase != phaseAborted) || g.backlog.Contains(d.flow) {
		// The first agent has forwarded the packet here.
		return
	}
	if _, ok := g.check(d, now); !ok || !g.takesDuplicate(d, now) {
		g.counters.DuplicatesDeclined++
		g.notifyRefused(d.frame.Origin, d.flow, d.segment.Ack)
		return
	}
	g.open(d, now)
}

// notifyRefused informs a balancer that this agent has refused a copy of an opening packet.
func (g *Gate) notifyRefused(balancer passthrough.Endpoint, flow passthrough.Flow, number uint32) {
	if balancer != 0 {
		g.options.Sender.Send(passthrough.AppendRefusal(nil, g.options.Self, flow, number), balancer)
	}
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
