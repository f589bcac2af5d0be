package gate_test

import (
	"net/netip"
	"time"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const callerPort = 9000

var serviceAddr = netip.MustParseAddrPort("198.18.0.1:443")

// peerOf and backendOf are the addresses of agent i and its server.
func peerOf(i int) passthrough.Endpoint {
	return passthrough.MakeEndpoint(0x0a000100+uint32(i), 7000)
}
func backendOf(i int) passthrough.Endpoint { return peerOf(i).WithPort(8000) }

// node is an agent with its server.
type node struct {
	gate   *gate.Gate
	server *passthroughtest.Server
	info   gate.Server
	resets []errkind.Kind
	// answered and unanswered are the requests by outcome.
	answered, unanswered []string
}

// outcomeRecorder records the reasons of resets and the requests of a node.
type outcomeRecorder struct {
	gate.NopObserver
	node *node
}

func (r *outcomeRecorder) Reset(_ passthrough.Flow, kind errkind.Kind) {
	r.node.resets = append(r.node.resets, kind)
}

func (r *outcomeRecorder) Answered(_ passthrough.Flow, e gate.Exchange) {
	r.node.answered = append(r.node.answered, string(e.RequestID))
}

func (r *outcomeRecorder) Unanswered(_ passthrough.Flow, e gate.Exchange) {
	r.node.unanswered = append(r.node.unanswered, string(e.RequestID))
}

// testCluster is a deployment of agents, servers and balancers in which tests set
// the time.
type testCluster struct {
	network           *passthroughtest.Network
	nodes             []*node
	balancers         []*steer.Router
	version           *routes.Version
	now               time.Duration
	discoveryComplete bool
	runs              []uint64
	// viewRequests are the balancers whose views were requested by agents.
	viewRequests []passthrough.Endpoint
}

// versionOf returns a version that routes serviceAddr to services with equal
// weights.
func versionOf(revision uint64, services ...string) *routes.Version {
	route := &routes.Route{Name: "r"}
	known := map[string]routes.Service{}
	for _, service := range services {
		route.Targets = append(route.Targets, routes.Target{Service: service, Weight: 1})
		known[service] = routes.Service{}
	}
	return &routes.Version{
		Revision:   routes.Revision{Index: revision},
		Routes:     map[netip.AddrPort]*routes.Route{serviceAddr: route},
		Services:   known,
		OutDomains: map[string]bool{},
	}
}

// newTestCluster returns a cluster with agents of the service "orders" and two
// balancers.
func newTestCluster(agents int) *testCluster {
	tc := &testCluster{network: passthroughtest.NewNetwork(), version: versionOf(1, "orders"), now: time.Second, discoveryComplete: true}
	for i := range agents {
		tc.nodes = append(tc.nodes, &node{info: gate.Server{Service: "orders", Domain: "junin", Incarnation: uint32(100 + i), State: steer.Ready, Slots: 4}})
		tc.runs = append(tc.runs, 1)
		tc.startAgent(i)
		tc.startServer(i)
	}
	tc.publishAgents()
	tc.startBalancers(2)
	return tc
}

// startAgent replaces agent i by a new one.
func (tc *testCluster) startAgent(i int) {
	n := tc.nodes[i]
	n.gate = gate.New(gate.Options{
		Format:       passthroughtest.Format{},
		Domain:       n.info.Domain,
		Self:         peerOf(i),
		Backend:      backendOf(i),
		CallerPort:   callerPort,
		Sender:       tc.network,
		Observer:     &outcomeRecorder{node: n},
		FlowLifetime: time.Minute,
		RequestView:  func(b passthrough.Endpoint) { tc.viewRequests = append(tc.viewRequests, b) },
	})
	n.gate.SetVersion(tc.version)
	n.gate.SetServer(n.info, tc.now)
	tc.network.Attach(peerOf(i), func(b []byte) { tc.handleDatagram(n.gate, b) })
}

func (tc *testCluster) handleDatagram(g *gate.Gate, b []byte) {
	switch passthrough.Kind(b[0]) {
	case passthrough.Register:
		g.HandleRegister(b)
	case passthrough.NotHeld:
		g.HandleNotHeld(b)
	case passthrough.Cancel:
		g.HandleCancel(b, tc.now)
	default:
		g.HandleDatagram(b, tc.now)
	}
}

// startServer replaces the server of agent i by one that holds no flow.
func (tc *testCluster) startServer(i int) {
	n := tc.nodes[i]
	n.server = passthroughtest.NewServer(string(rune('a'+i)), uint32(i+1)<<28, func(b []byte) { n.gate.HandleServerPacket(b, tc.now) })
	tc.network.Attach(backendOf(i), func(b []byte) { n.server.Handle(b) })
}

// publishAgents updates the view of every agent.
func (tc *testCluster) publishAgents() { tc.publishAgentsWithout(make([]bool, len(tc.nodes))) }

// publishAgentsWithout updates the view of every agent. Those marked in timedOut are
// presumed failed.
func (tc *testCluster) publishAgentsWithout(timedOut []bool) {
	for i, n := range tc.nodes {
		agent := gate.Agent{Name: string(rune('a' + i)), Peer: peerOf(i), Service: n.info.Service, Domain: n.info.Domain, Run: tc.runs[i], TimedOut: timedOut[i]}
		for _, other := range tc.nodes {
			other.gate.SetAgent(agent)
		}
	}
	for _, n := range tc.nodes {
		n.gate.SetDiscoveryComplete(tc.discoveryComplete)
	}
}

// setServers updates the view of a balancer.
func setServers(b *steer.Router, servers []steer.Server) {
	for _, server := range servers {
		b.SetServer(server)
	}
}

// startBalancers replaces all balancers by new ones.
func (tc *testCluster) startBalancers(count int) {
	tc.balancers = nil
	for i := range count {
		self := passthrough.MakeEndpoint(0x0a000200+uint32(i), 7000)
		b := steer.New(steer.Options{Format: passthroughtest.Format{}, Domain: "junin", Self: self, CallerPort: callerPort, Sender: tc.network})
		b.SetVersion(tc.version)
		setServers(b, tc.servers())
		tc.balancers = append(tc.balancers, b)
		tc.attachBalancer(self, b)
	}
}

func (tc *testCluster) attachBalancer(self passthrough.Endpoint, b *steer.Router) {
	tc.network.Attach(self, func(datagram []byte) {
		agent, flow, err := passthrough.ParseHolder(datagram)
		switch {
		case err != nil:
		case passthrough.Kind(datagram[0]) == passthrough.Learned:
			b.SetHolder(agent, flow)
		case passthrough.Kind(datagram[0]) == passthrough.NotHeld:
			_, _, number, _ := passthrough.ParseRefusal(datagram)
			b.SetNotHeld(agent, flow, number)
		default:
			b.SetCandidate(agent, flow)
		}
	})
}

func (tc *testCluster) servers() []steer.Server {
	var servers []steer.Server
	for i, n := range tc.nodes {
		servers = append(servers, steer.Server{
			Name: string(rune('a' + i)), Agent: peerOf(i), Service: n.info.Service, Domain: n.info.Domain,
			State: n.info.State, Slots: 4, Reachable: true,
		})
	}
	return servers
}

// caller attaches caller i with a flow of its own.
func (tc *testCluster) caller(i int) *passthroughtest.Caller {
	at := passthrough.MakeEndpoint(0x64400000+uint32(i), 40000)
	c := &passthroughtest.Caller{Flow: passthrough.Flow{Caller: at, Service: passthrough.EndpointOf(serviceAddr)}}
	tc.network.Attach(at.WithPort(callerPort), c.Handle)
	return c
}

// sendThrough sends a packet through balancer i.
func (tc *testCluster) sendThrough(i int, packet []byte) {
	tc.balancers[i].HandlePacket(packet)
	tc.network.Run()
}

// openFlows returns callers with an open flow each, through balancer 0.
func (tc *testCluster) openFlows(count int) []*passthroughtest.Caller {
	var callers []*passthroughtest.Caller
	for i := range count {
		c := tc.caller(i)
		tc.sendThrough(0, c.OpeningPacket(0))
		tc.sendThrough(0, c.Request())
		callers = append(callers, c)
	}
	return callers
}

// registerFlows advances the time until all flows are registered.
func (tc *testCluster) registerFlows() {
	tc.now += time.Second
	for _, n := range tc.nodes {
		n.gate.Tick(tc.now)
	}
	tc.network.Run()
}

// holder returns the index of the node whose server holds a flow, -1 for none.
func (tc *testCluster) holder(flow passthrough.Flow) int {
	for i, n := range tc.nodes {
		if n.server.Holds(flow) {
			return i
		}
	}
	return -1
}

func (tc *testCluster) foreignPackets() int {
	count := 0
	for _, n := range tc.nodes {
		count += n.server.ForeignPackets
	}
	return count
}

// searches returns the number of searches by all agents.
func (tc *testCluster) searches() uint64 {
	var count uint64
	for _, n := range tc.nodes {
		count += n.gate.Counters().Searched
	}
	return count
}
