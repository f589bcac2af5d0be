package passthrough

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/process/duty"
	"bergamotbank/process/metrics"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/version/routes"
)

// Agent carries the packets of the backend server beside it.
type Agent struct {
	*node
	outbound    *datagram.Conn
	gate        *gate.Gate
	backend     *backend
	checkpoints *checkpoints
	swept       time.Duration
	failing     bool
}

// NewAgent opens the addresses of an agent. Nothing runs before Run.
func NewAgent(s settings.Settings, logger *zap.Logger, adapter Adapter, reload Reload) (*Agent, error) {
	n, err := newNode(roster.Agent, s, logger, adapter, reload)
	if err != nil {
		return nil, err
	}
	a := &Agent{node: n}
	if a.outbound, err = listenDatagrams(s.Passthrough.Outbound); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"passthrough.outbound\"")
	}
	observer := newAgentObserver(a)
	a.gate = gate.New(gate.Options{
		Format:       adapter.Format,
		Domain:       s.Domain,
		Self:         n.self(),
		Backend:      passthrough.EndpointOf(s.Passthrough.Backend),
		CallerPort:   s.Packet.Port(),
		Sender:       n.sender,
		Observer:     observer,
		FlowLifetime: time.Duration(s.Passthrough.FlowLifetime),
	})
	a.backend = newBackend(a)
	a.checkpoints = newCheckpoints(a)
	n.orders = newOrders(n, a.setVersion)
	n.roster = roster.New(roster.Options{
		Self:        a.self,
		Sender:      n.sender,
		OnNewerVersion:   n.orders.offerHint,
		OnConfirmed: n.orders.confirm,
		OnChange:    a.setAgents,
		OnMemberChange:    n.logMember,
	})
	n.publish()
	metrics.Publish("passthrough_gate", func() any { return a.counters() })
	metrics.Publish("refusals", func() any { return observer.refusals.counts() })
	metrics.Publish("resets", func() any { return observer.resets.counts() })
	metrics.Publish("opening_latency", func() any { return observer.opening.Summary() })
	metrics.Publish("answer_latency", func() any { return observer.answer.Summary() })
	return a, nil
}

// self describes the agent and its backend server; it runs with mu held.
func (a *Agent) self() roster.Member {
	m := a.member()
	server := a.gate.Server()
	m.Service = server.Service
	m.Report = roster.Report{
		State:       a.backend.state(a.clock.now()),
		Slots:       server.Slots,
		MeanOpenRequests:        a.gate.MeanOpenRequests(),
		Flows:       a.gate.Flows(),
		Incarnation: server.Incarnation,
	}
	return m
}

// Run works until ctx ends, which is a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	a.logger.Info("agent started", zap.Stringer("backend", a.settings.Passthrough.Backend), zap.Stringer("peer", a.settings.Passthrough.Peer))
	a.greetSeeds(a.settings.Seeds)
	return duty.Run(ctx, a.stop, append(a.duties(a.fromPeers, a.advance, func() bool { return true }),
		func(ctx context.Context) error { return receive(ctx, a.outbound, a.fromServer) },
		a.backend.watch,
		a.backend.greet,
		a.checkpoints.keep,
		a.serve(a.settings.Control, a.adapter.Heartbeats(a.backend)),
		a.serve(a.settings.Passthrough.Peer, a.peerHandler(a.checkpoints)),
	)...)
}

// stop tells the others that the agent is leaving. Its server may live on, beside
// the agent that comes next, so nothing is waited for.
func (a *Agent) stop(ctx context.Context) {
	a.logger.Info("agent stopping")
	a.backend.leave(ctx)
	a.directory.end(ctx)
}

func (a *Agent) setVersion(v *routes.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = v
	a.gate.SetVersion(v)
}

// setAgents hands the members over; it runs with mu held.
func (a *Agent) setAgents() {
	own := a.self()
	agents := []gate.Agent{{Name: own.Name, Peer: own.Peer, Service: own.Service, Domain: own.Domain, Run: own.Run}}
	for _, status := range a.roster.Members() {
		if status.Role == roster.Agent {
			agents = append(agents, gate.Agent{
				Name:             status.Name,
				Peer:             status.Peer,
				Service:          status.Service,
				Domain:           status.Domain,
				Run:              status.Run,
				Silent:           status.Silent,
				ServerTerminated: status.Report.State == steer.Down,
			})
		}
	}
	a.gate.SetAgents(agents, a.settled())
}

// settled tells whether no agent is missing from the view; it runs with mu held.
func (a *Agent) settled() bool { return a.directory.complete.Load() && a.roster.DiscoveryComplete() }

// checkpoint returns the open flows of the backend server.
func (a *Agent) checkpoint() passthrough.Checkpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Checkpoint()
}

// group returns the group of this agent among those of its failure domain that it
// reaches, and the number of such groups in the deployment.
func (a *Agent) group() (members []checkpointSource, groups int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	near := []checkpointSource{sourceOf(a.self())}
	agents := 1
	for _, status := range a.roster.Members() {
		if status.Role != roster.Agent {
			continue
		}
		agents++
		if status.Domain == a.settings.Domain && status.Reachable {
			near = append(near, sourceOf(status.Member))
		}
	}
	groups = (agents + MaxTxnEntries - 1) / MaxTxnEntries
	return groupOf(near, a.settings.Name), groups
}

func sourceOf(m roster.Member) checkpointSource {
	leaving := m.Report.State == steer.Draining || m.Report.State == steer.Down
	return checkpointSource{name: m.Name, peer: m.Peer, leaving: leaving}
}

// recall hands the checkpoint of a former run to the gate.
func (a *Agent) recall(checkpoint passthrough.Checkpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.RestoreCheckpoint(checkpoint, a.clock.now())
	a.sender.flush()
}

// advance does what is due at a tick; it runs with mu held.
func (a *Agent) advance(now time.Duration) {
	a.gate.SetDiscoveryComplete(a.settled())
	a.gate.Tick(now)
	if failing := a.gate.Failing(); failing != a.failing {
		a.failing = failing
		a.logger.Warn("judgement of the server by its answers changed", zap.Bool("failing", failing),
			zap.Uint64("failures", a.gate.Counters().Failures), zap.String("server", a.backend.last.ID))
		a.roster.Announce(now)
	}
	if now-a.swept >= sweepInterval {
		a.swept = now
		a.gate.ExpireFlows(now)
	}
}

// fromServer handles packets of the backend server.
func (a *Agent) fromServer(r *datagram.Reader, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for i := range n {
		a.gate.HandleServerPacket(r.Prefixed(i, 0, passthrough.FrameSize), now)
	}
	a.sender.flush()
}

// fromPeers handles datagrams of other processes.
func (a *Agent) fromPeers(r *datagram.Reader, n int) {
	a.handle(r, n, func(d []byte, now time.Duration) {
		switch passthrough.Kind(d[0]) {
		case passthrough.Deliver, passthrough.Lookup, passthrough.Registered, passthrough.Search:
			a.gate.HandleDatagram(d, now)
		case passthrough.NotHeld:
			a.gate.HandleNotHeld(d)
		case passthrough.Register:
			a.gate.HandleRegister(d)
		default:
			a.control(d, now)
		}
	})
}

// gateMetrics is the state of the gate as it is published.
type gateMetrics struct {
	gate.Counters
	Flows        int     `json:"flows"`
	OpenRequests int     `json:"open_requests"`
	Work         float64 `json:"work"`
	State        string  `json:"state"`
	Reports      uint64  `json:"heartbeats"`
	Stale        uint64  `json:"heartbeats_outdated"`
	Malformed    uint64  `json:"heartbeats_malformed"`
}

func (a *Agent) counters() gateMetrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gateMetrics{
		Counters:     a.gate.Counters(),
		Flows:        a.gate.Flows(),
		OpenRequests: a.gate.OpenRequests(),
		Work:         a.gate.MeanOpenRequests(),
		State:        a.backend.state(a.clock.now()).String(),
		Reports:      a.backend.reports,
		Stale:        a.backend.stale,
		Malformed:    a.backend.malformed,
	}
}
