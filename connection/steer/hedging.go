package steer

import (
	"bytes"
	"time"

	"bergamotbank/connection/hedge"
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// hedgeCheckInterval is the least time between two checks for openings that are due for a second
// opening packet. It is shorter than a handshake.
const hedgeCheckInterval = 5 * time.Millisecond

// recordOpening records an opening packet that is sent to an agent, and reports whether another
// one may be sent to a second agent. It keeps a copy of the first packet of a flow if the requests
// of the route may be repeated.
func (r *Router) recordOpening(buffer []byte, segment *passthrough.Segment, route *routes.Route, service string, agent passthrough.Endpoint) bool {
	flow := segment.FromCaller()
	if segment.Ack > 0 {
		r.hedger.Moved(flow, agent)
		return r.hedger.Copied(flow, segment.Ack)
	}
	o := hedge.Opening{Flow: flow, Service: service, First: agent}
	if route.Idempotent {
		o.Packet = bytes.Clone(buffer)
	}
	return r.hedger.Opened(o, r.now)
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
// agent, or 0 if the active version or the load of the servers does not allow it.
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

// SetNotHeld records that an agent has refused or declined a copy of an opening packet that may be
// sent to two agents. The flow is reset if no other agent has the packet.
func (r *Router) SetNotHeld(agent passthrough.Endpoint, flow passthrough.Flow, number uint32) {
	if r.hedger == nil {
		return
	}
	if r.hedger.Refused(flow, agent, number) {
		r.reset(flow, number, errkind.BackendUnavailable)
		r.holders.Delete(flow)
	}
}
