// Package encap encodes and decodes the datagrams that balancers send to agents
// and agents send to each other: a bergamotbank header followed by a caller's
// IPv4 packet or by a list of flow hashes.
//
// Header layout, in network byte order:
//
//	0      magic
//	1      protocol version
//	2      kind
//	3      hop limit
//	4-11   configuration version
//	12     number of addresses n, at most MaxAddresses
//	13     bit set of the addresses that the packet has been sent to
//	14     n addresses of 6 bytes: IPv4 address and port
//
// A caller's unencapsulated IPv4 packet, as the fabric sends it, begins with the
// nibble 0x4 and cannot be mistaken for this header.
package encap

import (
	"encoding/binary"
	"net/netip"

	"bergamotbank/errkind"
)

const (
	// Magic is the first byte of every datagram with this header.
	Magic = 0xBB
	// MinVersion is the oldest protocol version that this build supports.
	MinVersion = 1
	// MaxVersion is the newest protocol version that this build supports.
	MaxVersion = 1
	// MaxAddresses is the largest number of addresses in a header.
	MaxAddresses = 8
	// DefaultHopLimit is the hop limit that a balancer sets.
	DefaultHopLimit = 6
	// MaxHeaderSize is the size of the longest header, in bytes.
	MaxHeaderSize = fixedSize + MaxAddresses*addressSize

	fixedSize   = 14
	addressSize = 6

	offsetVersion       = 1
	offsetKind          = 2
	offsetHopLimit      = 3
	offsetConfigVersion = 4
	offsetCount         = 12
	offsetVisited       = 13
)

// Kind identifies what follows the header.
type Kind uint8

// The kinds of datagrams.
const (
	// KindPacket is a caller's IPv4 packet.
	KindPacket Kind = 1
	// KindRegistration is a list of hashes of flows that the agent at the first
	// address holds, that is, whose connections it terminates.
	KindRegistration Kind = 2
	// KindRelease is a list of hashes of flows that the agent at the first address
	// no longer holds.
	KindRelease Kind = 3
	// KindRedirectedPacket is a caller's IPv4 packet that the owner at the first
	// address redirected to the agent that registered the flow with it.
	KindRedirectedPacket Kind = 4
)

// Header is the decoded header of a datagram.
type Header struct {
	// Kind identifies what follows the header.
	Kind Kind
	// HopLimit is the number of times that agents may still forward the packet.
	HopLimit uint8
	// ConfigVersion is the configuration version that the balancer used.
	ConfigVersion uint64

	addresses [MaxAddresses]netip.AddrPort
	count     uint8
	visited   uint8
}

// IsPacket reports whether a caller's IPv4 packet follows the header.
func (h *Header) IsPacket() bool {
	return h.Kind == KindPacket || h.Kind == KindRedirectedPacket
}

// Len returns the number of addresses.
func (h *Header) Len() int {
	return int(h.count)
}

// Address returns the address at index i, which must be below Len.
func (h *Header) Address(i int) netip.AddrPort {
	return h.addresses[i]
}

// Add appends an address that is not marked as visited. It returns false if the
// header is full.
func (h *Header) Add(addr netip.AddrPort) bool {
	if h.count == MaxAddresses {
		return false
	}
	h.addresses[h.count] = addr
	h.count++
	return true
}

// Visited reports whether the packet has been sent to the address.
func (h *Header) Visited(addr netip.AddrPort) bool {
	for i := range h.count {
		if h.addresses[i] == addr && h.visited&(1<<i) != 0 {
			return true
		}
	}
	return false
}

// Visit marks the address as visited and appends it if it is not listed. It
// returns false if the address is not listed and the header is full.
func (h *Header) Visit(addr netip.AddrPort) bool {
	for i := range h.count {
		if h.addresses[i] == addr {
			h.visited |= 1 << i
			return true
		}
	}
	if !h.Add(addr) {
		return false
	}
	h.visited |= 1 << (h.count - 1)
	return true
}

// Size returns the encoded size of the header in bytes.
func (h *Header) Size() int {
	return fixedSize + int(h.count)*addressSize
}

// Put encodes the header into the first Size bytes of b, which must be long
// enough. Addresses must be IPv4. It returns Size.
func (h *Header) Put(b []byte) int {
	b[0] = Magic
	b[offsetVersion] = MaxVersion
	b[offsetKind] = byte(h.Kind)
	b[offsetHopLimit] = h.HopLimit
	binary.BigEndian.PutUint64(b[offsetConfigVersion:], h.ConfigVersion)
	b[offsetCount] = h.count
	b[offsetVisited] = h.visited
	offset := fixedSize
	for i := range h.count {
		putAddress(b[offset:], h.addresses[i])
		offset += addressSize
	}
	return offset
}

// Decoding errors. They are preallocated, so that counting an invalid datagram
// does not allocate.
var (
	// ErrTruncated is a datagram that ends inside the header.
	ErrTruncated = errkind.New(errkind.Malformed, "datagram ends inside the header")
	// ErrMagic is a datagram without the magic byte.
	ErrMagic = errkind.New(errkind.Malformed, "datagram has no bergamotbank header")
	// ErrVersion is a datagram of a protocol version that this build does not support.
	ErrVersion = errkind.New(errkind.Malformed, "datagram has an unsupported protocol version")
	// ErrKind is a datagram of an unknown kind.
	ErrKind = errkind.New(errkind.Malformed, "datagram has an unknown kind")
	// ErrAddresses is a header with an invalid address list.
	ErrAddresses = errkind.New(errkind.Malformed, "header has an invalid address list")
)

// Decode decodes the header at the start of b and returns the bytes that follow
// it, which share memory with b. It does not allocate.
func (h *Header) Decode(b []byte) (rest []byte, err error) {
	if len(b) == 0 || b[0] != Magic {
		return nil, ErrMagic
	}
	if len(b) < fixedSize {
		return nil, ErrTruncated
	}
	if b[offsetVersion] < MinVersion || b[offsetVersion] > MaxVersion {
		return nil, ErrVersion
	}
	h.Kind = Kind(b[offsetKind])
	if h.Kind < KindPacket || h.Kind > KindRedirectedPacket {
		return nil, ErrKind
	}
	h.HopLimit = b[offsetHopLimit]
	h.ConfigVersion = binary.BigEndian.Uint64(b[offsetConfigVersion:])
	h.count = b[offsetCount]
	h.visited = b[offsetVisited]
	if h.count > MaxAddresses || h.visited>>h.count != 0 {
		return nil, ErrAddresses
	}
	if len(b) < h.Size() {
		return nil, ErrTruncated
	}
	return h.decodeAddresses(b)
}

func (h *Header) decodeAddresses(b []byte) ([]byte, error) {
	offset := fixedSize
	for i := range h.count {
		addr := getAddress(b[offset:])
		if addr.Port() == 0 {
			return nil, ErrAddresses
		}
		h.addresses[i] = addr
		offset += addressSize
	}
	return b[offset:], nil
}

func putAddress(b []byte, addr netip.AddrPort) {
	ip := addr.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], addr.Port())
}

func getAddress(b []byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte(b[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[4:]))
}
