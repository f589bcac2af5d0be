package membership

import (
	"net/netip"

	"bergamotbank/event"
	pb "bergamotbank/process/membership/membershippb"
)

// action is what a core asks its shell to do.
type action interface{ isAction() }

// sendAction sends one datagram.
type sendAction struct {
	to       netip.AddrPort
	envelope *pb.Envelope
}

// recordAction records an event.
type recordAction struct{ event event.Event }

// viewAction tells that the view has changed.
type viewAction struct{}

// hintAction tells that a peer was seen at a configuration version.
type hintAction struct {
	version uint64
	from    Peer
}

// pullAction fetches the whole state from a balancer.
type pullAction struct{ from netip.AddrPort }

// fetchAction fetches the view of some services from a balancer.
type fetchAction struct {
	from     netip.AddrPort
	services []string
	buckets  []uint32
}

// directoryAction reads the directory for balancers to contact.
type directoryAction struct{}

func (sendAction) isAction()      {}
func (recordAction) isAction()    {}
func (viewAction) isAction()      {}
func (hintAction) isAction()      {}
func (pullAction) isAction()      {}
func (fetchAction) isAction()     {}
func (directoryAction) isAction() {}
