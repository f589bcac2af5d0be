package membership

import (
	"cmp"
	"net/netip"
)

// State is the state of a backend server as its agent announces it.
type State uint8

// The states of a backend server.
const (
	// Cold takes only the limited load that a cold backend server can handle.
	Cold State = iota
	// Warming takes increasing load.
	Warming
	// Warm takes full load.
	Warm
	// Draining takes no new work and completes the work in progress.
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Cold:
		return "cold"
	case Warming:
		return "warming"
	case Warm:
		return "warm"
	case Draining:
		return "draining"
	}
	return "unknown"
}

// Record is what the agent of a backend server announces about it.
type Record struct {
	// Server is the name of the backend server.
	Server string
	// Incarnation increases with each start of the agent.
	Incarnation uint64
	// Sequence increases with each change within an incarnation.
	Sequence uint64
	// Service is the name of the service that the backend server serves.
	Service string
	// Domain is the failure domain of the backend server.
	Domain string
	// Packet is the UDP address for encapsulated packets.
	Packet netip.AddrPort
	// Control is the TCP and UDP address for control messages.
	Control netip.AddrPort
	// State is the announced state.
	State State
	// Weight is the share of new flows in percent of that of a server at full weight.
	Weight uint16
	// MinProtocol and MaxProtocol are the protocol versions that the agent supports.
	MinProtocol, MaxProtocol uint8
}

// Peer is what a balancer announces about itself.
type Peer struct {
	// Name is the name of the balancer.
	Name string
	// Domain is the failure domain of the balancer.
	Domain string
	// Incarnation increases with each start and with each refuted suspicion.
	Incarnation uint64
	// Packet is the UDP address for callers' packets.
	Packet netip.AddrPort
	// Control is the TCP and UDP address for control messages.
	Control netip.AddrPort
	// MinProtocol and MaxProtocol are the protocol versions that the balancer supports.
	MinProtocol, MaxProtocol uint8
}

// View is an immutable snapshot of the live servers and balancers.
type View struct {
	// Servers are the live backend servers, sorted by name.
	Servers []Record
	// Peers are the live balancers besides the process itself, sorted by name.
	Peers []Peer
}

// status is the liveness of a server or peer. Within one incarnation and sequence
// a higher status replaces a lower one.
type status uint8

const (
	statusAlive status = iota
	// statusSuspect is a peer that did not acknowledge its probes.
	statusSuspect
	// statusSilent is a server without heartbeats or a peer that is considered failed.
	statusSilent
	// statusGone has left, was silent for longer than SilentTTL, or was replaced
	// at its address.
	statusGone
)

// compareVersions orders two announcements of the same name: by incarnation,
// sequence and status.
func compareVersions(incA, seqA uint64, a status, incB, seqB uint64, b status) int {
	if order := cmp.Compare(incA, incB); order != 0 {
		return order
	}
	if order := cmp.Compare(seqA, seqB); order != 0 {
		return order
	}
	return cmp.Compare(a, b)
}
