package steer

import (
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// HandlePacket processes a packet of a caller, in a buffer with FrameSize free
// bytes in front of it.
func (r *Router) HandlePacket(buffer []byte) {
	r.counters.Packets++
	segment := &r.segment
	if err := r.options.Format.Decode(buffer[passthrough.FrameSize:], segment); err != nil {
		r.counters.Malformed++
		return
	}
	if r.version == nil {
		r.counters.Dropped++
		return
	}
	if segment.IsOpening() {
		r.handleOpening(buffer, segment)
		return
	}
	if segment.Has(passthrough.Open) {
		r.counters.Malformed++
		return
	}
	if segment.Has(passthrough.Reset) {
		r.handleReset(buffer, segment)
		return
	}
	r.handleFlowPacket(buffer, segment)
}

// handleOpening selects a server for an opening packet. A retransmission goes to
// the same agent as long as that agent is reachable and its server runs.
func (r *Router) handleOpening(buffer []byte, segment *passthrough.Segment) {
	if r.options.Now != nil {
		r.now = r.options.Now()
	}
	flow := segment.FromCaller()
	route := r.version.Route(flow.Service.AddrPort())
	if route == nil {
		r.counters.NoRoute++
		r.reset(flow, segment.Ack, errkind.NotFound)
		return
	}
	service, measure := route.Pick(flow.Hash()), r.observed(measureFor(route))
	if h, ok := r.holders.Get(flow); ok {
		if e := r.byAgent[h.agent]; e != nil && e.Reachable && e.State != Down {
			hedgeable := r.hedger != nil && r.hedger.Copied(flow, segment.Ack)
			r.sendOpening(buffer, service, e, measure, hedgeable)
			return
		}
	}
	chosen := r.choose(service, nil, measure)
	if chosen == nil {
		r.counters.NoServer++
		if segment.IsLastRetransmission() {
			r.reset(flow, segment.Ack, errkind.BackendUnavailable)
		}
		// Otherwise a server may be available again for the next retransmission.
		return
	}
	r.counters.Opens++
	if r.options.OnPlacement != nil {
		r.options.OnPlacement(flow, &chosen.Server, r.expectedCompletion(chosen, route))
	}
	chosen.openedSinceReport++
	chosen.placements.add(r.now)
	r.holders.Put(flow, holder{agent: chosen.Agent})
	hedgeable := r.hedger != nil && r.recordOpening(buffer, segment, route, service, chosen.Agent)
	r.sendOpening(buffer, service, chosen, measure, hedgeable)
	r.placed(service, chosen)
}

// sendOpening sends an opening packet to an agent, with the service that was selected for the
// flow and the agent to which this one forwards the flow if it refuses it.
func (r *Router) sendOpening(buffer []byte, service string, to *entry, m measure, hedgeable bool) {
	frame := passthrough.Frame{Kind: passthrough.Deliver, Tag: uint32(passthrough.ServiceTagOf(service))}
	if e := r.choose(service, to, m); e != nil {
		frame.Alternate = e.Agent
	}
	if hedgeable {
		frame.Incarnation = 1
	}
	r.sendFramed(buffer, &frame, to.Agent)
}

// handleFlowPacket sends a packet of an open flow to its holder, or to an owner of
// the flow's registration if the holder is not cached.
func (r *Router) handleFlowPacket(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := r.holders.Get(flow)
	if r.hedger != nil && !h.confirmed && r.sendHedgedPacket(buffer, flow) {
		return
	}
	e := r.byAgent[h.agent]
	switch {
	case ok && h.confirmed && e != nil && e.TimedOut:
		r.counters.HolderLost++
		r.reset(flow, segment.Ack, errkind.PeerUnavailable)
		r.holders.Delete(flow)
		return
	case ok && (h.confirmed || e == nil || e.Reachable):
		if h.ack == 0 || segment.Ack-h.ack > maxAckLag {
			h.ack = segment.Ack
			r.holders.Put(flow, h)
		}
		r.counters.Known++
		r.send(buffer, passthrough.Deliver, h.agent)
		return
	}
	// The holder is not cached, or an unreachable agent is only supposed to be it.
	r.counters.Unknown++
	if owner := r.lookupTarget(flow); owner != 0 {
		if r.options.OnLookup != nil {
			r.options.OnLookup(flow, owner)
		}
		r.send(buffer, passthrough.Lookup, owner)
	}
}

// lookupTarget returns the agent that receives the lookup of a flow's holder, 0 for
// none. It alternates between the two owners of the registration, since one may
// have just failed, and prefers a reachable one.
func (r *Router) lookupTarget(flow passthrough.Flow) passthrough.Endpoint {
	first, second := r.owners.Pair(flow)
	if first == 0 {
		return 0
	}
	lookups, _ := r.lookups.Get(flow)
	r.lookups.Put(flow, lookups+1)
	if lookups%2 == 1 {
		first, second = second, first
	}
	if !r.byAgent[first].Reachable && r.byAgent[second].Reachable {
		return second
	}
	return first
}

// handleReset forwards a caller's reset to the holder of the flow.
func (r *Router) handleReset(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := r.holders.Get(flow)
	if !ok {
		r.counters.Dropped++
		return
	}
	r.holders.Delete(flow)
	r.send(buffer, passthrough.Deliver, h.agent)
	if r.hedger != nil {
		if o := r.hedger.Ended(flow); o != nil {
			r.options.Sender.Send(buffer, o.Second)
		}
	}
}

// resetFlows resets the flows of an agent that is presumed to have failed, so that
// callers can open new ones before they need them.
func (r *Router) resetFlows(agent passthrough.Endpoint) {
	for flow, h := range r.holders.All() {
		if h.agent != agent || !h.confirmed {
			continue
		}
		r.counters.HolderLost++
		r.reset(flow, h.ack, errkind.PeerUnavailable)
		r.holders.Delete(flow)
	}
}

// send sends a packet of an open flow.
func (r *Router) send(buffer []byte, kind passthrough.Kind, to passthrough.Endpoint) {
	r.sendFramed(buffer, &passthrough.Frame{Kind: kind, Tag: uint32(r.owners.Digest())}, to)
}

// sendFramed sends a packet with a frame to which it adds the version and the origin.
func (r *Router) sendFramed(buffer []byte, frame *passthrough.Frame, to passthrough.Endpoint) {
	frame.Version, frame.Origin = r.version.Revision.Wire(), r.options.Self
	frame.Put(buffer)
	r.options.Sender.Send(buffer, to)
}

// reset resets a flow at its caller.
func (r *Router) reset(flow passthrough.Flow, ack uint32, kind errkind.Kind) {
	if r.options.OnRefusal != nil {
		r.options.OnRefusal(flow, kind)
	}
	b := r.options.Format.AppendReset(nil, flow, ack)
	r.options.Sender.Send(b, flow.Caller.WithPort(r.options.CallerPort))
}
