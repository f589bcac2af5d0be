package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
)

// SetAgents replaces the view of the agents that register flows with each other.
// Flows whose owners changed or lost their memory are registered anew. settled
// tells that no agent is missing from the view.
func (g *Gate) SetAgents(agents []Agent, settled bool) {
	runs := make(map[passthrough.Endpoint]uint64, len(g.agents))
	for _, agent := range g.agents {
		runs[agent.Peer] = agent.Run
	}
	former := g.owners
	g.agents = agents
	alive := make([]passthrough.Owner, 0, len(agents))
	renewed := map[passthrough.Endpoint]bool{}
	for _, agent := range agents {
		if agent.Silent {
			continue
		}
		alive = append(alive, passthrough.Owner{Name: agent.Name, Peer: agent.Peer})
		renewed[agent.Peer] = runs[agent.Peer] != agent.Run
	}
	g.owners = passthrough.NewOwners(alive)
	g.SetDiscoveryComplete(settled)
	for key, f := range g.flows {
		if !f.registered || f.phase != phaseOpen {
			continue
		}
		a, b := former.Pair(key)
		c, d := g.owners.Pair(key)
		if (c != a && c != b) || renewed[c] {
			g.enqueue(c, key)
		}
		if (d != a && d != b) || renewed[d] {
			g.enqueue(d, key)
		}
	}
}

// SetDiscoveryComplete tells whether no agent is missing from the view. Searches that waited
// only for that are concluded.
func (g *Gate) SetDiscoveryComplete(settled bool) {
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

// HandleRegister takes a datagram of kind Register.
func (g *Gate) HandleRegister(datagram []byte) {
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
		first, second := g.owners.Pair(key)
		g.enqueue(first, key)
		if second != first {
			g.enqueue(second, key)
		}
	}
	g.young = append(g.young[:0], g.young[done:]...)
}
