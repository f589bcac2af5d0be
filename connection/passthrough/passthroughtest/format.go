// Package passthroughtest provides fakes for tests of package passthrough and its
// users: a packet format, a network, a backend server and a caller.
package passthroughtest

import (
	"encoding/binary"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// headerSize is the size of the header of Format, in bytes.
const headerSize = 25

// Format is a simple packet format for tests.
type Format struct{}

// Decode decodes a packet.
func (Format) Decode(packet []byte, s *passthrough.Segment) error {
	if len(packet) < headerSize {
		return errkind.New(errkind.Malformed, "packet of %d bytes is shorter than its header", len(packet))
	}
	s.Flags = passthrough.Flags(packet[0])
	s.Source = passthrough.Endpoint(binary.LittleEndian.Uint64(packet[1:]))
	s.Target = passthrough.Endpoint(binary.LittleEndian.Uint64(packet[9:]))
	s.Seq = binary.LittleEndian.Uint32(packet[17:])
	s.Ack = binary.LittleEndian.Uint32(packet[21:])
	s.Payload = packet[headerSize:]
	return nil
}

// AppendReset appends a packet that resets the flow at its caller.
func (Format) AppendReset(b []byte, flow passthrough.Flow, seq uint32) []byte {
	return Append(b, passthrough.Segment{Source: flow.Service, Target: flow.Caller, Seq: seq, Flags: passthrough.Reset})
}

// ClearReturned clears the mark of a returned packet.
func (Format) ClearReturned(packet []byte) { packet[0] &^= byte(passthrough.Returned) }

// RequestID returns the whole payload.
func (Format) RequestID(payload []byte) []byte { return payload }

// Failed reports whether the payload starts with an exclamation mark.
func (Format) Failed(payload []byte) bool { return len(payload) > 0 && payload[0] == '!' }

// Append appends an encoded packet.
func Append(b []byte, s passthrough.Segment) []byte {
	b = append(b, byte(s.Flags))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Source))
	b = binary.LittleEndian.AppendUint64(b, uint64(s.Target))
	b = binary.LittleEndian.AppendUint32(b, s.Seq)
	b = binary.LittleEndian.AppendUint32(b, s.Ack)
	return append(b, s.Payload...)
}

// Framed returns an encoded packet in a buffer with room for a frame in front.
func Framed(s passthrough.Segment) []byte {
	return Append(make([]byte, passthrough.FrameSize, passthrough.FrameSize+headerSize+len(s.Payload)), s)
}
