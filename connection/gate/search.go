package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// search is a question to all agents who holds a flow.
type search struct {
	at  time.Duration
	ack uint32
	// denied are the agents that answered.
	denied map[passthrough.Endpoint]struct{}
}

// search asks all agents, also those of other services: an older version may have
// led the flow's address to them. When each has denied the flow, its caller is
// told that it has ended.
func (g *Gate) search(d *delivery, now time.Duration) {
	if last, ok := g.searches.Get(d.flow); ok && now-last.at < searchGap {
		return
	}
	question := &search{at: now, ack: d.segment.Ack, denied: map[passthrough.Endpoint]struct{}{}}
	g.searches.Put(d.flow, question)
	g.counters.Searched++
	frame := d.frame
	frame.Kind = passthrough.Search
	frame.Alternate = g.options.Self
	frame.Put(d.datagram)
	asked := 0
	for i := range g.agents {
		if g.mayDeny(&g.agents[i]) {
			asked++
			g.options.Sender.Send(d.datagram, g.agents[i].Peer)
		}
	}
	g.options.Observer.Searched(d.flow, asked)
	g.conclude(d.flow, question)
}

// deny answers a search: the server does not hold the flow. A server that has not
// been heard yet may.
func (g *Gate) deny(d *delivery) {
	if d.frame.Alternate != 0 && g.server.State != steer.Unknown {
		g.options.Sender.Send(passthrough.AppendHolder(nil, passthrough.NotHeld, g.options.Self, d.flow), d.frame.Alternate)
	}
}

// HandleNotHeld takes a datagram of kind NotHeld.
func (g *Gate) HandleNotHeld(datagram []byte) {
	agent, flow, err := passthrough.ParseHolder(datagram)
	if err != nil {
		g.counters.Malformed++
		return
	}
	question, ok := g.searches.Get(flow)
	if !ok {
		return
	}
	question.denied[agent] = struct{}{}
	g.conclude(flow, question)
}

// mayDeny tells whether an agent is to be asked: any other whose server may hold
// flows.
func (g *Gate) mayDeny(agent *Agent) bool {
	return agent.Peer != g.options.Self && !agent.ServerTerminated
}

// conclude ends a flow that every agent has denied, also those that joined since
// the search began. As long as an agent may be missing from the view the flow may
// live there.
func (g *Gate) conclude(key passthrough.Flow, question *search) {
	if !g.settled || g.flows[key] != nil {
		return
	}
	for i := range g.agents {
		if _, denied := question.denied[g.agents[i].Peer]; !denied && g.mayDeny(&g.agents[i]) {
			return
		}
	}
	g.flows[key] = &flow{phase: phaseLost, opened: question.at, used: question.at}
	g.reset(key, question.ack, errkind.BackendUnavailable)
}

// lost tells whether an agent is known and taken for lost.
func (g *Gate) lost(peer passthrough.Endpoint) bool {
	for i := range g.agents {
		if g.agents[i].Peer == peer {
			return g.agents[i].Silent
		}
	}
	return false
}
