package passthrough

import "bergamotbank/version/steering"

// Owner is an agent that may keep registrations of flows.
type Owner struct {
	// Name is the unique name, Peer the peer address.
	Name string
	Peer Endpoint
}

// Owners tells which two agents keep the registration of a flow. All processes with
// the same agents agree. It is not safe for concurrent use.
type Owners struct {
	agents []Owner
	// table is nil until it is needed: after a restart of everything agents join one
	// by one, and a table for each would keep a small VM busy.
	table *steering.Table
}

// NewOwners returns the owners among the given agents.
func NewOwners(agents []Owner) *Owners { return &Owners{agents: agents} }

// Pair returns the two owners of a flow, 0 when there is no agent. Both are equal when
// there is only one agent, and for a few flows in a hundred when there are two.
func (o *Owners) Pair(flow Flow) (first, second Endpoint) {
	if o.table == nil {
		servers := make([]steering.Server, 0, len(o.agents))
		for _, agent := range o.agents {
			servers = append(servers, steering.Server{Name: agent.Name, Addr: agent.Peer.AddrPort(), Weight: steering.FullWeight})
		}
		o.table = steering.Build(servers)
	}
	a, b, ok := o.table.Pair(flow.Hash())
	if !ok {
		return 0, 0
	}
	return EndpointOf(o.table.Addr(a)), EndpointOf(o.table.Addr(b))
}
