package flows_test

import (
	"fmt"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
	"bergamotbank/connection/flows"
	"bergamotbank/version/steering"
)

const (
	syn = header.TCPFlagSyn
	ack = header.TCPFlagAck
	rst = header.TCPFlagRst
	fin = header.TCPFlagFin
)

var serviceAddr = netip.MustParseAddrPort("198.18.0.10:80")

// callerAddr returns the address of caller i.
func callerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 19, byte(i >> 8), byte(i)}), 40000)
}

func agentAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(1 + i>>8), byte(i)}), 4000)
}

// server returns the server of agent i; even ones are in junin, odd in pasco.
func server(i int) steering.Server {
	domain := "junin"
	if i%2 == 1 {
		domain = "pasco"
	}
	return steering.Server{
		Name: fmt.Sprintf("server-%03d", i), Domain: domain, Addr: agentAddr(i), Weight: steering.FullWeight,
	}
}

// fleet returns the servers of the agents from first to last.
func fleet(first, last int) []steering.Server {
	var list []steering.Server
	for i := first; i <= last; i++ {
		list = append(list, server(i))
	}
	return list
}

// toService and toCaller return segments of a caller's flow.
func toService(caller int, flags header.TCPFlags, sequence, acknowledgement uint32) *encap.Segment {
	return &encap.Segment{
		Source: callerAddr(caller), Destination: serviceAddr, Flags: flags,
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
}

func toCaller(caller int, flags header.TCPFlags, sequence, acknowledgement uint32) *encap.Segment {
	return &encap.Segment{
		Source: serviceAddr, Destination: callerAddr(caller), Flags: flags,
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
}

// world is a set of balancers and agents whose views change one by one.
type world struct {
	now       time.Time
	agents    []*flows.Core
	byAddr    map[netip.AddrPort]int
	balancers []steering.History
	// lose tells whether to lose the next message between agents.
	lose func() bool
	// stopped are agents that take no packet.
	stopped map[int]bool

	messageBytes, messageHashes int
}

func newWorld(agents, balancers int, options flows.Options) *world {
	w := &world{
		now:       time.Unix(1_000_000, 0),
		byAddr:    make(map[netip.AddrPort]int),
		balancers: make([]steering.History, balancers),
		lose:      func() bool { return false },
		stopped:   make(map[int]bool),
	}
	for i := range agents {
		options.Self = agentAddr(i)
		core := flows.New(options)
		core.SetService(serviceAddr)
		w.agents = append(w.agents, core)
		w.byAddr[agentAddr(i)] = i
	}
	return w
}

func (w *world) steer(balancer int, servers []steering.Server) {
	w.balancers[balancer] = w.balancers[balancer].Push(steering.Build(servers), w.now, 2*time.Minute)
}

// settle gives all processes the same view.
func (w *world) settle(servers []steering.Server) {
	for i := range w.balancers {
		w.steer(i, servers)
	}
	for _, a := range w.agents {
		a.SetServers(servers, nil, w.now)
	}
}

// pass lets time go by, with messages between agents.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(flows.TickInterval)
		for i, a := range w.agents {
			for _, m := range a.Tick(w.now) {
				w.deliver(i, m)
			}
		}
	}
}

func (w *world) deliver(from int, m flows.Message) {
	w.messageHashes += len(m.Hashes)
	w.messageBytes += len(encap.AppendHashes(nil, m.Kind, agentAddr(from), m.Hashes))
	to, known := w.byAddr[m.To]
	if !known || w.stopped[to] || w.lose() {
		return
	}
	if m.Kind == encap.KindRelease {
		w.agents[to].Released(agentAddr(from), m.Hashes)
		return
	}
	w.agents[to].Registered(agentAddr(from), m.Hashes, w.now)
}

// outcome is where a segment ended.
type outcome struct {
	delivered bool
	agent     int
	reason    flows.Reason
	path      []int
}

// send carries a segment from a balancer over the agents to its end.
func (w *world) send(balancer int, s *encap.Segment) outcome {
	var candidates [steering.MaxCandidates]netip.AddrPort
	n := w.balancers[balancer].Candidates(s.FlowKeyToService().Hash(), &candidates)
	if n == 0 {
		return outcome{}
	}
	h := &encap.Header{Kind: encap.KindPacket, HopLimit: encap.DefaultHopLimit}
	for _, addr := range candidates[:n] {
		h.Add(addr)
	}
	h.Visit(candidates[0])
	return w.sendTo(candidates[0], s, h)
}

func (w *world) sendTo(to netip.AddrPort, s *encap.Segment, h *encap.Header) outcome {
	var o outcome
	for {
		o.agent = w.byAddr[to]
		if w.stopped[o.agent] {
			return o
		}
		o.path = append(o.path, o.agent)
		d := w.agents[o.agent].Inbound(s, h, w.now)
		if d.Verdict != flows.Pass {
			o.delivered = d.Verdict == flows.Deliver
			o.reason = d.Reason
			return o
		}
		to = d.To
	}
}

// ownISN is the initial sequence number of an agent's endpoint.
func ownISN(agent int) uint32 {
	return 1000 * uint32(agent+1)
}

// answer lets an agent's endpoint send its SYN-ACK.
func (w *world) answer(agent, caller int) flows.Decision {
	return w.agents[agent].Outbound(toCaller(caller, syn|ack, ownISN(agent), 101), w.now)
}

// establish opens a flow through a balancer and returns its holder.
func (w *world) establish(balancer, caller int) int {
	o := w.send(balancer, toService(caller, syn, 100, 0))
	if !o.delivered {
		panic(fmt.Sprintf("SYN dropped: %v", o.reason))
	}
	w.answer(o.agent, caller)
	w.send(balancer, toService(caller, ack, 101, ownISN(o.agent)+1))
	return o.agent
}

// data sends a segment of an established flow.
func (w *world) data(balancer, caller, holder int) outcome {
	return w.send(balancer, toService(caller, ack, 101, ownISN(holder)+1))
}

// balancerHolding returns a caller whose flow agent i owns under the table.
func callerOwnedBy(t *steering.Table, agent int) int {
	for caller := 1; ; caller++ {
		index, _ := t.Lookup(encap.FlowHash(callerAddr(caller), serviceAddr))
		if t.Server(index).Addr == agentAddr(agent) {
			return caller
		}
	}
}
