package passthrough

import "bergamotbank/version/steering"

// Owner is an agent that may store registrations of flows.
type Owner struct {
	// Name is the unique name of the agent, Peer its peer address.
	Name string
	Peer Endpoint
}

// Owners maps each flow to the two agents that store its registration. The mapping
// is the same in all processes with the same agents. It is not safe for concurrent
// use.
type Owners struct {
	agents []Owner
	// table is nil until it is needed. After a restart of the whole deployment
	// agents join one by one, and building a table for each of them would overload a
	// small VM.
	table *steering.Table
}

// NewOwners returns the mapping for the given agents.
func NewOwners(agents []Owner) *Owners { return &Owners{agents: agents} }

// Pair returns the two owners of a flow, 0 if there is no agent. Both are the same
// if there is only one agent, and for a few percent of the flows if there are two.
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
