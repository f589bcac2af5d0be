package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/version/steering"
)

// SetAgents replaces the view of the agents that register flows with each other.
// Flows whose owners changed or lost their memory are registered anew. settled
// tells that no agent is missing from the view.
func (g *Gate) SetAgents(agents []Agent, settled bool) {
	runs := make(map[passthrough.Endpoint]uint64, len(g.agents))
	for _, agent := range g.agents {
		runs[agent.Peer] = agent.Run
	}
	registered := g.registered()
	var former *steering.Table
	if len(registered) > 0 {
		former = g.ownerTable()
	}
	g.agents = agents
	g.owners = nil
	g.SetSettled(settled)
	if len(registered) == 0 {
		return
	}
	renewed := map[passthrough.Endpoint]bool{}
	for _, agent := range agents {
		renewed[agent.Peer] = !agent.Silent && runs[agent.Peer] != agent.Run
	}
	for _, key := range registered {
		a, b := owners(former, key)
		c, d := owners(g.ownerTable(), key)
		if (c != a && c != b) || renewed[c] {
			g.enqueue(c, key)
		}
		if (d != a && d != b) || renewed[d] {
			g.enqueue(d, key)
		}
	}
}

// registered returns the open flows that owners know.
func (g *Gate) registered() []passthrough.Flow {
	var keys []passthrough.Flow
	for key, f := range g.flows {
		if f.registered && f.phase == phaseOpen {
			keys = append(keys, key)
		}
	}
	return keys
}

// ownerTable returns the table of the agents that keep registrations. It is built
// when it is first needed: after a restart of everything members join one by one.
func (g *Gate) ownerTable() *steering.Table {
	if g.owners == nil {
		servers := make([]steering.Server, 0, len(g.agents))
		for _, agent := range g.agents {
			if !agent.Silent {
				servers = append(servers, steering.Server{Name: agent.Name, Addr: agent.Peer.AddrPort(), Weight: steering.FullWeight})
			}
		}
		g.owners = steering.Build(servers)
	}
	return g.owners
}

// owners returns two different agents for a flow where there are two.
func owners(table *steering.Table, key passthrough.Flow) (first, second passthrough.Endpoint) {
	a, b, ok := table.Pair(key.Hash())
	if !ok {
		return 0, 0
	}
	return passthrough.EndpointOf(table.Addr(a)), passthrough.EndpointOf(table.Addr(b))
}

// SetSettled tells whether no agent is missing from the view. Searches that waited
// only for that are concluded.
func (g *Gate) SetSettled(settled bool) {
	before := g.settled
	g.settled = settled
	if before || !settled {
		return
	}
	for key, question := range g.searches.All() {
		g.conclude(key, question)
	}
}

func (g *Gate) enqueue(owner passthrough.Endpoint, key passthrough.Flow) {
	if owner != 0 && owner != g.options.Self {
		g.pending[owner] = append(g.pending[owner], key)
	}
}

// Registration takes a datagram of kind Register.
func (g *Gate) Registration(datagram []byte) {
	err := passthrough.ParseRegister(datagram, func(holder passthrough.Endpoint, incarnation uint32, key passthrough.Flow) {
		g.registry.Put(key, registration{holder: holder, incarnation: incarnation})
	})
	if err != nil {
		g.counters.Malformed++
	}
}

// Tick ages what the gate keeps and sends registrations that are due.
func (g *Gate) Tick(now time.Duration) {
	g.work.update(now)
	g.health.update(now)
	g.registry.Tick(now)
	g.offers.Tick(now)
	g.searches.Tick(now)
	g.registerYoung(now)
	for owner, keys := range g.pending {
		for len(keys) > 0 {
			n := min(len(keys), passthrough.MaxRegistrations)
			g.options.Sender.Send(passthrough.AppendRegister(nil, g.options.Self, g.server.Incarnation, keys[:n]), owner)
			keys = keys[n:]
		}
		delete(g.pending, owner)
	}
}

// registerYoung queues the flows that have been open for long enough. The list is
// in the order of opening.
func (g *Gate) registerYoung(now time.Duration) {
	done := 0
	for _, key := range g.young {
		f := g.flows[key]
		if f != nil && f.phase == phaseOpen && now-f.opened < registerAfter {
			break
		}
		done++
		if f == nil || f.phase != phaseOpen || f.registered {
			continue
		}
		f.registered = true
		first, second := owners(g.ownerTable(), key)
		g.enqueue(first, key)
		if second != first {
			g.enqueue(second, key)
		}
	}
	g.young = append(g.young[:0], g.young[done:]...)
}
