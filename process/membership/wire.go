package membership

import (
	"encoding/binary"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"bergamotbank/errkind"
	pb "bergamotbank/process/membership/membershippb"
)

const (
	// datagramFormat is the version of the UDP datagram format.
	datagramFormat = 1
	// maxDatagram is the maximum UDP payload in bytes; it fits a common MTU.
	maxDatagram = 1200
	// maxName is the maximum length of a name in bytes.
	maxName = 64
	// maxWeight is the maximum announced weight in percent.
	maxWeight = 1000
)

// decodeEnvelope decodes one UDP datagram. Errors are of kind Malformed.
func decodeEnvelope(datagram []byte) (*pb.Envelope, error) {
	envelope := &pb.Envelope{}
	if err := proto.Unmarshal(datagram, envelope); err != nil {
		return nil, errkind.Wrap(err, errkind.Malformed, "decode datagram")
	}
	if envelope.Format != datagramFormat {
		return nil, errkind.New(errkind.Malformed, "datagram format %d is not supported", envelope.Format)
	}
	if !validName(envelope.Sender) {
		return nil, errkind.New(errkind.Malformed, "datagram without a valid sender")
	}
	return envelope, nil
}

// encodeEnvelope encodes one UDP datagram. Errors are of kind Internal.
func encodeEnvelope(envelope *pb.Envelope) ([]byte, error) {
	datagram, err := proto.Marshal(envelope)
	return datagram, errkind.Wrap(err, errkind.Internal, "encode datagram")
}

func validName(name string) bool {
	return name != "" && len(name) <= maxName
}

func endpointToWire(addr netip.AddrPort) *pb.Endpoint {
	if !addr.Addr().Is4() {
		return nil
	}
	octets := addr.Addr().As4()
	return &pb.Endpoint{Ip: binary.BigEndian.Uint32(octets[:]), Port: uint32(addr.Port())}
}

func endpointFromWire(endpoint *pb.Endpoint) (netip.AddrPort, error) {
	if endpoint == nil || endpoint.Port == 0 || endpoint.Port > 0xffff {
		return netip.AddrPort{}, errkind.New(errkind.Malformed, "address is missing or has no valid port")
	}
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], endpoint.Ip)
	return netip.AddrPortFrom(netip.AddrFrom4(octets), uint16(endpoint.Port)), nil
}

// packAddr packs an IPv4 address and a port into one number.
func packAddr(addr netip.AddrPort) uint64 {
	octets := addr.Addr().As4()
	return uint64(binary.BigEndian.Uint32(octets[:]))<<16 | uint64(addr.Port())
}

func recordToWire(r Record, st status) *pb.Record {
	return &pb.Record{
		Server:      r.Server,
		Incarnation: r.Incarnation,
		Sequence:    r.Sequence,
		Service:     r.Service,
		Domain:      r.Domain,
		Packet:      endpointToWire(r.Packet),
		Control:     endpointToWire(r.Control),
		State:       uint32(r.State),
		Weight:      uint32(r.Weight),
		MinProtocol: uint32(r.MinProtocol),
		MaxProtocol: uint32(r.MaxProtocol),
		Status:      uint32(st),
	}
}

// recordFromWire validates and converts a record. Errors are of kind Malformed.
func recordFromWire(m *pb.Record) (Record, status, error) {
	if m == nil || !validName(m.Server) || !validName(m.Service) || !validName(m.Domain) {
		return Record{}, 0, errkind.New(errkind.Malformed, "record without valid names")
	}
	if m.State > uint32(Draining) || m.Weight > maxWeight || m.Status > uint32(statusGone) {
		return Record{}, 0, errkind.New(errkind.Malformed, "record of %q has a value out of range", m.Server)
	}
	if m.MaxProtocol > 0xff || m.MinProtocol > m.MaxProtocol {
		return Record{}, 0, errkind.New(errkind.Malformed, "record of %q has an invalid protocol version range", m.Server)
	}
	packet, err := endpointFromWire(m.Packet)
	if err != nil {
		return Record{}, 0, err
	}
	control, err := endpointFromWire(m.Control)
	if err != nil {
		return Record{}, 0, err
	}
	return Record{
		Server:      m.Server,
		Incarnation: m.Incarnation,
		Sequence:    m.Sequence,
		Service:     m.Service,
		Domain:      m.Domain,
		Packet:      packet,
		Control:     control,
		State:       State(m.State),
		Weight:      uint16(m.Weight),
		MinProtocol: uint8(m.MinProtocol),
		MaxProtocol: uint8(m.MaxProtocol),
	}, status(m.Status), nil
}

func peerToWire(p Peer, st status) *pb.Peer {
	return &pb.Peer{
		Name:        p.Name,
		Domain:      p.Domain,
		Incarnation: p.Incarnation,
		Packet:      endpointToWire(p.Packet),
		Control:     endpointToWire(p.Control),
		MinProtocol: uint32(p.MinProtocol),
		MaxProtocol: uint32(p.MaxProtocol),
		Status:      uint32(st),
	}
}

// peerFromWire validates and converts a peer. Errors are of kind Malformed.
func peerFromWire(m *pb.Peer) (Peer, status, error) {
	if m == nil || !validName(m.Name) || !validName(m.Domain) {
		return Peer{}, 0, errkind.New(errkind.Malformed, "peer without valid names")
	}
	if m.Status > uint32(statusGone) || m.MaxProtocol > 0xff || m.MinProtocol > m.MaxProtocol {
		return Peer{}, 0, errkind.New(errkind.Malformed, "peer %q has a value out of range", m.Name)
	}
	packet, err := endpointFromWire(m.Packet)
	if err != nil {
		return Peer{}, 0, err
	}
	control, err := endpointFromWire(m.Control)
	if err != nil {
		return Peer{}, 0, err
	}
	return Peer{
		Name:        m.Name,
		Domain:      m.Domain,
		Incarnation: m.Incarnation,
		Packet:      packet,
		Control:     control,
		MinProtocol: uint8(m.MinProtocol),
		MaxProtocol: uint8(m.MaxProtocol),
	}, status(m.Status), nil
}
