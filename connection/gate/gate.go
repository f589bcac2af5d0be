// Package gate decides at an agent about the packets of one backend server:
// which flows the server may take, where a packet goes whose flow another server
// holds, and when a flow is known to have ended. All packets to the server pass
// its agent, so rules about the server hold by this decision alone.
package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// Options configure a Gate.
type Options struct {
	// Format is the packet format.
	Format passthrough.Format
	// Domain is the failure domain of the agent.
	Domain string
	// Self is the peer address of the agent.
	Self passthrough.Endpoint
	// Backend is the address at which the backend server takes packets.
	Backend passthrough.Endpoint
	// CallerPort is the UDP port at which callers take packets.
	CallerPort uint16
	// Sender takes datagrams to the server, to callers and to other processes.
	Sender passthrough.Sender
	// FlowLifetime is the age at which a flow may be forgotten.
	FlowLifetime time.Duration
	// Observer is told of decisions; nil for none.
	Observer Observer
}

// Agent is an agent as this one knows it.
type Agent struct {
	// Name is the unique name.
	Name string
	// Peer is the peer address.
	Peer passthrough.Endpoint
	// Service is the service of its backend server, Domain its failure domain.
	Service, Domain string
	// Run is the run of the agent's process.
	Run uint64
	// Silent tells that the agent has not been heard for so long that its backend
	// server is taken for lost.
	Silent bool
	// ServerTerminated tells that its backend server is known to have ended.
	ServerTerminated bool
}

// Counters count packets and flows by outcome.
type Counters struct {
	// Malformed are datagrams and packets that could not be parsed.
	Malformed uint64
	// Opened are accepted opening packets, Refused those turned away.
	Opened, Refused uint64
	// PassedOn are packets sent to another agent, Searched those sent to all.
	PassedOn, Searched uint64
	// Returned are packets that the backend server gave back.
	Returned uint64
	// Resets are flows reset at their callers.
	Resets uint64
	// Adopted are flows learned from the server's own packets.
	Adopted uint64
	// Offered are packets given to the server to see whether it holds the flow.
	Offered uint64
	// Requests are the requests seen, Failures those that the server failed.
	Requests, Failures uint64
}

// Gate decides for one backend server. It is not safe for concurrent use.
type Gate struct {
	options  Options
	version  *routes.Version
	server   Server
	bucket   bucket
	flows    map[passthrough.Flow]*flow
	open     int
	work     workMeter
	health   healthMeter
	agents   []Agent
	settled  bool
	owners   *passthrough.Owners
	registry *passthrough.ExpiringMap[registration]
	offers   *passthrough.ExpiringMap[offer]
	searches *passthrough.ExpiringMap[*search]
	pending  map[passthrough.Endpoint][]passthrough.Flow
	// recalled is the checkpoint of a former run, until the fate of its flows is known.
	recalled *passthrough.Checkpoint
	young    []passthrough.Flow
	segment  passthrough.Segment
	counters Counters
}

const (
	// registrySlack is how much longer than a flow its registration lives, so that
	// holders need not refresh it.
	registrySlack = 15 * time.Second
	// offerPeriod is how long the outcome of an offer to the server is kept.
	offerPeriod = 10 * time.Second
	// searchPeriod is how long a search is kept at least.
	searchPeriod = 2 * time.Second
	// searchGap is the shortest time between two searches for one flow; callers
	// send again after 200 ms.
	searchGap = 150 * time.Millisecond
	// maxRegistrations bounds one generation of the registry, about 4 MB.
	maxRegistrations = 64 << 10
)

// registration tells who holds a flow.
type registration struct {
	holder      passthrough.Endpoint
	incarnation uint32
}

// New returns a Gate that refuses every flow until it knows its server and a
// configuration.
func New(options Options) *Gate {
	if options.Observer == nil {
		options.Observer = NopObserver{}
	}
	return &Gate{
		options:  options,
		flows:    map[passthrough.Flow]*flow{},
		owners:   passthrough.NewOwners(nil),
		registry: passthrough.NewExpiringMap[registration](options.FlowLifetime+registrySlack, maxRegistrations),
		offers:   passthrough.NewExpiringMap[offer](offerPeriod, maxRegistrations),
		searches: passthrough.NewExpiringMap[*search](searchPeriod, maxRegistrations),
		pending:  map[passthrough.Endpoint][]passthrough.Flow{},
	}
}

// SetVersion puts a configuration version in force.
func (g *Gate) SetVersion(v *routes.Version) {
	g.version = v
	g.bucket.rate = coldRate(v, g.server.Service)
}

// Counters returns the counts so far.
func (g *Gate) Counters() Counters { return g.counters }

// HandleDatagram takes a datagram of another process that carries a packet.
func (g *Gate) HandleDatagram(datagram []byte, now time.Duration) {
	var frame passthrough.Frame
	packet, err := passthrough.ParseFrame(datagram, &frame)
	if err != nil {
		g.counters.Malformed++
		return
	}
	segment := &g.segment
	if err := g.options.Format.Decode(packet, segment); err != nil {
		g.counters.Malformed++
		return
	}
	d := delivery{frame: frame, datagram: datagram, packet: packet, segment: segment, flow: segment.FromCaller()}
	if segment.IsOpening() {
		g.opening(&d, now)
		return
	}
	g.follow(&d, now)
}

// delivery is a packet on its way from a balancer to a backend server.
type delivery struct {
	frame    passthrough.Frame
	datagram []byte
	packet   []byte
	segment  *passthrough.Segment
	flow     passthrough.Flow
}

// opening takes an opening packet or passes it on.
func (g *Gate) opening(d *delivery, now time.Duration) {
	if f := g.flows[d.flow]; f != nil && f.phase != phaseLost {
		f.used = now
		g.toServer(d.packet)
		return
	}
	kind, ok := g.admit(d, now)
	if !ok {
		g.refuse(d, kind)
		return
	}
	g.counters.Opened++
	g.bucket.take()
	g.flows[d.flow] = &flow{phase: phaseOpening, opened: now, used: now, origin: d.frame.Origin, alternate: d.frame.Alternate, version: d.frame.Version, hops: d.frame.Hops}
	g.options.Observer.Opened(d.flow, d.frame)
	g.toServer(d.packet)
	if d.frame.Hops > 0 {
		g.tell(d.frame.Origin, d.flow)
	}
}

// refuse passes an opening packet to the agent that the balancer chose as the
// second, or tells the caller at once that it was not run.
func (g *Gate) refuse(d *delivery, kind errkind.Kind) {
	g.counters.Refused++
	alternate := d.frame.Alternate
	if (kind == errkind.WrongService || kind == errkind.DomainOut) && d.frame.Hops == 0 {
		alternate = g.rightAgent(d.flow)
	}
	g.options.Observer.Refused(d.flow, kind, d.frame, alternate)
	if alternate == 0 || alternate == g.options.Self {
		if !passing(kind) || d.segment.IsLastRetransmission() {
			g.reset(d.flow, d.segment.Ack, kind)
		}
		// Else the next copy, 200 or 400 ms later, is the retry: a reset would cost
		// the caller one of its few tries while the reason passes.
		return
	}
	g.registry.Put(d.flow, registration{holder: alternate})
	frame := d.frame
	frame.Hops++
	frame.Alternate = 0
	frame.Put(d.datagram)
	g.counters.PassedOn++
	g.options.Sender.Send(d.datagram, alternate)
}

// passing tells whether the reason of a refusal is likely to pass within a second.
func passing(kind errkind.Kind) bool {
	return kind == errkind.Overloaded || kind == errkind.WrongService || kind == errkind.DomainOut
}

// rightAgent returns an agent that takes a flow by this agent's version, for a
// balancer whose version is behind; 0 when none is known.
func (g *Gate) rightAgent(flow passthrough.Flow) passthrough.Endpoint {
	hash := flow.Hash()
	route := g.version.Route(flow.Service.AddrPort())
	if route == nil {
		return 0
	}
	service := route.Pick(hash)
	var fitting []passthrough.Endpoint
	for i := range g.agents {
		if agent := &g.agents[i]; agent.Service == service && !agent.Silent && !agent.ServerTerminated && !g.version.OutDomains[agent.Domain] {
			fitting = append(fitting, agent.Peer)
		}
	}
	if len(fitting) == 0 {
		return 0
	}
	return fitting[hash%uint64(len(fitting))]
}

// follow takes a packet of a flow that the server holds, or sends it where its
// holder may be.
func (g *Gate) follow(d *delivery, now time.Duration) {
	f := g.flows[d.flow]
	if f == nil {
		g.unknown(d, now)
		return
	}
	if f.phase == phaseLost {
		if !d.segment.Has(passthrough.Reset) {
			g.reset(d.flow, d.segment.Ack, errkind.BackendUnavailable)
		}
		return
	}
	if f.phase == phaseOpening && !f.answers(d.segment) {
		// Another server answered a copy of the opening packet first.
		delete(g.flows, d.flow)
		g.unknown(d, now)
		return
	}
	g.callerPacket(d.flow, f, d.segment, now)
	g.toServer(d.packet)
	if d.frame.Kind != passthrough.Deliver {
		g.tell(d.frame.Origin, d.flow)
	}
}

// tell tells a balancer that this agent holds a flow.
func (g *Gate) tell(balancer passthrough.Endpoint, flow passthrough.Flow) {
	if balancer != 0 {
		g.options.Sender.Send(passthrough.AppendHolder(nil, passthrough.Learned, g.options.Self, flow), balancer)
	}
}

func (g *Gate) toServer(packet []byte) {
	g.options.Sender.Send(packet, g.options.Backend)
}

func (g *Gate) toCaller(packet []byte, caller passthrough.Endpoint) {
	g.options.Sender.Send(packet, caller.WithPort(g.options.CallerPort))
}

// reset ends a flow at its caller.
func (g *Gate) reset(flow passthrough.Flow, ack uint32, kind errkind.Kind) {
	g.counters.Resets++
	g.options.Observer.Reset(flow, kind)
	g.toCaller(g.options.Format.AppendReset(nil, flow, ack), flow.Caller)
}
