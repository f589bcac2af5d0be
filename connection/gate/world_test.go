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

// site is an agent with its server.
type site struct {
	gate   *gate.Gate
	server *passthroughtest.Server
	info   gate.Server
	resets []errkind.Kind
	// answered and unanswered are the requests by outcome.
	answered, unanswered []string
}

// resetRecorder notes the reasons of resets and the requests of a site.
type resetRecorder struct {
	gate.NopObserver
	site *site
}

func (r *resetRecorder) Reset(_ passthrough.Flow, kind errkind.Kind) {
	r.site.resets = append(r.site.resets, kind)
}

func (r *resetRecorder) Answered(_ passthrough.Flow, e gate.Exchange) {
	r.site.answered = append(r.site.answered, string(e.RequestID))
}

func (r *resetRecorder) Unanswered(_ passthrough.Flow, e gate.Exchange) {
	r.site.unanswered = append(r.site.unanswered, string(e.RequestID))
}

// world is a deployment of agents, servers and balancers without time of its own.
type world struct {
	network   *passthroughtest.Network
	sites     []*site
	balancers []*steer.Router
	version   *routes.Version
	now       time.Duration
	settled   bool
	runs      []uint64
}

// versionOf leads the service's address to services with equal weights.
func versionOf(revision uint64, services ...string) *routes.Version {
	route := &routes.Route{Name: "r"}
	known := map[string]routes.Service{}
	for _, service := range services {
		route.Targets = append(route.Targets, routes.Target{Service: service, Weight: 1})
		known[service] = routes.Service{}
	}
	return &routes.Version{
		Revision:   revision,
		Routes:     map[netip.AddrPort]*routes.Route{serviceAddr: route},
		Services:   known,
		OutDomains: map[string]bool{},
	}
}

// newWorld returns agents of the service "orders" and two balancers.
func newWorld(agents int) *world {
	w := &world{network: passthroughtest.NewNetwork(), version: versionOf(1, "orders"), now: time.Second, settled: true}
	for i := range agents {
		w.sites = append(w.sites, &site{info: gate.Server{Service: "orders", Domain: "junin", Incarnation: uint32(100 + i), State: steer.Ready, Slots: 4}})
		w.runs = append(w.runs, 1)
		w.startAgent(i)
		w.startServer(i)
	}
	w.spread()
	w.startBalancers(2)
	return w
}

// startAgent replaces agent i by a fresh one.
func (w *world) startAgent(i int) {
	s := w.sites[i]
	s.gate = gate.New(gate.Options{
		Format:       passthroughtest.Format{},
		Domain:       s.info.Domain,
		Self:         peerOf(i),
		Backend:      backendOf(i),
		CallerPort:   callerPort,
		Sender:       w.network,
		Observer:     &resetRecorder{site: s},
		FlowLifetime: time.Minute,
	})
	s.gate.SetVersion(w.version)
	s.gate.SetServer(s.info, w.now)
	w.network.Attach(peerOf(i), func(b []byte) { w.datagram(s.gate, b) })
}

func (w *world) datagram(g *gate.Gate, b []byte) {
	switch passthrough.Kind(b[0]) {
	case passthrough.Register:
		g.HandleRegister(b)
	case passthrough.NotHeld:
		g.HandleNotHeld(b)
	default:
		g.HandleDatagram(b, w.now)
	}
}

// startServer replaces the server of agent i by one that knows no flow.
func (w *world) startServer(i int) {
	s := w.sites[i]
	s.server = passthroughtest.NewServer(string(rune('a'+i)), uint32(i+1)<<28, func(b []byte) { s.gate.HandleServerPacket(b, w.now) })
	w.network.Attach(backendOf(i), func(b []byte) { s.server.Handle(b) })
}

// spread tells every agent of all others.
func (w *world) spread() {
	var agents []gate.Agent
	for i, s := range w.sites {
		agents = append(agents, gate.Agent{Name: string(rune('a' + i)), Peer: peerOf(i), Service: s.info.Service, Domain: s.info.Domain, Run: w.runs[i]})
	}
	for _, s := range w.sites {
		s.gate.SetAgents(agents, w.settled)
	}
}

// startBalancers replaces all balancers by fresh ones.
func (w *world) startBalancers(count int) {
	w.balancers = nil
	for i := range count {
		self := passthrough.MakeEndpoint(0x0a000200+uint32(i), 7000)
		b := steer.New(steer.Options{Format: passthroughtest.Format{}, Domain: "junin", Self: self, CallerPort: callerPort, Sender: w.network})
		b.SetVersion(w.version)
		b.SetServers(w.servers())
		w.balancers = append(w.balancers, b)
		w.network.Attach(self, func(datagram []byte) {
			if agent, flow, err := passthrough.ParseHolder(datagram); err == nil {
				b.SetHolder(agent, flow)
			}
		})
	}
}

func (w *world) servers() []steer.Server {
	var servers []steer.Server
	for i, s := range w.sites {
		servers = append(servers, steer.Server{
			Name: string(rune('a' + i)), Agent: peerOf(i), Service: s.info.Service, Domain: s.info.Domain,
			State: s.info.State, Slots: 4, Reachable: true,
		})
	}
	return servers
}

// caller attaches a caller with a flow of its own.
func (w *world) caller(i int) *passthroughtest.Caller {
	at := passthrough.MakeEndpoint(0x64400000+uint32(i), 40000)
	c := &passthroughtest.Caller{Flow: passthrough.Flow{Caller: at, Service: passthrough.EndpointOf(serviceAddr)}}
	w.network.Attach(at.WithPort(callerPort), c.Handle)
	return c
}

// through sends a packet through balancer i.
func (w *world) through(i int, packet []byte) {
	w.balancers[i].HandlePacket(packet)
	w.network.Run()
}

// opened returns callers with an open flow each, through balancer 0.
func (w *world) opened(count int) []*passthroughtest.Caller {
	var callers []*passthroughtest.Caller
	for i := range count {
		c := w.caller(i)
		w.through(0, c.OpeningPacket(0))
		w.through(0, c.Request())
		callers = append(callers, c)
	}
	return callers
}

// register lets time pass until all flows are registered.
func (w *world) register() {
	w.now += time.Second
	for _, s := range w.sites {
		s.gate.Tick(w.now)
	}
	w.network.Run()
}

// holder returns the index of the site whose server holds a flow, -1 for none.
func (w *world) holder(flow passthrough.Flow) int {
	for i, s := range w.sites {
		if s.server.Holds(flow) {
			return i
		}
	}
	return -1
}

func (w *world) foreign() int {
	count := 0
	for _, s := range w.sites {
		count += s.server.ForeignPackets
	}
	return count
}

// searched counts the searches of all agents.
func (w *world) searched() uint64 {
	var count uint64
	for _, s := range w.sites {
		count += s.gate.Counters().Searched
	}
	return count
}
