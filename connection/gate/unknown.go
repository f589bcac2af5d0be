package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// offer is a packet of an unknown flow that was given to the server to see
// whether it holds the flow. An agent that started beside a running server knows
// none of the server's flows.
type offer struct {
	frame   passthrough.Frame
	refused bool
}

// unknown handles a packet of a flow that this agent does not know.
func (g *Gate) unknown(d *delivery, now time.Duration) {
	if d.segment.Has(passthrough.Reset) {
		return
	}
	if d.frame.Kind == passthrough.Registered && d.frame.Incarnation != 0 &&
		g.server.Incarnation != 0 && d.frame.Incarnation != g.server.Incarnation {
		// The registration names a former incarnation, which has ended.
		g.reset(d.flow, d.segment.Ack, errkind.BackendUnavailable)
		return
	}
	if g.mayHold(d.flow) {
		g.offer(d)
		return
	}
	g.passOn(d, now)
}

// mayHold tells whether the server may hold a flow unknown to the agent. A server
// that has not been heard yet is left alone: one that is just starting resets
// flows that it does not know.
func (g *Gate) mayHold(flow passthrough.Flow) bool {
	if !g.server.PredatesAgent || g.server.State == steer.Down || g.server.State == steer.Unknown {
		return false
	}
	o, asked := g.offers.Get(flow)
	return !asked || !o.refused
}

func (g *Gate) offer(d *delivery) {
	g.counters.Offered++
	g.offers.Put(d.flow, offer{frame: d.frame})
	g.toServer(d.packet)
}

// passOn sends a packet to its holder by registration, or to all agents. Views of
// who owns a registration differ for some seconds after a change, so that the
// other owner is no better guess than all.
func (g *Gate) passOn(d *delivery, now time.Duration) {
	if d.frame.Kind == passthrough.Registered {
		return
	}
	if d.frame.Kind == passthrough.Search {
		g.deny(d)
	}
	r, registered := g.registry.Get(d.flow)
	registered = registered && r.holder != g.options.Self
	switch {
	case registered && g.lost(r.holder):
		g.reset(d.flow, d.segment.Ack, errkind.PeerUnavailable)
	case registered:
		g.forward(d, passthrough.Registered, r.holder, r.incarnation)
	case d.frame.Kind != passthrough.Search:
		g.search(d, now)
	}
}

func (g *Gate) forward(d *delivery, kind passthrough.Kind, to passthrough.Endpoint, incarnation uint32) {
	frame := d.frame
	frame.Kind = kind
	frame.Hops++
	frame.Incarnation = incarnation
	frame.Put(d.datagram)
	g.counters.PassedOn++
	g.options.Observer.PassedOn(d.flow, kind, to)
	g.options.Sender.Send(d.datagram, to)
}

// HandleServerPacket takes a packet that the backend server sent, in a buffer with FrameSize
// free bytes in front of it.
func (g *Gate) HandleServerPacket(buffer []byte, now time.Duration) {
	packet := buffer[passthrough.FrameSize:]
	segment := &g.segment
	if err := g.options.Format.Decode(packet, segment); err != nil {
		g.counters.Malformed++
		return
	}
	if segment.Has(passthrough.Returned) {
		g.counters.Returned++
		g.options.Format.ClearReturned(packet)
		g.returned(buffer, segment, now)
		return
	}
	key := segment.FromServer()
	f := g.flows[key]
	if f == nil && segment.Has(passthrough.Reset) {
		// The flow may live at another server.
		g.refuseOffer(key)
		return
	}
	if f == nil {
		f = g.adopt(key, segment, now)
	}
	g.serverPacket(key, f, segment, now)
	g.toCaller(packet, key.Caller)
}

// adopt takes up a flow that the server turns out to hold, or that it answers the
// opening packet of.
func (g *Gate) adopt(key passthrough.Flow, segment *passthrough.Segment, now time.Duration) *flow {
	g.counters.Adopted++
	g.options.Observer.Adopted(key)
	f := &flow{phase: phaseOpen, opened: now, used: now}
	g.flows[key] = f
	if segment.Has(passthrough.Open) {
		f.phase = phaseOpening
		return f
	}
	g.open++
	g.young = append(g.young, key)
	if o, ok := g.offers.Get(key); ok {
		g.tell(o.frame.Origin, key)
	}
	return f
}

// returned handles a packet that the server did not accept.
func (g *Gate) returned(buffer []byte, segment *passthrough.Segment, now time.Duration) {
	d := delivery{datagram: buffer, packet: buffer[passthrough.FrameSize:], segment: segment, flow: segment.FromCaller()}
	f := g.flows[d.flow]
	if segment.IsOpening() {
		if f == nil || f.phase != phaseOpening {
			return
		}
		delete(g.flows, d.flow)
		d.frame = passthrough.Frame{Kind: passthrough.Deliver, Hops: f.hops, Version: f.version, Origin: f.origin, Alternate: f.alternate}
		d.frame.Put(buffer)
		g.refuse(&d, errkind.Overloaded)
		return
	}
	if f == nil {
		g.returnedOffer(&d, now)
		return
	}
	if f.phase != phaseOpen {
		return
	}
	g.close(d.flow, f, now)
	f.phase = phaseLost
	g.reset(d.flow, segment.Ack, errkind.BackendUnavailable)
}

// returnedOffer goes on looking for the holder of a flow that the server does not
// hold.
func (g *Gate) returnedOffer(d *delivery, now time.Duration) {
	o, ok := g.refuseOffer(d.flow)
	if !ok {
		return
	}
	d.frame = o.frame
	d.frame.Put(d.datagram)
	g.passOn(d, now)
}

// refuseOffer notes that the server does not hold a flow.
func (g *Gate) refuseOffer(key passthrough.Flow) (offer, bool) {
	o, ok := g.offers.Get(key)
	if ok {
		o.refused = true
		g.offers.Put(key, o)
	}
	return o, ok
}
