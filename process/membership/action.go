package membership

import (
	"net/netip"

	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// action is a side effect that a core requests; Node and Announcer perform it.
type action interface{ isAction() }

// sendAction sends one datagram.
type sendAction struct {
	to       netip.AddrPort
	envelope *pb.Envelope
}

// recordAction records an event.
type recordAction struct{ event event.Event }

// publishViewAction publishes a changed view.
type publishViewAction struct{}

// newerVersionAction reports a peer with a newer configuration version.
type newerVersionAction struct {
	version uint64
	from    Peer
}

// pullAction fetches the whole state from a balancer.
type pullAction struct{ from netip.AddrPort }

// fetchAction fetches the view of the given services from a balancer.
type fetchAction struct {
	from     netip.AddrPort
	services []string
	buckets  []uint32
}

// readDirectoryAction reads the addresses of balancers from the directory.
type readDirectoryAction struct{}

func (sendAction) isAction()          {}
func (recordAction) isAction()        {}
func (publishViewAction) isAction()   {}
func (newerVersionAction) isAction()  {}
func (pullAction) isAction()          {}
func (fetchAction) isAction()         {}
func (readDirectoryAction) isAction() {}
