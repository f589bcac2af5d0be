package steer

import (
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// HandlePacket takes a packet of a caller, in a buffer with FrameSize free bytes in
// front of it.
func (s *Router) HandlePacket(buffer []byte) {
	s.counters.Packets++
	segment := &s.segment
	if err := s.options.Format.Decode(buffer[passthrough.FrameSize:], segment); err != nil {
		s.counters.Malformed++
		return
	}
	if s.version == nil {
		s.counters.Dropped++
		return
	}
	if segment.IsOpening() {
		s.open(buffer, segment)
		return
	}
	if segment.Has(passthrough.Open) {
		s.counters.Malformed++
		return
	}
	if segment.Has(passthrough.Reset) {
		s.end(buffer, segment)
		return
	}
	s.follow(buffer, segment)
}

// open places an opening packet. A copy goes where the first one went as long as
// that agent can be reached.
func (s *Router) open(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	route := s.version.Route(flow.Service.AddrPort())
	if route == nil {
		s.counters.NoRoute++
		s.reset(flow, segment.Ack, errkind.NotFound)
		return
	}
	if h, ok := s.holders.Get(flow); ok {
		if e := s.byAgent[h.agent]; e != nil && e.Reachable {
			s.send(buffer, passthrough.Deliver, h.agent, s.second(e))
			return
		}
	}
	service := route.Pick(flow.Hash())
	chosen := s.choose(service, nil)
	if chosen == nil {
		s.counters.NoServer++
		if segment.IsLastRetransmission() {
			s.reset(flow, segment.Ack, errkind.BackendUnavailable)
		}
		// Else the next copy may find a server that has come back.
		return
	}
	s.counters.Opens++
	chosen.opened++
	s.holders.Put(flow, holding{agent: chosen.Agent})
	if s.options.OnPlacement != nil {
		s.options.OnPlacement(flow, &chosen.Server)
	}
	s.send(buffer, passthrough.Deliver, chosen.Agent, s.second(chosen))
}

// second returns the agent that an agent which refuses a flow passes it to.
func (s *Router) second(first *entry) passthrough.Endpoint {
	if e := s.choose(first.Service, first); e != nil {
		return e.Agent
	}
	return 0
}

// follow sends a packet of an open flow to its holder, or to the owner of the
// flow's registration when the holder is not cached.
func (s *Router) follow(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := s.holders.Get(flow)
	e := s.byAgent[h.agent]
	lost := e != nil && e.Silent
	// Where only an opening packet was sent, a copy of it may have opened the flow
	// elsewhere.
	if ok && (h.opened || !lost) {
		if lost {
			s.counters.HolderLost++
			s.reset(flow, segment.Ack, errkind.PeerUnavailable)
			s.holders.Delete(flow)
			return
		}
		if !h.opened || segment.Ack-h.ack > ackDrift {
			s.holders.Put(flow, holding{agent: h.agent, ack: segment.Ack, opened: true})
		}
		s.counters.Known++
		s.send(buffer, passthrough.Deliver, h.agent, 0)
		return
	}
	s.counters.Unknown++
	if owner := s.owner(flow); owner != 0 {
		if s.options.OnLookup != nil {
			s.options.OnLookup(flow, owner)
		}
		s.send(buffer, passthrough.Lookup, owner, 0)
	}
}

// owner returns the agent to ask for the holder of a flow: the two owners of its
// registration in turn, since one may have just died, and only those that can be
// reached when there are such.
func (s *Router) owner(flow passthrough.Flow) passthrough.Endpoint {
	first, second := s.owners.Pair(flow)
	if first == 0 {
		return 0
	}
	asked, _ := s.lookups.Get(flow)
	s.lookups.Put(flow, asked+1)
	if asked%2 == 1 {
		first, second = second, first
	}
	if !s.byAgent[first].Reachable && s.byAgent[second].Reachable {
		return second
	}
	return first
}

// end passes on the reset of a flow by its caller.
func (s *Router) end(buffer []byte, segment *passthrough.Segment) {
	flow := segment.FromCaller()
	h, ok := s.holders.Get(flow)
	if !ok {
		s.counters.Dropped++
		return
	}
	s.holders.Delete(flow)
	s.send(buffer, passthrough.Deliver, h.agent, 0)
}

// abandon resets the flows of an agent that is taken for lost, so that callers
// can open others before they need them.
func (s *Router) abandon(agent passthrough.Endpoint) {
	for flow, h := range s.holders.All() {
		if h.agent != agent || !h.opened {
			continue
		}
		s.counters.HolderLost++
		s.reset(flow, h.ack, errkind.PeerUnavailable)
		s.holders.Delete(flow)
	}
}

func (s *Router) send(buffer []byte, kind passthrough.Kind, to, alternate passthrough.Endpoint) {
	frame := passthrough.Frame{
		Kind:      kind,
		Version:   s.version.Revision,
		Origin:    s.options.Self,
		Alternate: alternate,
	}
	frame.Put(buffer)
	s.options.Sender.Send(buffer, to)
}

// reset tells the caller that the flow cannot go on.
func (s *Router) reset(flow passthrough.Flow, ack uint32, kind errkind.Kind) {
	if s.options.OnRefusal != nil {
		s.options.OnRefusal(flow, kind)
	}
	b := s.options.Format.AppendReset(nil, flow, ack)
	s.options.Sender.Send(b, flow.Caller.WithPort(s.options.CallerPort))
}
