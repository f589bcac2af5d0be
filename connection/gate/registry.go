package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
)

// SetAgents replaces the view of the agents that register flows with each other.
// Flows whose owners have changed or restarted are registered again.
// discoveryComplete is true if no agent is missing from the view.
func (g *Gate) SetAgents(agents []Agent, discoveryComplete bool) {
	runs := make(map[passthrough.Endpoint]uint64, len(g.agents))
	for _, agent := range g.agents {
		runs[agent.Peer] = agent.Run
	}
	previous := g.owners
	g.agents = agents
	alive := make([]passthrough.Owner, 0, len(agents))
	restarted := map[passthrough.Endpoint]bool{}
	for _, agent := range agents {
		if agent.TimedOut {
			continue
		}
		alive = append(alive, passthrough.Owner{Name: agent.Name, Peer: agent.Peer})
		restarted[agent.Peer] = runs[agent.Peer] != agent.Run
	}
	g.owners = passthrough.NewOwners(alive)
	g.SetDiscoveryComplete(discoveryComplete)
	for key, f := range g.flows {
		if !f.registered || f.phase != phaseOpen {
			continue
		}
		previousFirst, previousSecond := previous.Pair(key)
		first, second := g.owners.Pair(key)
		if (first != previousFirst && first != previousSecond) || restarted[first] {
			g.enqueue(first, key)
		}
		if (second != previousFirst && second != previousSecond) || restarted[second] {
			g.enqueue(second, key)
		}
	}
}

// SetDiscoveryComplete sets whether all agents are in the view. Searches that were
// only waiting for this are concluded.
func (g *Gate) SetDiscoveryComplete(complete bool) {
	before := g.discoveryComplete
	g.discoveryComplete = complete
	if before || !complete {
		return
	}
	for key, query := range g.searches.All() {
		g.concludeSearch(key, query)
	}
}

func (g *Gate) enqueue(owner passthrough.Endpoint, key passthrough.Flow) {
	if owner != 0 && owner != g.options.Self {
		g.pendingRegistrations[owner] = append(g.pendingRegistrations[owner], key)
	}
}

// HandleRegister processes a datagram of kind Register.
func (g *Gate) HandleRegister(datagram []byte) {
	err := passthrough.ParseRegister(datagram, func(holder passthrough.Endpoint, incarnation uint32, key passthrough.Flow) {
		g.registry.Put(key, registration{holder: holder, incarnation: incarnation})
	})
	if err != nil {
		g.counters.Malformed++
	}
}

// Tick updates averages, expires entries and sends registrations that are due.
func (g *Gate) Tick(now time.Duration) {
	g.requests.update(now)
	g.health.update(now)
	g.registry.Tick(now)
	g.probes.Tick(now)
	g.searches.Tick(now)
	g.queueDueRegistrations(now)
	for owner, keys := range g.pendingRegistrations {
		for len(keys) > 0 {
			n := min(len(keys), passthrough.MaxRegistrations)
			g.options.Sender.Send(passthrough.AppendRegister(nil, g.options.Self, g.server.Incarnation, keys[:n]), owner)
			keys = keys[n:]
		}
		delete(g.pendingRegistrations, owner)
	}
}

// queueDueRegistrations queues the registrations of flows that have been open for
// registerAfter. g.unregistered is in the order of opening.
func (g *Gate) queueDueRegistrations(now time.Duration) {
	done := 0
	for _, key := range g.unregistered {
		f := g.flows[key]
		if f != nil && f.phase == phaseOpen && now-f.openedAt < registerAfter {
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
	g.unregistered = append(g.unregistered[:0], g.unregistered[done:]...)
}
