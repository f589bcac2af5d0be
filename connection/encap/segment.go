package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/errkind"
)

// flowHashKey is hashed before the flow key, so that flow hashes differ from other
// uses of the hash function.
const flowHashKey uint64 = 0x6265726761

// Errors of ParseSegment.
var (
	// ErrNotIPv4 is a packet that is not a complete IPv4 packet.
	ErrNotIPv4 = errkind.New(errkind.Malformed, "packet is not a complete IPv4 packet")
	// ErrNotTCP is an IPv4 packet of a protocol other than TCP.
	ErrNotTCP = errkind.New(errkind.Malformed, "packet is not TCP")
	// ErrFragment is a fragment of an IPv4 packet.
	ErrFragment = errkind.New(errkind.Malformed, "packet is a fragment")
	// ErrTCP is a packet with an invalid TCP header.
	ErrTCP = errkind.New(errkind.Malformed, "packet has an invalid TCP header")
)

// FlowKey identifies a TCP flow by its addresses and ports. It is the same for both
// directions.
type FlowKey struct {
	// Caller is the caller's IPv4 address.
	Caller [4]byte
	// Service is the service's IPv4 address.
	Service [4]byte
	// CallerPort is the caller's TCP port.
	CallerPort uint16
	// ServicePort is the service's TCP port.
	ServicePort uint16
}

// Hash returns the flow hash, which is the same in every process.
func (k FlowKey) Hash() uint64 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], flowHashKey)
	copy(b[8:], k.Caller[:])
	copy(b[12:], k.Service[:])
	binary.BigEndian.PutUint16(b[16:], k.CallerPort)
	binary.BigEndian.PutUint16(b[18:], k.ServicePort)
	return xxhash.Sum64(b[:])
}

// ServiceAddr returns the service's address and port.
func (k FlowKey) ServiceAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Service), k.ServicePort)
}

// CallerAddr returns the caller's address and port.
func (k FlowKey) CallerAddr() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(k.Caller), k.CallerPort)
}

// FlowKeyOf returns the key of the flow between the two addresses, which must
// be IPv4.
func FlowKeyOf(caller, service netip.AddrPort) FlowKey {
	return FlowKey{
		Caller:      caller.Addr().As4(),
		Service:     service.Addr().As4(),
		CallerPort:  caller.Port(),
		ServicePort: service.Port(),
	}
}

// FlowHash returns the flow hash of the flow between the two addresses.
func FlowHash(caller, service netip.AddrPort) uint64 {
	return FlowKeyOf(caller, service).Hash()
}

// Segment holds the fields of a TCP segment that the data path uses.
type Segment struct {
	// Source is the sender's address and port.
	Source netip.AddrPort
	// Destination is the receiver's address and port.
	Destination netip.AddrPort
	// Flags are the TCP flags.
	Flags header.TCPFlags
	// Sequence is the sequence number.
	Sequence uint32
	// Acknowledgement is the acknowledgement number.
	Acknowledgement uint32
	// Window is the window field of the segment, not scaled.
	Window uint16
	// WindowScale is the shift count of the window scale option in a SYN, which
	// applies to later windows.
	WindowScale uint8
	// PayloadLength is the number of data bytes.
	PayloadLength int
}

// FlowKeyToService returns the flow key of a segment from the caller to the service.
func (s *Segment) FlowKeyToService() FlowKey {
	return FlowKeyOf(s.Source, s.Destination)
}

// FlowKeyToCaller returns the flow key of a segment from the service to the caller.
func (s *Segment) FlowKeyToCaller() FlowKey {
	return FlowKeyOf(s.Destination, s.Source)
}

// ParseSegment parses the TCP segment in an IPv4 packet into s. It does not
// allocate and does not verify checksums, which the TCP endpoint does.
func ParseSegment(packet []byte, s *Segment) error {
	if len(packet) < header.IPv4MinimumSize {
		return ErrNotIPv4
	}
	ip := header.IPv4(packet)
	if !ip.IsValid(len(packet)) {
		return ErrNotIPv4
	}
	if ip.TransportProtocol() != header.TCPProtocolNumber {
		return ErrNotTCP
	}
	if ip.More() || ip.FragmentOffset() != 0 {
		return ErrFragment
	}
	payload := packet[ip.HeaderLength():ip.TotalLength()]
	if len(payload) < header.TCPMinimumSize {
		return ErrTCP
	}
	tcp := header.TCP(payload)
	if offset := int(tcp.DataOffset()); offset < header.TCPMinimumSize || offset > len(payload) {
		return ErrTCP
	}
	s.Source = netip.AddrPortFrom(netip.AddrFrom4([4]byte(packet[12:16])), tcp.SourcePort())
	s.Destination = netip.AddrPortFrom(netip.AddrFrom4([4]byte(packet[16:20])), tcp.DestinationPort())
	s.Flags = tcp.Flags()
	s.Sequence = tcp.SequenceNumber()
	s.Acknowledgement = tcp.AckNumber()
	s.Window = tcp.WindowSize()
	s.WindowScale = windowScale(tcp)
	s.PayloadLength = len(payload) - int(tcp.DataOffset())
	return nil
}

// windowScale returns the window scale of a SYN, or 0 for a SYN without the option
// and for any other segment.
func windowScale(tcp header.TCP) uint8 {
	if tcp.Flags()&header.TCPFlagSyn == 0 {
		return 0
	}
	isSynAck := tcp.Flags()&header.TCPFlagAck != 0
	options := header.ParseSynOptions(tcp.Options(), isSynAck)
	return uint8(max(options.WS, 0))
}
