package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// probe is a packet of an unknown flow that was sent to the server to find out
// whether it holds the flow. An agent that starts while its server is running
// knows none of the server's flows.
type probe struct {
	frame    passthrough.Frame
	rejected bool
}

// handleUnknown handles a packet of a flow that this agent does not know.
func (g *Gate) handleUnknown(d *delivery, now time.Duration) {
	if d.segment.Has(passthrough.Reset) {
		return
	}
	if d.frame.Kind == passthrough.Registered && d.frame.Incarnation != 0 &&
		g.server.Incarnation != 0 && d.frame.Incarnation != g.server.Incarnation {
		// The registration names a previous incarnation, which has terminated.
		g.reset(d.flow, d.segment.Ack, errkind.BackendUnavailable)
		return
	}
	if g.mayHold(d.flow) {
		g.sendProbe(d)
		return
	}
	g.forwardUnknown(d, now)
}

// mayHold reports whether the server may hold a flow unknown to the agent. A
// server that has not reported yet is not probed, because one that is starting
// resets flows that it does not know.
func (g *Gate) mayHold(flow passthrough.Flow) bool {
	if !g.server.PredatesAgent || g.server.State == steer.Down || g.server.State == steer.Unknown {
		return false
	}
	p, probed := g.probes.Get(flow)
	return !probed || !p.rejected
}

func (g *Gate) sendProbe(d *delivery) {
	g.counters.Offered++
	g.probes.Put(d.flow, probe{frame: d.frame})
	g.sendToServer(d.packet)
}

// forwardUnknown forwards a packet to the registered holder of its flow, or
// searches all agents for it. For some seconds after a membership change processes
// disagree on the owners of a registration, so querying the other owner would not
// be more reliable than a search.
func (g *Gate) forwardUnknown(d *delivery, now time.Duration) {
	searched := d.frame.Kind == passthrough.Search || (d.frame.Kind == passthrough.Registered && d.frame.Alternate != 0)
	if d.frame.Kind == passthrough.Registered {
		// The registration is outdated, or the flow opened at another agent than the one
		// to which its opening packet was forwarded.
		if !searched {
			g.search(d, now)
		}
		return
	}
	if d.frame.Kind == passthrough.Search {
		g.sendNotHeld(d)
	}
	r, registered := g.registry.Get(d.flow)
	registered = registered && r.holder != g.options.Self
	failed := registered && g.hasTimedOut(r.holder)
	switch {
	case failed && !r.candidate:
		g.reset(d.flow, d.segment.Ack, errkind.PeerUnavailable)
	case registered && !failed:
		g.forward(d, passthrough.Registered, r.holder, r.incarnation)
	case d.frame.Kind == passthrough.Deliver && d.frame.Alternate != 0 && !g.hasTimedOut(d.frame.Alternate):
		// The balancer has sent the opening packet to both agents.
		alternate := d.frame.Alternate
		d.frame.Alternate = 0
		g.forward(d, passthrough.Registered, alternate, 0)
	case !searched:
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

// HandleServerPacket processes a packet from the backend server, in a buffer with
// FrameSize free bytes in front of it.
func (g *Gate) HandleServerPacket(buffer []byte, now time.Duration) {
	g.lastEvent = now
	g.handleServerPacket(buffer, now)
	// The packet may have ended a request or a flow.
	g.forwardQueued(now)
}

func (g *Gate) handleServerPacket(buffer []byte, now time.Duration) {
	packet := buffer[passthrough.FrameSize:]
	segment := &g.segment
	if err := g.options.Format.Decode(packet, segment); err != nil {
		g.counters.Malformed++
		return
	}
	if segment.Has(passthrough.Returned) {
		g.counters.Returned++
		g.options.Format.ClearReturned(packet)
		g.handleReturned(buffer, segment, now)
		return
	}
	g.suspectedFrom = 0
	key := segment.FromServer()
	f := g.flows[key]
	if f == nil && segment.Has(passthrough.Reset) {
		// Another server may hold the flow.
		g.rejectProbe(key)
		return
	}
	if f == nil {
		f = g.adopt(key, segment, now)
	}
	g.trackServerPacket(key, f, segment, now)
	g.sendToCaller(packet, key.Caller)
}

// adopt adds a flow that is known only from the server's packets: the server held
// it before the agent started, or responds to its opening packet.
func (g *Gate) adopt(key passthrough.Flow, segment *passthrough.Segment, now time.Duration) *flow {
	g.counters.Adopted++
	g.options.Observer.Adopted(key)
	f := &flow{phase: phaseOpen, openedAt: now, lastUsed: now}
	g.flows[key] = f
	delete(g.restored.flows, key)
	if segment.Has(passthrough.Open) {
		f.phase = phaseOpening
		return f
	}
	g.openFlows++
	g.unregistered = append(g.unregistered, key)
	if p, ok := g.probes.Get(key); ok {
		f.informed = p.frame.Origin
		g.notifyBalancer(passthrough.Learned, p.frame.Origin, key)
	}
	return f
}

// handleReturned processes a packet that the server did not accept.
func (g *Gate) handleReturned(buffer []byte, segment *passthrough.Segment, now time.Duration) {
	d := delivery{datagram: buffer, packet: buffer[passthrough.FrameSize:], segment: segment, flow: segment.FromCaller()}
	f := g.flows[d.flow]
	if segment.IsOpening() {
		if f == nil || f.phase != phaseOpening {
			return
		}
		g.release(d.flow, f)
		delete(g.flows, d.flow)
		// The host of a crashed server returns all packets.
		g.suspectedFrom = now
		d.frame = passthrough.Frame{Kind: passthrough.Deliver, Hops: f.hops, Version: f.version, Tag: uint32(f.service), Origin: f.origin, Alternate: f.alternate}
		if f.hedgeable {
			d.frame.Incarnation = 1
		}
		d.frame.Put(buffer)
		g.refuse(&d, errkind.Overloaded)
		return
	}
	if f != nil && f.phase == phaseOpening {
		// The caller uses another server, or it would have confirmed the opening here.
		g.release(d.flow, f)
		delete(g.flows, d.flow)
		f = nil
	}
	if f == nil {
		g.handleReturnedProbe(&d, now)
		return
	}
	if f.phase != phaseOpen {
		return
	}
	g.close(d.flow, f, now)
	f.phase = phaseAborted
	g.reset(d.flow, segment.Ack, errkind.BackendUnavailable)
}

// handleReturnedProbe forwards a probe packet whose flow the server does not hold
// to another agent.
func (g *Gate) handleReturnedProbe(d *delivery, now time.Duration) {
	p, ok := g.rejectProbe(d.flow)
	if !ok {
		return
	}
	d.frame = p.frame
	d.frame.Put(d.datagram)
	g.forwardUnknown(d, now)
}

// rejectProbe records that the server does not hold a flow.
func (g *Gate) rejectProbe(key passthrough.Flow) (probe, bool) {
	delete(g.restored.flows, key)
	p, ok := g.probes.Get(key)
	if ok {
		p.rejected = true
		g.probes.Put(key, p)
	}
	return p, ok
}
