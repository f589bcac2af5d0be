// Package gate processes the packets of one backend server at its agent. It
// admits new flows, forwards packets of flows that another server holds, and
// resets flows that no longer exist. All packets to the server pass its agent, so
// limits on the server are enforced here alone.
package gate

import (
	"math/rand/v2"
	"time"

	"bergamotbank/connection/backlog"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/servicetime"
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
	// Backend is the address at which the backend server receives packets.
	Backend passthrough.Endpoint
	// CallerPort is the UDP port at which callers receive packets.
	CallerPort uint16
	// Sender sends datagrams to the server, to callers and to other processes.
	Sender passthrough.Sender
	// FlowLifetime is how long an open flow is kept after its last packet.
	FlowLifetime time.Duration
	// Observer is notified of decisions; nil for none.
	Observer Observer
	// RequestView requests the agents that a balancer knows; ViewReceived is called once they
	// have been added. If it is nil, searches rely on the own view alone.
	RequestView func(balancer passthrough.Endpoint)
}

// Agent is an agent in this agent's view of the deployment.
type Agent struct {
	// Name is the unique name of the agent.
	Name string
	// Peer is the peer address of the agent.
	Peer passthrough.Endpoint
	// Service and Domain are the service and the failure domain of its backend
	// server.
	Service, Domain string
	// Run identifies the run of the agent's process; it changes with a restart.
	Run uint64
	// TimedOut is true if no heartbeat of the agent has arrived for so long that its
	// backend server is presumed to have failed.
	TimedOut bool
	// ServerTerminated is true if its backend server is known to have terminated.
	ServerTerminated bool
}

// Counters count packets and flows by outcome.
type Counters struct {
	// Malformed counts datagrams and packets that could not be parsed.
	Malformed uint64
	// Opened counts accepted opening packets, Refused the refused ones.
	Opened, Refused uint64
	// PassedOn counts packets forwarded to another agent, Searched those sent to
	// all agents.
	PassedOn, Searched uint64
	// Returned counts packets that the backend server returned.
	Returned uint64
	// Resets counts flows reset at their callers.
	Resets uint64
	// Adopted counts flows learned from packets that the server sent.
	Adopted uint64
	// Offered counts packets sent to the server to probe whether it holds the
	// flow.
	Offered uint64
	// Requests counts the requests seen, Failures those that the server failed.
	Requests, Failures uint64
	// Queued counts opening packets that had to wait. The others count those that left the
	// queue, or were not let in: sent to the server, forwarded to another agent, refused,
	// those whose callers gave up, and those whose callers reset the flow or opened it
	// elsewhere.
	Queued, QueueForwarded, QueuePassedOn, QueueRefused, QueueExpired, QueueWithdrawn uint64
	// Duplicates counts second opening packets, DuplicatesDeclined those for which the server
	// had no free slot.
	Duplicates, DuplicatesDeclined uint64
}

// Gate processes the packets of one backend server. It is not safe for
// concurrent use.
type Gate struct {
	options Options
	version *routes.Version
	server  Server
	bucket  bucket
	// suspectedFrom is when the server is suspected to have terminated unless it sends a
	// packet before, 0 for never.
	suspectedFrom time.Duration
	flows         map[passthrough.Flow]*flow
	openFlows     int
	requests      requestMeter
	serviceTime   servicetime.Estimator
	health        healthMeter
	backlog       *backlog.Backlog
	// lastEvent is the time of the last event.
	lastEvent         time.Duration
	stalls            stallMeter
	agents            map[passthrough.Endpoint]Agent
	discoveryComplete bool
	owners            *passthrough.Owners
	// ownersChanged is true if flows may have to be registered with other owners,
	// restartedOwners are the owners that have lost their registrations.
	ownersChanged        bool
	restartedOwners      map[passthrough.Endpoint]struct{}
	registry             *passthrough.ExpiringMap[registration]
	probes               *passthrough.ExpiringMap[probe]
	searches             *passthrough.ExpiringMap[*search]
	pendingRegistrations map[passthrough.Endpoint][]passthrough.Flow
	restored             restoredCheckpoint
	unregistered         []passthrough.Flow
	segment              passthrough.Segment
	counters             Counters
}

const (
	// registrationMargin is how much longer a registration is kept than its flow,
	// so that holders need not refresh it.
	registrationMargin = 15 * time.Second
	// probeRetention is how long the result of probing the server for a flow is
	// kept.
	probeRetention = 10 * time.Second
	// searchRetention is the minimum time that a search is kept.
	searchRetention = 2 * time.Second
	// minSearchInterval is the minimum time between two searches for one flow.
	// Callers retransmit after 200 ms.
	minSearchInterval = 150 * time.Millisecond
	// maxRegistrations limits one generation of the registry to about 4 MB.
	maxRegistrations = 64 << 10
)

// registration names the holder of a flow.
type registration struct {
	holder      passthrough.Endpoint
	incarnation uint32
	// candidate is true if the holder has not registered the flow: this agent forwarded
	// the opening packet to it, and the flow may have opened elsewhere.
	candidate bool
}

// New returns a Gate that refuses every flow until SetServer and SetVersion have
// been called.
func New(options Options) *Gate {
	if options.Observer == nil {
		options.Observer = NopObserver{}
	}
	return &Gate{
		options:              options,
		flows:                map[passthrough.Flow]*flow{},
		backlog:              backlog.New(),
		agents:               map[passthrough.Endpoint]Agent{},
		owners:               &passthrough.Owners{},
		restartedOwners:      map[passthrough.Endpoint]struct{}{},
		registry:             passthrough.NewExpiringMap[registration](options.FlowLifetime+registrationMargin, maxRegistrations),
		probes:               passthrough.NewExpiringMap[probe](probeRetention, maxRegistrations),
		searches:             passthrough.NewExpiringMap[*search](searchRetention, maxRegistrations),
		pendingRegistrations: map[passthrough.Endpoint][]passthrough.Flow{},
	}
}

// SetVersion makes a configuration version active.
func (g *Gate) SetVersion(v *routes.Version) {
	g.version = v
	g.bucket.rate = coldRate(v, g.server.Service)
	g.reviewQueue(g.lastEvent)
}

// Counters returns the current counters.
func (g *Gate) Counters() Counters { return g.counters }

// HandleDatagram processes a datagram from another process that carries a
// caller's packet.
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
	g.lastEvent = now
	switch {
	case frame.Kind == passthrough.Duplicate:
		g.handleDuplicate(&d, now)
	case segment.IsOpening():
		g.handleOpening(&d, now)
	default:
		// A caller that sends another packet has reset the flow or opened it elsewhere.
		g.withdraw(d.flow, now)
		g.handleFlowPacket(&d, now)
	}
	g.forwardQueued(now)
}

// delivery is a packet on its way from a balancer to a backend server.
type delivery struct {
	frame    passthrough.Frame
	datagram []byte
	packet   []byte
	segment  *passthrough.Segment
	flow     passthrough.Flow
	// opensElsewhere is true if the caller may have sent a later copy of an opening packet,
	// so that another server may hold the flow.
	opensElsewhere bool
}

// handleOpening accepts an opening packet or refuses it.
func (g *Gate) handleOpening(d *delivery, now time.Duration) {
	if f := g.flows[d.flow]; f != nil && f.phase != phaseAborted {
		f.lastUsed = now
		if f.phase == phaseOpening {
			g.reserve(d.flow, f, now)
		}
		g.sendToServer(d.packet)
		return
	}
	if kind, ok := g.check(d, now); !ok {
		g.withdraw(d.flow, now)
		g.refuse(d, kind)
		return
	}
	if route := g.version.Route(d.flow.Service.AddrPort()); route != nil && route.LatencyTarget > 0 {
		g.openOrQueue(d, route, now)
		return
	}
	if !g.hasRoom(now) {
		g.refuse(d, errkind.Overloaded)
		return
	}
	g.open(d, now)
}

// open sends an opening packet to the server.
func (g *Gate) open(d *delivery, now time.Duration) {
	g.counters.Opened++
	g.bucket.take()
	delete(g.restored.flows, d.flow)
	f := &flow{phase: phaseOpening, openedAt: now, lastUsed: now, origin: d.frame.Origin, alternate: d.frame.Alternate, version: d.frame.Version, service: d.frame.ServiceTag(), hops: d.frame.Hops, hedgeable: d.frame.Hedgeable()}
	g.flows[d.flow] = f
	g.reserve(d.flow, f, now)
	g.options.Observer.Opened(d.flow, d.frame)
	if g.suspectedFrom == 0 {
		g.suspectedFrom = now + openingTimeLimit
	}
	g.sendToServer(d.packet)
	if d.frame.Hops > 0 {
		g.notifyBalancer(passthrough.Redirected, d.frame.Origin, d.flow)
	}
}

// refuse forwards a refused opening packet to the alternate agent and reports whether it did.
// If there is none, it resets the flow at the caller or waits for the next retransmission.
func (g *Gate) refuse(d *delivery, kind errkind.Kind) (passedOn bool) {
	g.counters.Refused++
	alternate := d.frame.Alternate
	if (kind == errkind.WrongService || kind == errkind.DomainOut) && d.frame.Hops == 0 && !d.frame.Version.Newer(g.version.Revision.Wire()) {
		alternate = g.agentForRoute(d.flow)
	}
	g.options.Observer.Refused(d.flow, kind, d.frame, alternate)
	if alternate == 0 || alternate == g.options.Self {
		if !isTransient(kind) || d.segment.IsLastRetransmission() {
			g.resetUnopened(d, kind)
		}
		// Otherwise the next retransmission, 200 or 400 ms later, is the retry. A
		// reset would use up one of the caller's few attempts for a transient reason.
		return false
	}
	if r, ok := g.registry.Get(d.flow); !ok || r.candidate {
		g.registry.Put(d.flow, registration{holder: alternate, candidate: true})
	}
	frame := d.frame
	frame.Hops++
	frame.Alternate = 0
	frame.Put(d.datagram)
	g.counters.PassedOn++
	g.options.Sender.Send(d.datagram, alternate)
	return true
}

// resetUnopened resets the flow of an opening packet, unless a later copy of the packet may have
// opened the flow at another server. If the balancer may have sent it to two agents, it decides.
func (g *Gate) resetUnopened(d *delivery, kind errkind.Kind) {
	switch {
	case d.opensElsewhere || g.stalls.mayHaveHeldBack(g.lastEvent):
	case d.frame.Hedgeable():
		g.notifyRefused(d.frame.Origin, d.flow, d.segment.Ack)
	default:
		g.reset(d.flow, d.segment.Ack, kind)
	}
}

// isTransient reports whether the reason for a refusal is likely to pass within
// a second.
func isTransient(kind errkind.Kind) bool {
	return kind == errkind.Overloaded || kind == errkind.WrongService || kind == errkind.DomainOut
}

// agentForRoute returns an agent that may take a flow according to this agent's
// configuration version, for a balancer with an older version. It returns 0 if no
// such agent is known.
func (g *Gate) agentForRoute(flow passthrough.Flow) passthrough.Endpoint {
	route := g.version.Route(flow.Service.AddrPort())
	if route == nil {
		return 0
	}
	service := route.Pick(flow.Hash())
	var candidates []passthrough.Endpoint
	for peer, agent := range g.agents {
		if agent.Service == service && !agent.TimedOut && !agent.ServerTerminated && !g.version.OutDomains[agent.Domain] {
			candidates = append(candidates, peer)
		}
	}
	if len(candidates) == 0 {
		return 0
	}
	return candidates[rand.IntN(len(candidates))]
}

// handleFlowPacket delivers a packet of a flow that the server holds, or forwards
// it to where its holder may be.
func (g *Gate) handleFlowPacket(d *delivery, now time.Duration) {
	f := g.flows[d.flow]
	if f == nil {
		g.handleUnknown(d, now)
		return
	}
	if f.phase == phaseAborted {
		if !d.segment.Has(passthrough.Reset) {
			g.reset(d.flow, d.segment.Ack, errkind.BackendUnavailable)
		}
		return
	}
	if f.phase == phaseOpening && !f.confirms(d.segment) {
		// The caller took the response of another server, which received a duplicate
		// of the opening packet.
		g.release(d.flow, f)
		delete(g.flows, d.flow)
		g.handleUnknown(d, now)
		return
	}
	g.trackCallerPacket(d.flow, f, d.segment, now)
	g.sendToServer(d.packet)
	if d.frame.Kind != passthrough.Deliver || f.informed != d.frame.Origin {
		f.informed = d.frame.Origin
		g.notifyBalancer(passthrough.Learned, d.frame.Origin, d.flow)
	}
}

// notifyBalancer informs a balancer that this agent holds a flow (Learned) or was
// forwarded its opening packet (Redirected).
func (g *Gate) notifyBalancer(kind passthrough.Kind, balancer passthrough.Endpoint, flow passthrough.Flow) {
	if balancer != 0 {
		g.options.Sender.Send(passthrough.AppendHolder(nil, kind, g.options.Self, flow), balancer)
	}
}

func (g *Gate) sendToServer(packet []byte) {
	g.options.Sender.Send(packet, g.options.Backend)
}

func (g *Gate) sendToCaller(packet []byte, caller passthrough.Endpoint) {
	g.options.Sender.Send(packet, caller.WithPort(g.options.CallerPort))
}

// reset resets a flow at its caller.
func (g *Gate) reset(flow passthrough.Flow, ack uint32, kind errkind.Kind) {
	g.counters.Resets++
	g.options.Observer.Reset(flow, kind)
	g.sendToCaller(g.options.Format.AppendReset(nil, flow, ack), flow.Caller)
}
