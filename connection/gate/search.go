package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// search is a query to all agents for the holder of a flow.
type search struct {
	startedAt time.Duration
	ack       uint32
	// origin is the balancer that received the packet.
	origin passthrough.Endpoint
	// viewConfirmed is true once this agent knows all agents that the balancer knows.
	viewConfirmed bool
	// notHeldBy is the set of agents that have responded that their servers do not
	// hold the flow.
	notHeldBy map[passthrough.Endpoint]struct{}
}

// search queries all agents for the holder of a flow, including those of other
// services, since an older configuration version may have routed the flow's address
// to them. When no agent holds the flow, it is reset at its caller. If the balancer knows
// other agents than this one, its view is requested first: an agent that started while a
// failure domain was cut off may be known to the balancers there only.
func (g *Gate) search(d *delivery, now time.Duration) {
	if last, ok := g.searches.Get(d.flow); ok && now-last.startedAt < minSearchInterval {
		return
	}
	query := &search{startedAt: now, ack: d.segment.Ack, origin: d.frame.Origin, viewConfirmed: g.sharesView(&d.frame), notHeldBy: map[passthrough.Endpoint]struct{}{}}
	g.searches.Put(d.flow, query)
	if !query.viewConfirmed {
		g.options.RequestView(query.origin)
	}
	g.counters.Searched++
	frame := d.frame
	frame.Kind = passthrough.Search
	frame.Alternate = g.options.Self
	frame.Put(d.datagram)
	queried := 0
	for peer, agent := range g.agents {
		if g.isSearchTarget(agent) {
			queried++
			g.options.Sender.Send(d.datagram, peer)
		}
	}
	g.options.Observer.Searched(d.flow, queried)
	g.concludeSearch(d.flow, query)
}

// sharesView reports whether the balancer that received a packet knows the same agents as this
// agent, or does not tell.
func (g *Gate) sharesView(frame *passthrough.Frame) bool {
	digest := frame.ViewDigest()
	return g.options.RequestView == nil || digest == 0 || digest == g.owners.Digest()
}

// ViewReceived records that all agents that a balancer knows have been added, and concludes the
// searches that were only waiting for this.
func (g *Gate) ViewReceived(balancer passthrough.Endpoint) {
	for key, query := range g.searches.All() {
		if query.origin == balancer && !query.viewConfirmed {
			query.viewConfirmed = true
			g.concludeSearch(key, query)
		}
	}
}

// sendNotHeld responds to a search that the server does not hold the flow. It
// sends no response before the first report of the server, which may hold the flow.
func (g *Gate) sendNotHeld(d *delivery) {
	if d.frame.Alternate != 0 && g.server.State != steer.Unknown {
		g.options.Sender.Send(passthrough.AppendHolder(nil, passthrough.NotHeld, g.options.Self, d.flow), d.frame.Alternate)
	}
}

// HandleNotHeld processes a datagram of kind NotHeld.
func (g *Gate) HandleNotHeld(datagram []byte) {
	agent, flow, err := passthrough.ParseHolder(datagram)
	if err != nil {
		g.counters.Malformed++
		return
	}
	query, ok := g.searches.Get(flow)
	if !ok {
		return
	}
	query.notHeldBy[agent] = struct{}{}
	g.concludeSearch(flow, query)
}

// isSearchTarget reports whether a search queries an agent: any other agent whose
// server may hold flows.
func (g *Gate) isSearchTarget(agent Agent) bool {
	return agent.Peer != g.options.Self && !agent.ServerTerminated
}

// concludeSearch resets a flow that no agent holds, including agents that joined
// after the search began. While an agent may be missing from the view, its server
// may hold the flow, and so may the server of this agent if it is the older one and
// has not returned a packet of the flow.
func (g *Gate) concludeSearch(key passthrough.Flow, query *search) {
	if !g.discoveryComplete || !query.viewConfirmed || g.flows[key] != nil || g.server.State == steer.Unknown || g.mayHold(key) {
		return
	}
	for peer, agent := range g.agents {
		if _, responded := query.notHeldBy[peer]; !responded && g.isSearchTarget(agent) {
			return
		}
	}
	g.flows[key] = &flow{phase: phaseAborted, openedAt: query.startedAt, lastUsed: query.startedAt}
	g.reset(key, query.ack, errkind.BackendUnavailable)
}

// hasTimedOut reports whether an agent is known and presumed to have failed.
func (g *Gate) hasTimedOut(peer passthrough.Endpoint) bool {
	return g.agents[peer].TimedOut
}
