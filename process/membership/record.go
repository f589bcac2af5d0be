package membership

import (
	"cmp"
	"net/netip"
)

// State is the state of a backend server as its agent announces it.
type State uint8

// The states of a backend server.
const (
	// Cold takes no more load than a cold backend server bears.
	Cold State = iota
	// Warming takes growing load.
	Warming
	// Warm takes full load.
	Warm
	// Draining takes no new work and finishes what it has.
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
	// Incarnation grows with each start of the agent.
	Incarnation uint64
	// Sequence grows with each change within an incarnation.
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
	// Weight is the share of new flows in percent of a full server.
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
	// Incarnation grows with each start and with each refuted suspicion.
	Incarnation uint64
	// Packet is the UDP address for callers' packets.
	Packet netip.AddrPort
	// Control is the TCP and UDP address for control messages.
	Control netip.AddrPort
	// MinProtocol and MaxProtocol are the protocol versions that the balancer supports.
	MinProtocol, MaxProtocol uint8
}

// View is an immutable snapshot of what is alive. It must not be modified.
type View struct {
	// Servers are the live backend servers, sorted by name.
	Servers []Record
	// Peers are the live balancers besides the process itself, sorted by name.
	Peers []Peer
}

// status tells whether a server or peer is alive. Within one incarnation and
// sequence a higher status replaces a lower one.
type status uint8

const (
	statusAlive status = iota
	// statusSuspect is a peer that did not answer its probes.
	statusSuspect
	// statusSilent is a server without heartbeats or a peer held for dead.
	statusSilent
	// statusGone has left by itself or was forgotten after long silence.
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
