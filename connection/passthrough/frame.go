package passthrough

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// Kind is the first byte of each datagram between processes.
type Kind uint8

// The kinds of datagrams.
const (
	// Deliver carries a packet to the agent that holds its flow or is to open it.
	Deliver Kind = 0xB1 + iota
	// Lookup carries a packet of a flow whose holder the sender does not know.
	Lookup
	// Registered carries a packet to the holder that a registration names.
	Registered
	// Search carries a packet of a flow that has no registration.
	Search
	// Learned informs a balancer which agent holds a flow: the sender has seen the end
	// of the handshake with its server, or a packet of its server on the open flow.
	Learned
	// Register sends an owner registrations of flows that the sender holds.
	Register
	// Hello is a full heartbeat between processes.
	Hello
	// Introduction sends the list of processes to a process that has just started.
	Introduction
	// NotHeld is the response to a Search: the sender's backend server does not hold
	// the flow.
	NotHeld
	// CompactHeartbeat is a heartbeat without the data that the receiver has
	// already.
	CompactHeartbeat
	// Redirected informs a balancer to which agent an opening packet was forwarded.
	// The flow may still open elsewhere.
	Redirected
	// Suspicion informs a process that a member does not answer the sender.
	Suspicion
	// ViewRequest requests the agents that the receiver knows.
	ViewRequest
	// View is the response to a ViewRequest.
	View
	// Marker is sent by a process to itself and contains the time at which it was sent. When
	// it is handled, so are all datagrams that had arrived by then.
	Marker
	// Duplicate carries a copy of an opening packet that another agent was sent before. It is
	// neither queued nor forwarded, and no reset answers it, since the other agent's server
	// may hold the flow.
	Duplicate
	// Cancel informs an agent that another one holds a flow whose opening packet both have.
	Cancel
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	names := [...]string{"deliver", "lookup", "registered", "search", "learned", "register", "hello", "introduction", "not_held", "beat", "redirected", "suspicion", "view_request", "view", "marker", "duplicate", "cancel"}
	if k < Deliver || int(k-Deliver) >= len(names) {
		return "unknown"
	}
	return names[k-Deliver]
}

// FrameSize is the size of a frame, which precedes the packet, in bytes.
const FrameSize = 29

// Frame is the header of a datagram that carries a caller's packet between
// processes.
type Frame struct {
	// Kind is Deliver, Lookup, Registered, Search or Duplicate.
	Kind Kind
	// Hops is the number of agents that have forwarded the packet.
	Hops uint8
	// Version is the configuration version that the balancer used.
	Version routes.WireRevision
	// Origin is the peer address of the balancer that received the packet.
	Origin Endpoint
	// Alternate is the agent to try if the first one refuses an opening packet, or does not
	// hold the flow of another packet, 0 for none. In a Search it is the agent to which
	// responses are sent.
	Alternate Endpoint
	// Incarnation is the incarnation of the backend server in the flow's
	// registration, for Registered. In an opening packet it is not 0 if Hedgeable.
	Incarnation uint32
	// Tag is a ServiceTag or a ViewDigest.
	Tag uint32
}

// Hedgeable reports whether the balancer may send an opening packet to a second agent. It then
// decides alone whether the flow is reset: an agent that refuses the packet informs it by NotHeld.
func (f *Frame) Hedgeable() bool { return f.Kind == Duplicate || f.Incarnation != 0 }

// ServiceTag returns the tag of the service that was selected for an opening packet.
func (f *Frame) ServiceTag() ServiceTag { return ServiceTag(f.Tag) }

// ViewDigest returns the digest of the agents that the balancer knows, for a packet other than
// an opening packet; 0 if the balancer sent none.
func (f *Frame) ViewDigest() ViewDigest { return ViewDigest(f.Tag) }

// ViewDigest is a digest of the set of agents that a process knows, in 24 bits; 0 is none.
type ViewDigest uint32

// ServiceTag identifies a service by the lower 24 bits of a hash of its name; 0 is none.
type ServiceTag uint32

// tagMask selects the bits of a hash that fit into a tag.
const tagMask = 1<<24 - 1

// ServiceTagOf returns the tag of a service.
func ServiceTagOf(service string) ServiceTag {
	return ServiceTag(max(1, xxhash.Sum64String(service)&tagMask))
}

// errInvalidLength is the error for a datagram whose length is invalid for its
// kind.
var errInvalidLength = errkind.New(errkind.Malformed, "datagram is too short or its length does not match its kind")

// Put encodes the frame into the first FrameSize bytes of b.
func (f *Frame) Put(b []byte) {
	b[0] = byte(f.Kind)
	b[1] = f.Hops
	binary.LittleEndian.PutUint64(b[2:], uint64(f.Version))
	putEndpoint(b[10:], f.Origin)
	putEndpoint(b[16:], f.Alternate)
	binary.LittleEndian.PutUint32(b[22:], f.Incarnation)
	b[26], b[27], b[28] = byte(f.Tag), byte(f.Tag>>8), byte(f.Tag>>16)
}

// ParseFrame decodes the frame into f and returns the packet that follows it. The
// error has kind Malformed.
func ParseFrame(b []byte, f *Frame) (packet []byte, err error) {
	if len(b) < FrameSize {
		return nil, errInvalidLength
	}
	f.Kind = Kind(b[0])
	f.Hops = b[1]
	f.Version = routes.WireRevision(binary.LittleEndian.Uint64(b[2:]))
	f.Origin = endpointAt(b[10:])
	f.Alternate = endpointAt(b[16:])
	f.Incarnation = binary.LittleEndian.Uint32(b[22:])
	f.Tag = uint32(b[26]) | uint32(b[27])<<8 | uint32(b[28])<<16
	return b[FrameSize:], nil
}

const endpointSize = 6 // bytes

func putEndpoint(b []byte, e Endpoint) {
	binary.LittleEndian.PutUint32(b, e.IP())
	binary.LittleEndian.PutUint16(b[4:], e.Port())
}

func endpointAt(b []byte) Endpoint {
	return MakeEndpoint(binary.LittleEndian.Uint32(b), binary.LittleEndian.Uint16(b[4:]))
}

const (
	flowSize           = 2 * endpointSize
	holderSize         = 1 + endpointSize + flowSize
	registerHeaderSize = 1 + endpointSize + 4
	suspicionSize      = 1 + endpointSize + 4
	markerSize         = 9
)

// MaxRegistrations is the maximum number of flows in a datagram of kind Register,
// so that the datagram is at most 1,200 bytes long.
const MaxRegistrations = (1200 - registerHeaderSize) / flowSize

// AppendHolder appends a datagram of kind Learned, Redirected, NotHeld or Cancel, which states
// that an agent holds a flow, may hold it or does not, or that another one than the receiver
// holds it.
func AppendHolder(b []byte, kind Kind, agent Endpoint, flow Flow) []byte {
	b = appendEndpoint(append(b, byte(kind)), agent)
	return appendFlow(b, flow)
}

// ParseHolder decodes a datagram of kind Learned, Redirected, NotHeld or Cancel. The error has
// kind Malformed.
func ParseHolder(b []byte) (agent Endpoint, flow Flow, err error) {
	if len(b) < holderSize {
		return 0, Flow{}, errInvalidLength
	}
	return endpointAt(b[1:]), flowAt(b[1+endpointSize:]), nil
}

// AppendRefusal appends a datagram of kind NotHeld with the number of the copy of the opening
// packet that an agent has refused.
func AppendRefusal(b []byte, agent Endpoint, flow Flow, number uint32) []byte {
	return append(AppendHolder(b, NotHeld, agent, flow), byte(number))
}

// ParseRefusal decodes a datagram that AppendRefusal has encoded. The error has kind Malformed.
func ParseRefusal(b []byte) (agent Endpoint, flow Flow, number uint32, err error) {
	if len(b) != holderSize+1 {
		return 0, Flow{}, 0, errInvalidLength
	}
	agent, flow, err = ParseHolder(b)
	return agent, flow, uint32(b[holderSize]), err
}

// AppendRegister appends a datagram of kind Register for flows that the holder's
// backend server holds, at most MaxRegistrations.
func AppendRegister(b []byte, holder Endpoint, incarnation uint32, flows []Flow) []byte {
	b = appendEndpoint(append(b, byte(Register)), holder)
	b = binary.LittleEndian.AppendUint32(b, incarnation)
	for _, flow := range flows {
		b = appendFlow(b, flow)
	}
	return b
}

// ParseRegister decodes a datagram of kind Register and calls each for every flow.
// The error has kind Malformed.
func ParseRegister(b []byte, each func(holder Endpoint, incarnation uint32, flow Flow)) error {
	if len(b) < registerHeaderSize || (len(b)-registerHeaderSize)%flowSize != 0 {
		return errInvalidLength
	}
	holder := endpointAt(b[1:])
	incarnation := binary.LittleEndian.Uint32(b[1+endpointSize:])
	for rest := b[registerHeaderSize:]; len(rest) > 0; rest = rest[flowSize:] {
		each(holder, incarnation, flowAt(rest))
	}
	return nil
}

// AppendSuspicion appends a datagram of kind Suspicion. run holds the lower 32 bits of the
// member's run.
func AppendSuspicion(b []byte, member Endpoint, run uint32) []byte {
	return binary.LittleEndian.AppendUint32(appendEndpoint(append(b, byte(Suspicion)), member), run)
}

// ParseSuspicion decodes a datagram of kind Suspicion. The error has kind Malformed.
func ParseSuspicion(b []byte) (member Endpoint, run uint32, err error) {
	if len(b) != suspicionSize {
		return 0, 0, errInvalidLength
	}
	return endpointAt(b[1:]), binary.LittleEndian.Uint32(b[1+endpointSize:]), nil
}

// AppendMarker appends a datagram of kind Marker.
func AppendMarker(b []byte, sentAt time.Duration) []byte {
	return binary.LittleEndian.AppendUint64(append(b, byte(Marker)), uint64(sentAt))
}

// ParseMarker decodes a datagram of kind Marker. The error has kind Malformed.
func ParseMarker(b []byte) (sentAt time.Duration, err error) {
	if len(b) != markerSize {
		return 0, errInvalidLength
	}
	return time.Duration(binary.LittleEndian.Uint64(b[1:])), nil
}

func appendEndpoint(b []byte, e Endpoint) []byte {
	var raw [endpointSize]byte
	putEndpoint(raw[:], e)
	return append(b, raw[:]...)
}

func appendFlow(b []byte, flow Flow) []byte {
	return appendEndpoint(appendEndpoint(b, flow.Caller), flow.Service)
}

func flowAt(b []byte) Flow {
	return Flow{Caller: endpointAt(b), Service: endpointAt(b[endpointSize:])}
}
