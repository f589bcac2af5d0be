// Package passthrough holds what balancer and agent share about flows that they
// carry without ending them: the parsed packet, the frame that takes a packet
// from process to process, and a bounded map with an entry per flow.
package passthrough

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address in the upper and a port in the lower 16 bits. It
// is comparable and free of pointers, so that large maps cost the garbage
// collector nothing.
type Endpoint uint64

// EndpointOf returns the endpoint of an IPv4 address, 0 for another address.
func EndpointOf(addr netip.AddrPort) Endpoint {
	ip := addr.Addr().Unmap()
	if !ip.Is4() {
		return 0
	}
	b := ip.As4()
	return MakeEndpoint(binary.BigEndian.Uint32(b[:]), addr.Port())
}

// MakeEndpoint joins an IPv4 address as a number and a port.
func MakeEndpoint(ip uint32, port uint16) Endpoint {
	return Endpoint(uint64(ip)<<16 | uint64(port))
}

// AddrPort returns the endpoint in the form of the standard library.
func (e Endpoint) AddrPort() netip.AddrPort {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], e.IP())
	return netip.AddrPortFrom(netip.AddrFrom4(b), e.Port())
}

// IP returns the IPv4 address as a number.
func (e Endpoint) IP() uint32 { return uint32(e >> 16) }

// Port returns the port.
func (e Endpoint) Port() uint16 { return uint16(e) }

// WithPort returns the endpoint with another port.
func (e Endpoint) WithPort(port uint16) Endpoint { return MakeEndpoint(e.IP(), port) }

// String formats the endpoint like "10.0.0.1:80".
func (e Endpoint) String() string { return e.AddrPort().String() }

// Flow names a flow by the two ends that its packets carry.
type Flow struct {
	// Caller is the caller's end.
	Caller Endpoint
	// Service is the service's address that the caller opened the flow to.
	Service Endpoint
}

// Hash spreads flows evenly. It is equal in all processes.
func (f Flow) Hash() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(f.Caller))
	binary.LittleEndian.PutUint64(b[8:], uint64(f.Service))
	return xxhash.Sum64(b[:])
}

// Flags are the control bits of a packet.
type Flags uint8

// The control bits.
const (
	// Open asks to open a flow.
	Open Flags = 1 << iota
	// Acknowledge marks a valid acknowledgement number.
	Acknowledge
	// Finish says that the sender has no more data.
	Finish
	// Reset ends the flow at once.
	Reset
	// Returned marks a packet that a backend server did not accept and gave back.
	Returned
)

// Segment is what the balancer needs of a packet. All other bytes belong to the
// two ends of the flow.
type Segment struct {
	// Source and Target are the ends named by the packet.
	Source, Target Endpoint
	// Seq and Ack are the sequence and the acknowledgement number.
	Seq, Ack uint32
	// Flags are the control bits.
	Flags Flags
	// Payload is the data, a part of the packet.
	Payload []byte
}

// IsLastRetransmission tells whether the caller sends no further copy of an opening packet.
// Callers number the copies in the acknowledgement field.
func (s *Segment) IsLastRetransmission() bool { return s.Ack >= openingCopies }

// openingCopies is the number of copies that follow an opening packet.
const openingCopies = 2

// Has tells whether all the given control bits are set.
func (s *Segment) Has(flags Flags) bool { return s.Flags&flags == flags }

// IsOpening tells whether the packet asks to open a flow.
func (s *Segment) IsOpening() bool {
	return s.Flags&(Open|Acknowledge|Finish|Reset) == Open
}

// FromCaller returns the flow of a packet that a caller sent.
func (s *Segment) FromCaller() Flow { return Flow{Caller: s.Source, Service: s.Target} }

// FromServer returns the flow of a packet that a backend server sent.
func (s *Segment) FromServer() Flow { return Flow{Caller: s.Target, Service: s.Source} }

// Format is a packet format. Implementations hold no state.
type Format interface {
	// Decode parses a packet into s. The error has kind Malformed.
	Decode(packet []byte, s *Segment) error
	// AppendReset appends a packet that resets the flow at its caller.
	AppendReset(b []byte, flow Flow, seq uint32) []byte
	// ClearReturned takes the mark of a returned packet off, so that the packet
	// is again as its sender wrote it.
	ClearReturned(packet []byte)
	// RequestID returns the identifier of the request that starts with payload, a
	// part of it; nil when there is none.
	RequestID(payload []byte) []byte
	// Failed tells whether an answer that starts with payload reports a failure of
	// the server, other than a refusal.
	Failed(payload []byte) bool
}

// Sender takes datagrams. The bytes must stay unchanged until the batch in work
// has ended.
type Sender interface {
	Send(datagram []byte, to Endpoint)
}
