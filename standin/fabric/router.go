package fabric

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"
)

const (
	ipv4HeaderBytes   = 20
	ipv4Version       = 4
	totalLengthOffset = 2
	sourceOffset      = 12
	destinationOffset = 16
	addressBytes      = 4
	// maxLearnedAddresses limits the number of learned inner addresses.
	maxLearnedAddresses = 1 << 16
)

// verdict is what happens to a packet.
type verdict uint8

const (
	verdictForward verdict = iota
	// verdictMalformed is a datagram that is not an IPv4 packet.
	verdictMalformed
	// verdictNoBalancer is a packet for a service while no balancer is alive.
	verdictNoBalancer
	// verdictUnknownDestination is a packet for an address that was never learned.
	verdictUnknownDestination
	// verdictBlocked is a packet between blocked addresses.
	verdictBlocked
	// verdictCut is a packet on a link that is cut.
	verdictCut
	// verdictLost is a packet that the simulated packet loss dropped.
	verdictLost
	// verdictOverflow is a packet that was dropped because the delay queue was
	// full.
	verdictOverflow

	verdictCount
)

// router chooses the receivers of packets. It is not safe for concurrent use.
type router struct {
	services netip.Prefix
	learned  map[netip.Addr]netip.AddrPort
	random   *rand.Rand
}

func newRouter(services netip.Prefix, seed uint64) *router {
	return &router{
		services: services,
		learned:  make(map[netip.Addr]netip.AddrPort),
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// route returns the receiver of a packet that came from a UDP address. Packets
// for service addresses go to a random balancer.
func (r *router) route(packet []byte, from netip.AddrPort, balancers []netip.AddrPort) (netip.AddrPort, verdict) {
	source, destination, ok := parseAddresses(packet)
	if !ok {
		return netip.AddrPort{}, verdictMalformed
	}
	r.learn(source, from)
	if r.services.Contains(destination) {
		if len(balancers) == 0 {
			return netip.AddrPort{}, verdictNoBalancer
		}
		return balancers[r.random.IntN(len(balancers))], verdictForward
	}
	to, known := r.learned[destination]
	if !known {
		return netip.AddrPort{}, verdictUnknownDestination
	}
	return to, verdictForward
}

// otherBalancer returns a random balancer that is not the receiver of a packet.
// There is none if the receiver is no balancer or the only one.
func (r *router) otherBalancer(receiver netip.AddrPort, balancers []netip.AddrPort) (netip.AddrPort, bool) {
	index := slices.Index(balancers, receiver)
	if index < 0 || len(balancers) < 2 {
		return netip.AddrPort{}, false
	}
	step := 1 + r.random.IntN(len(balancers)-1)
	return balancers[(index+step)%len(balancers)], true
}

// learn stores the UDP address of an inner address that is no service address.
func (r *router) learn(source netip.Addr, from netip.AddrPort) {
	if r.services.Contains(source) || r.learned[source] == from {
		return
	}
	if _, known := r.learned[source]; !known && len(r.learned) >= maxLearnedAddresses {
		return
	}
	r.learned[source] = from
}

// parseAddresses reads the addresses of an IPv4 packet.
func parseAddresses(packet []byte) (source, destination netip.Addr, ok bool) {
	if len(packet) < ipv4HeaderBytes || packet[0]>>4 != ipv4Version {
		return source, destination, false
	}
	headerBytes := int(packet[0]&0x0f) * 4
	total := int(binary.BigEndian.Uint16(packet[totalLengthOffset:]))
	if headerBytes < ipv4HeaderBytes || total < headerBytes || total > len(packet) {
		return source, destination, false
	}
	source = netip.AddrFrom4([addressBytes]byte(packet[sourceOffset:]))
	destination = netip.AddrFrom4([addressBytes]byte(packet[destinationOffset:]))
	return source, destination, true
}
