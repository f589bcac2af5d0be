package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
)

// SetAgent adds an agent to the view of the agents that register flows with each other,
// or updates it. Flows whose owners have changed or restarted are registered again at
// the next Tick.
func (g *Gate) SetAgent(agent Agent) {
	before, known := g.agents[agent.Peer]
	g.agents[agent.Peer] = agent
	alive, wasAlive := !agent.TimedOut, known && !before.TimedOut
	if alive == wasAlive && agent.Name == before.Name && agent.Run == before.Run {
		return
	}
	g.ownersChanged = true
	if !alive {
		g.owners.Remove(agent.Peer)
		return
	}
	g.owners.Add(agent.Name, agent.Peer)
	g.restartedOwners[agent.Peer] = struct{}{}
}

// RemoveAgent removes an agent from the view.
func (g *Gate) RemoveAgent(peer passthrough.Endpoint) {
	delete(g.agents, peer)
	g.owners.Remove(peer)
	g.ownersChanged = true
}

// registerAtNewOwners queues the registrations of flows whose owners have changed, or
// have restarted and lost them.
func (g *Gate) registerAtNewOwners() {
	if !g.ownersChanged {
		return
	}
	g.ownersChanged = false
	for key, f := range g.flows {
		if !f.registered || f.phase != phaseOpen {
			continue
		}
		f.owners = g.registerAt(key, f.owners)
	}
	g.registerRestored()
	clear(g.restartedOwners)
}

// registerAt queues the registration of a flow at its owners other than the previous ones,
// and at those that have restarted. It returns the owners.
func (g *Gate) registerAt(key passthrough.Flow, previous [2]passthrough.Endpoint) [2]passthrough.Endpoint {
	first, second := g.owners.Pair(key)
	owners := [2]passthrough.Endpoint{first, second}
	for i, owner := range owners {
		_, restarted := g.restartedOwners[owner]
		if known := owner == previous[0] || owner == previous[1]; (!known || restarted) && (i == 0 || owner != first) {
			g.enqueue(owner, key)
		}
	}
	return owners
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
		g.withdraw(key, g.lastEvent)
	})
	if err != nil {
		g.counters.Malformed++
	}
}

// Tick updates averages, expires entries and sends registrations that are due.
func (g *Gate) Tick(now time.Duration) {
	g.lastEvent = now
	g.stalls.tick(now)
	// Removes the reservations that have ended.
	g.backlog.Reserved(now)
	g.expireQueued(now)
	g.forwardQueued(now)
	g.requests.update(now)
	g.health.update(now)
	g.registry.Tick(now)
	g.probes.Tick(now)
	g.searches.Tick(now)
	g.registerAtNewOwners()
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
		f.owners[0], f.owners[1] = g.owners.Pair(key)
		g.enqueue(f.owners[0], key)
		if f.owners[1] != f.owners[0] {
			g.enqueue(f.owners[1], key)
		}
	}
	g.unregistered = append(g.unregistered[:0], g.unregistered[done:]...)
}
