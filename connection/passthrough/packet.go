// Package passthrough provides types that balancers and agents share for flows that
// they forward without terminating them: the decoded packet, the frame that carries
// a packet between processes, and a bounded map with an entry per flow.
package passthrough

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and, in the lower 16 bits, a port. It is comparable
// and contains no pointers, so that the garbage collector need not scan large maps.
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

// MakeEndpoint returns the endpoint of a numeric IPv4 address and a port.
func MakeEndpoint(ip uint32, port uint16) Endpoint {
	return Endpoint(uint64(ip)<<16 | uint64(port))
}

// AddrPort returns the endpoint as a netip.AddrPort.
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

// Flow identifies a flow by its two endpoints.
type Flow struct {
	// Caller is the caller's endpoint.
	Caller Endpoint
	// Service is the service address to which the caller opened the flow.
	Service Endpoint
}

// Hash returns a uniformly distributed hash of the flow. It is the same in all
// processes.
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
	// Open requests to open a flow.
	Open Flags = 1 << iota
	// Acknowledge marks a valid acknowledgement number.
	Acknowledge
	// Finish indicates that the sender has no more data.
	Finish
	// Reset ends the flow at once.
	Reset
	// Returned marks a packet that a backend server did not accept and sent back.
	Returned
)

// Segment contains the fields of a packet that balancers and agents use. All other
// bytes are opaque to them.
type Segment struct {
	// Source and Target are the source and the destination endpoint.
	Source, Target Endpoint
	// Seq and Ack are the sequence and the acknowledgement number.
	Seq, Ack uint32
	// Flags are the control bits.
	Flags Flags
	// Payload is the data. It aliases the packet.
	Payload []byte
}

// IsLastRetransmission reports whether the caller sends no further retransmission
// of an opening packet. Callers number them in the acknowledgement field.
func (s *Segment) IsLastRetransmission() bool { return s.Ack >= openingRetransmissions }

// openingRetransmissions is the number of retransmissions of an opening packet.
const openingRetransmissions = 2

// Has reports whether all the given control bits are set.
func (s *Segment) Has(flags Flags) bool { return s.Flags&flags == flags }

// IsOpening reports whether the packet requests to open a flow.
func (s *Segment) IsOpening() bool {
	return s.Flags&(Open|Acknowledge|Finish|Reset) == Open
}

// FromCaller returns the flow of a packet that a caller sent.
func (s *Segment) FromCaller() Flow { return Flow{Caller: s.Source, Service: s.Target} }

// FromServer returns the flow of a packet that a backend server sent.
func (s *Segment) FromServer() Flow { return Flow{Caller: s.Target, Service: s.Source} }

// Format is a packet format. Implementations are stateless.
type Format interface {
	// Decode decodes a packet into s. The error has kind Malformed.
	Decode(packet []byte, s *Segment) error
	// AppendReset appends a packet that resets the flow at its caller.
	AppendReset(b []byte, flow Flow, seq uint32) []byte
	// ClearReturned clears the returned bit, which restores the packet as it was
	// sent.
	ClearReturned(packet []byte)
	// RequestID returns the identifier of the request that starts with payload, nil
	// if there is none. The result aliases payload.
	RequestID(payload []byte) []byte
	// Failed reports whether a response that starts with payload indicates a failure
	// of the server, other than a refusal.
	Failed(payload []byte) bool
}

// Sender sends datagrams. The bytes must not change until the current batch has
// been processed.
type Sender interface {
	Send(datagram []byte, to Endpoint)
}
