package passthroughtest

import "bergamotbank/connection/passthrough"

// Server is a fake backend server. It responds to each request with its name.
type Server struct {
	// Name is the response to each request.
	Name string
	// Full makes it return every opening packet.
	Full bool
	// Unresponsive makes it accept packets without a response.
	Unresponsive bool
	// ForeignPackets counts packets of flows that it does not hold.
	ForeignPackets int
	// OpenedFlows counts the flows that it has opened.
	OpenedFlows int

	out   func(b []byte)
	seq   uint32
	flows map[passthrough.Flow]*serverFlow
}

type serverFlow struct {
	seq  uint32
	open bool
}

// NewServer returns a server that sends its packets to out. seq is the start of its
// sequence numbers.
func NewServer(name string, seq uint32, out func(b []byte)) *Server {
	return &Server{Name: name, out: out, seq: seq, flows: map[passthrough.Flow]*serverFlow{}}
}

// Restart discards all flows.
func (s *Server) Restart() { s.flows = map[passthrough.Flow]*serverFlow{} }

// Holds reports whether the server holds the flow as an open one.
func (s *Server) Holds(flow passthrough.Flow) bool {
	f := s.flows[flow]
	return f != nil && f.open
}

// Handle processes a packet.
func (s *Server) Handle(b []byte) {
	var p passthrough.Segment
	if err := (Format{}).Decode(b, &p); err != nil {
		panic(err)
	}
	flow := p.FromCaller()
	f := s.flows[flow]
	if p.IsOpening() {
		s.handleOpening(b, &p, f)
		return
	}
	if f == nil || (!f.open && p.Ack != f.seq+1) {
		s.ForeignPackets++
		s.returnPacket(b)
		return
	}
	f.open = true
	if len(p.Payload) > 0 && !s.Unresponsive {
		s.send(passthrough.Segment{Source: p.Target, Target: p.Source, Seq: f.seq + 1, Ack: p.Seq, Flags: passthrough.Acknowledge, Payload: []byte(s.Name)})
	}
}

func (s *Server) handleOpening(b []byte, p *passthrough.Segment, f *serverFlow) {
	if s.Full {
		s.returnPacket(b)
		return
	}
	if f == nil {
		s.OpenedFlows++
		s.seq += 1 << 20
		f = &serverFlow{seq: s.seq}
		s.flows[p.FromCaller()] = f
	}
	if !s.Unresponsive {
		s.send(passthrough.Segment{Source: p.Target, Target: p.Source, Seq: f.seq, Ack: p.Seq + 1, Flags: passthrough.Open | passthrough.Acknowledge})
	}
}

func (s *Server) returnPacket(b []byte) {
	returned := append(make([]byte, passthrough.FrameSize), b...)
	returned[passthrough.FrameSize] |= byte(passthrough.Returned)
	s.out(returned)
}

func (s *Server) send(p passthrough.Segment) { s.out(Framed(p)) }

// Caller is the caller of one flow.
type Caller struct {
	// Flow identifies the flow.
	Flow passthrough.Flow
	// Opened is true after a response to the opening packet, Reset after a reset that is
	// valid: on an open flow, its sequence number is close to the caller's last
	// acknowledgement.
	Opened, Reset bool
	// Responses are the responses to requests, in order.
	Responses []string
	// ResetSeq is the sequence number of the reset.
	ResetSeq uint32

	ack uint32
	seq uint32
}

// Handle processes a packet for the caller.
func (c *Caller) Handle(b []byte) {
	var p passthrough.Segment
	if err := (Format{}).Decode(b, &p); err != nil {
		panic(err)
	}
	switch {
	case p.Has(passthrough.Reset):
		if !c.Opened || p.Seq-c.ack+maxResetDistance <= 2*maxResetDistance {
			c.Reset, c.ResetSeq = true, p.Seq
		}
	case p.Has(passthrough.Open) && !c.Opened:
		c.Opened, c.ack = true, p.Seq+1
	case len(p.Payload) > 0:
		c.Responses = append(c.Responses, string(p.Payload))
	}
}

// OpeningPacket returns the opening packet, or its given retransmission if that is
// not 0, with room for a frame.
func (c *Caller) OpeningPacket(retransmission uint32) []byte {
	return Framed(passthrough.Segment{Source: c.Flow.Caller, Target: c.Flow.Service, Seq: 1, Ack: retransmission, Flags: passthrough.Open})
}

// Request returns a packet with a new request, with room for a frame.
func (c *Caller) Request() []byte {
	c.seq += requestSize
	return c.RetransmitRequest()
}

// RetransmitRequest returns the packet with the last request.
func (c *Caller) RetransmitRequest() []byte {
	return Framed(passthrough.Segment{
		Source: c.Flow.Caller, Target: c.Flow.Service, Seq: c.seq, Ack: c.ack, Flags: passthrough.Acknowledge, Payload: []byte("request"),
	})
}

// Acknowledged returns the number of the next byte that the caller expects.
func (c *Caller) Acknowledged() uint32 { return c.ack }

// maxResetDistance is the largest distance between the sequence number of a valid reset
// and the caller's last acknowledgement on an open flow, in bytes.
const maxResetDistance = 76_800

// requestSize is the size of a request in bytes.
const requestSize = 7
