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

// server returns the server of agent i, in failure domain junin if i is even and
// pasco if it is odd.
func server(i int) steering.Server {
	domain := "junin"
	if i%2 == 1 {
		domain = "pasco"
	}
	return steering.Server{
		Name: fmt.Sprintf("server-%03d", i), Domain: domain, Addr: agentAddr(i), Weight: steering.FullWeight,
	}
}

// serverRange returns the servers of the agents from first to last.
func serverRange(first, last int) []steering.Server {
	var list []steering.Server
	for i := first; i <= last; i++ {
		list = append(list, server(i))
	}
	return list
}

// toService returns a segment of a caller's flow, from the caller to the service.
func toService(caller int, flags header.TCPFlags, sequence, acknowledgement uint32) *encap.Segment {
	return &encap.Segment{
		Source: callerAddr(caller), Destination: serviceAddr, Flags: flags,
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
}

// toCaller returns a segment of a caller's flow, from the service to the caller.
func toCaller(caller int, flags header.TCPFlags, sequence, acknowledgement uint32) *encap.Segment {
	return &encap.Segment{
		Source: serviceAddr, Destination: callerAddr(caller), Flags: flags,
		Sequence: sequence, Acknowledgement: acknowledgement,
	}
}

// testCluster is a set of balancers and agents, each with its own view.
type testCluster struct {
	now         time.Time
	agents      []*flows.Core
	indexByAddr map[netip.AddrPort]int
	balancers   []steering.History
	// dropMessage reports whether to drop the next message between agents.
	dropMessage func() bool
	// stopped holds the agents that receive no packets.
	stopped map[int]bool

	messageBytes, messageHashes int
}

func newTestCluster(agents, balancers int, options flows.Options) *testCluster {
	c := &testCluster{
		now:         time.Unix(1_000_000, 0),
		indexByAddr: make(map[netip.AddrPort]int),
		balancers:   make([]steering.History, balancers),
		dropMessage: func() bool { return false },
		stopped:     make(map[int]bool),
	}
	for i := range agents {
		options.Self = agentAddr(i)
		core := flows.New(options)
		core.SetService(serviceAddr)
		c.agents = append(c.agents, core)
		c.indexByAddr[agentAddr(i)] = i
	}
	return c
}

// setBalancerServers sets the servers at one balancer.
func (c *testCluster) setBalancerServers(balancer int, servers []steering.Server) {
	c.balancers[balancer] = c.balancers[balancer].Push(steering.Build(servers), c.now, 2*time.Minute)
}

// setServers sets the servers at all balancers and agents.
func (c *testCluster) setServers(servers []steering.Server) {
	for i := range c.balancers {
		c.setBalancerServers(i, servers)
	}
	for _, a := range c.agents {
		a.SetServers(servers, nil, c.now)
	}
}

// advance advances the clock and delivers the messages between agents.
func (c *testCluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(flows.TickInterval)
		for i, a := range c.agents {
			for _, m := range a.Tick(c.now) {
				c.deliverMessage(i, m)
			}
		}
	}
}

func (c *testCluster) deliverMessage(from int, m flows.Message) {
	c.messageHashes += len(m.Hashes)
	c.messageBytes += len(encap.AppendHashes(nil, m.Kind, agentAddr(from), m.Hashes))
	to, known := c.indexByAddr[m.To]
	if !known || c.stopped[to] || c.dropMessage() {
		return
	}
	if m.Kind == encap.KindRelease {
		c.agents[to].HandleRelease(agentAddr(from), m.Hashes)
		return
	}
	c.agents[to].HandleRegistration(agentAddr(from), m.Hashes, c.now)
}

// outcome is the result of sending a segment.
type outcome struct {
	delivered bool
	agent     int
	reason    flows.Reason
	path      []int
}

// send sends a segment from a balancer to its first candidate and forwards it until
// an agent delivers or drops it.
func (c *testCluster) send(balancer int, s *encap.Segment) outcome {
	var candidates [steering.MaxCandidates]netip.AddrPort
	n := c.balancers[balancer].Candidates(s.FlowKeyToService().Hash(), &candidates)
	if n == 0 {
		return outcome{}
	}
	h := &encap.Header{Kind: encap.KindPacket, HopLimit: encap.DefaultHopLimit}
	for _, addr := range candidates[:n] {
		h.Add(addr)
	}
	h.Visit(candidates[0])
	return c.sendTo(candidates[0], s, h)
}

func (c *testCluster) sendTo(to netip.AddrPort, s *encap.Segment, h *encap.Header) outcome {
	var o outcome
	for {
		o.agent = c.indexByAddr[to]
		if c.stopped[o.agent] {
			return o
		}
		o.path = append(o.path, o.agent)
		d := c.agents[o.agent].Inbound(s, h, c.now)
		if d.Verdict != flows.Forward {
			o.delivered = d.Verdict == flows.Deliver
			o.reason = d.Reason
			return o
		}
		to = d.To
	}
}

// agentISN returns the initial sequence number of an agent's TCP endpoint.
func agentISN(agent int) uint32 {
	return 1000 * uint32(agent+1)
}

// sendSYNACK sends the SYN-ACK of an agent's TCP endpoint.
func (c *testCluster) sendSYNACK(agent, caller int) flows.Decision {
	return c.agents[agent].Outbound(toCaller(caller, syn|ack, agentISN(agent), 101), c.now)
}

// establish opens a flow through a balancer and returns its holder.
func (c *testCluster) establish(balancer, caller int) int {
	o := c.send(balancer, toService(caller, syn, 100, 0))
	if !o.delivered {
		panic(fmt.Sprintf("SYN dropped: %v", o.reason))
	}
	c.sendSYNACK(o.agent, caller)
	c.send(balancer, toService(caller, ack, 101, agentISN(o.agent)+1))
	return o.agent
}

// sendData sends a segment of a flow established at the agent holder.
func (c *testCluster) sendData(balancer, caller, holder int) outcome {
	return c.send(balancer, toService(caller, ack, 101, agentISN(holder)+1))
}

// callerOwnedBy returns a caller whose flow the agent owns in the table.
func callerOwnedBy(t *steering.Table, agent int) int {
	for caller := 1; ; caller++ {
		index, _ := t.Lookup(encap.FlowHash(callerAddr(caller), serviceAddr))
		if t.Server(index).Addr == agentAddr(agent) {
			return caller
		}
	}
}
