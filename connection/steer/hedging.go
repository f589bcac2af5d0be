package steer

import (
	"bytes"
	"time"

	"bergamotbank/connection/hedge"
	"bergamotbank/connection/passthrough"
	"bergamotbank/version/routes"
)

// hedgeCheckInterval is the least time between two checks for openings that are due for a second
// opening packet. It is shorter than a handshake.
const hedgeCheckInterval = 5 * time.Millisecond

// recordOpening records the first opening packet of a flow. It keeps a copy of the packet if the
// requests of the route may be repeated.
func (r *Router) recordOpening(buffer []byte, flow passthrough.Flow, route *routes.Route, service string, first *entry) {
	o := hedge.Opening{Flow: flow, Service: service, First: first.Agent}
	if route.Idempotent {
		o.Packet = bytes.Clone(buffer)
	}
	r.hedger.Opened(o, r.now)
}

// CheckHedges sends the second opening packets that are due. It is called after each batch of
// callers' packets, since the interval of Tick is longer than a handshake.
func (r *Router) CheckHedges() {
	if r.hedger == nil {
		return
	}
	if now := r.options.Now(); now-r.hedgesCheckedAt >= hedgeCheckInterval {
		r.checkHedges(now)
	}
}

func (r *Router) checkHedges(now time.Duration) {
	if r.hedger == nil || r.version == nil {
		return
	}
	r.now, r.hedgesCheckedAt = now, now
	r.hedger.Due(now, r.sendHedge)
}

// sendHedge sends a second opening packet to another server than the first one and returns its
// agent, or 0 if the active version or the load of the servers does not allow it. The first
// agent gets a copy too, so that it does not reset the flow if it refuses the opening later.
func (r *Router) sendHedge(o *hedge.Opening) passthrough.Endpoint {
	route := r.version.Route(o.Flow.Service.AddrPort())
	if route == nil || !route.Idempotent || !route.HasTarget(o.Service) {
		o.Packet = nil
		return 0
	}
	first := r.byAgent[o.First]
	second := r.choose(o.Service, first, measureFor(route))
	if second == nil || !r.hedgeServer(second).Accepts() {
		return 0
	}
	r.sendFramed(o.Packet, &passthrough.Frame{Kind: passthrough.Duplicate, Tag: uint32(passthrough.ServiceTagOf(o.Service))}, second.Agent)
	r.options.Sender.Send(o.Packet, o.First)
	second.openedSinceReport++
	second.placements.add(r.now)
	r.placed(o.Service, second)
	if r.options.OnHedge != nil && first != nil {
		r.options.OnHedge(o.Flow, &first.Server, &second.Server, o.Age(r.now))
	}
	return second.Agent
}

// hedgeServer returns what the decision on a second opening packet needs to know of a candidate.
func (r *Router) hedgeServer(e *entry) hedge.Server {
	return hedge.Server{
		Ready:        e.Reachable && e.State == Ready,
		OutOfService: r.version.OutDomains[e.Domain],
		Slots:        e.Slots,
		Pending:      r.pending(e),
	}
}

// sendHedgedCopy sends a caller's copy of an opening packet that two agents have to the first of
// them, or to the second if the first has failed. It reports whether the opening is one of these.
func (r *Router) sendHedgedCopy(buffer []byte, flow passthrough.Flow, service string) bool {
	o := r.hedger.Hedged(flow)
	if o == nil {
		return false
	}
	to := o.First
	if e := r.byAgent[to]; e == nil || !e.Reachable || e.State == Down {
		to = o.Second
	}
	r.sendFramed(buffer, &passthrough.Frame{Kind: passthrough.Duplicate, Tag: uint32(passthrough.ServiceTagOf(service))}, to)
	return true
}

// sendHedgedPacket records a caller's packet on an opened flow. If two agents have the opening
// packet and neither has reported that it holds the flow, it sends the packet to the more
// probable holder, which forwards it to the other one if it is not, and returns true.
func (r *Router) sendHedgedPacket(buffer []byte, flow passthrough.Flow) bool {
	now := r.options.Now()
	o := r.hedger.Answered(flow, now)
	if o == nil {
		return false
	}
	holder, other := r.hedger.Holder(o, now)
	if !r.isReachable(holder) && r.isReachable(other) {
		holder, other = other, holder
	}
	r.counters.Known++
	r.sendFramed(buffer, &passthrough.Frame{Kind: passthrough.Deliver, Alternate: other, Tag: uint32(r.owners.Digest())}, holder)
	return true
}

func (r *Router) isReachable(agent passthrough.Endpoint) bool {
	e := r.byAgent[agent]
	return e != nil && e.Reachable
}

// settleHedge records the holder of a flow. The other agent that has the opening packet learns
// that its server does not hold the flow, so that it does not keep a slot for it.
func (r *Router) settleHedge(flow passthrough.Flow, holder passthrough.Endpoint) {
	if r.hedger == nil {
		return
	}
	if loser := r.hedger.Settled(flow, holder); loser != 0 {
		r.options.Sender.Send(passthrough.AppendHolder(nil, passthrough.Cancel, r.options.Self, flow), loser)
	}
}

// SetNotHeld records that an agent has declined a second opening packet.
func (r *Router) SetNotHeld(agent passthrough.Endpoint, flow passthrough.Flow) {
	if r.hedger != nil {
		r.hedger.Declined(flow, agent)
	}
}
