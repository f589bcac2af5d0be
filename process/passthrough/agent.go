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
	"bergamotbank/process/metrics"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/process/taskgroup"
	"bergamotbank/version/routes"
)

// Agent forwards the packets of the backend server on its VM.
type Agent struct {
	*node
	outbound      *datagram.Conn
	gate          *gate.Gate
	backend       *backendMonitor
	checkpointer  *checkpointer
	lastSweep     time.Duration
	serverFailing bool
}

// NewAgent opens the UDP sockets of an agent. Run starts it.
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
		RequestView:  func(balancer passthrough.Endpoint) { n.roster.RequestView(balancer, n.clock.now()) },
		FlowLifetime: time.Duration(s.Passthrough.FlowLifetime),
	})
	a.backend = newBackendMonitor(a)
	a.checkpointer = newCheckpointer(a)
	n.config = newConfigSync(n, a.setVersion)
	n.roster = roster.New(roster.Options{
		Self:           a.self,
		Sender:         n.sender,
		OnNewerVersion: n.noteNewerVersion,
		OnConfirmed:    n.noteConfirmed,
		OnChange:       a.setAgents,
		OnRemove:       func(m roster.Member) { a.gate.RemoveAgent(m.Peer) },
		OnMemberChange: n.logMember,
		OnIsolation:    n.logIsolation,
		CheckVM:        n.checkVM,
		OnView:         a.viewReceived,
	})
	a.setSelf()
	n.publishMetrics()
	metrics.Publish("passthrough_gate", func() any { return a.counters() })
	metrics.Publish("refusals", func() any { return observer.refusals.counts() })
	metrics.Publish("resets", func() any { return observer.resets.counts() })
	metrics.Publish("opening_latency", func() any { return observer.openingLatency.Summary() })
	metrics.Publish("queue_wait", func() any { return observer.queueWait.Summary() })
	metrics.Publish("answer_latency", func() any { return observer.answerLatency.Summary() })
	return a, nil
}

// self returns the description of the agent and its backend server for heartbeats. The
// caller holds mu.
func (a *Agent) self() roster.Member {
	m := a.member()
	server := a.gate.Server()
	serviceTime, _ := a.gate.ServiceTime()
	m.Service = server.Service
	m.Report = roster.Report{
		State:            a.backend.state(a.clock.now()),
		Slots:            server.Slots,
		MeanOpenRequests: a.gate.MeanOpenRequests(),
		Flows:            a.gate.Flows(),
		Incarnation:      server.Incarnation,
		HasLoad:          true,
		Pending:          a.gate.Pending(),
		ServiceTime:      serviceTime,
	}
	return m
}

// Run runs the agent until ctx is canceled and then shuts it down gracefully.
func (a *Agent) Run(ctx context.Context) error {
	a.logger.Info("agent started", zap.Stringer("backend", a.settings.Passthrough.Backend), zap.Stringer("peer", a.settings.Passthrough.Peer))
	a.addSeeds(a.settings.Seeds)
	return taskgroup.Run(ctx, a.stop, append(a.tasks(a.handlePeerDatagrams, a.onTick, func() bool { return true }),
		func(ctx context.Context) error { return receive(ctx, a.outbound, a.handleServerPackets) },
		a.backend.checkWhileSuspected,
		a.backend.probeAtStart,
		a.checkpointer.run,
		a.serve(a.settings.Control, a.adapter.Heartbeats(a.backend)),
		a.serve(a.settings.Passthrough.Peer, a.peerHandler(a.checkpointer)),
	)...)
}

// stop announces that the agent is stopping. It does not wait for the backend server,
// which may keep running and be taken over by the next agent.
func (a *Agent) stop(ctx context.Context) {
	a.logger.Info("agent stopping")
	a.backend.shutDown(ctx)
	a.directory.removeEntry(ctx)
	// A lost announcement would let other processes presume that the VM has failed.
	a.announce()
}

func (a *Agent) setVersion(v *routes.Version) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = v
	a.gate.SetVersion(v)
	// Waiting opening packets may have been forwarded.
	a.sender.flush()
}

// setAgents passes changed agents to the gate. The caller holds mu.
func (a *Agent) setAgents(changed []roster.Status) {
	for _, status := range changed {
		if status.Role == roster.Agent {
			a.gate.SetAgent(gateAgent(status))
		}
	}
	a.gate.SetDiscoveryComplete(a.viewComplete())
}

// setSelf passes this agent to the gate, which is an owner of registrations too. The
// caller holds mu.
func (a *Agent) setSelf() { a.gate.SetAgent(gateAgent(roster.Status{Member: a.self()})) }

func gateAgent(status roster.Status) gate.Agent {
	return gate.Agent{
		Name:             status.Name,
		Peer:             status.Peer,
		Service:          status.Service,
		Domain:           status.Domain,
		Run:              status.Run,
		TimedOut:         status.Silent,
		ServerTerminated: status.Report.State == steer.Down,
	}
}

// viewComplete reports whether no agent is missing from the view. The caller holds mu.
func (a *Agent) viewComplete() bool { return a.directory.synced.Load() && a.roster.DiscoveryComplete() }

// viewReceived records that the agents that a balancer knows have been added. The caller holds
// mu.
func (a *Agent) viewReceived(balancer passthrough.Endpoint) {
	a.gate.SetDiscoveryComplete(a.viewComplete())
	a.gate.ViewReceived(balancer)
}

// checkpoint returns the open flows of the backend server.
func (a *Agent) checkpoint() passthrough.Checkpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Checkpoint()
}

// checkpointGroup returns the checkpoint group of this agent, formed from the reachable
// agents of its failure domain, and the number of groups in the deployment.
func (a *Agent) checkpointGroup() (members []checkpointSource, groups int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sameDomain := []checkpointSource{sourceOf(a.self())}
	agents := 1
	for status := range a.roster.Members() {
		if status.Role != roster.Agent {
			continue
		}
		agents++
		if status.Domain == a.settings.Domain && status.Reachable {
			sameDomain = append(sameDomain, sourceOf(status.Member))
		}
	}
	groups = (agents + MaxTxnEntries - 1) / MaxTxnEntries
	return groupOf(sameDomain, a.settings.Name), groups
}

func sourceOf(m roster.Member) checkpointSource {
	stopping := m.Report.State == steer.Draining || m.Report.State == steer.Down
	return checkpointSource{name: m.Name, peer: m.Peer, stopping: stopping}
}

// restore passes the checkpoint of a previous run to the gate.
func (a *Agent) restore(checkpoint passthrough.Checkpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.RestoreCheckpoint(checkpoint, a.clock.now())
	a.sender.flush()
}

// onTick runs the periodic work of the agent. The caller holds mu.
func (a *Agent) onTick(now time.Duration) {
	a.gate.SetDiscoveryComplete(a.viewComplete())
	a.gate.Tick(now)
	if failing := a.gate.Failing(); failing != a.serverFailing {
		a.serverFailing = failing
		a.logger.Warn("failure status of the backend server changed", zap.Bool("failing", failing),
			zap.Uint64("failures", a.gate.Counters().Failures), zap.String("server", a.backend.lastHeartbeat.ID))
		a.roster.Announce(now)
	}
	if now-a.lastSweep >= sweepInterval {
		a.lastSweep = now
		a.gate.ExpireFlows(now)
	}
}

// handleServerPackets handles packets of the backend server.
func (a *Agent) handleServerPackets(r *datagram.Reader, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.now()
	for i := range n {
		a.gate.HandleServerPacket(r.Prefixed(i, 0, passthrough.FrameSize), now)
	}
	a.sender.flush()
}

// handlePeerDatagrams handles datagrams of other processes.
func (a *Agent) handlePeerDatagrams(r *datagram.Reader, n int) {
	a.handleBatch(r, n, func(d []byte, now time.Duration) {
		switch passthrough.Kind(d[0]) {
		case passthrough.Deliver, passthrough.Lookup, passthrough.Registered, passthrough.Search, passthrough.Duplicate:
			a.gate.HandleDatagram(d, now)
		case passthrough.NotHeld:
			a.gate.HandleNotHeld(d)
		case passthrough.Register:
			a.gate.HandleRegister(d)
		case passthrough.Cancel:
			a.gate.HandleCancel(d, now)
		default:
			a.handleControl(d, now)
		}
	})
}

// gateMetrics are the published metrics of the gate.
type gateMetrics struct {
	gate.Counters
	Flows        int     `json:"flows"`
	OpenRequests int     `json:"open_requests"`
	Waiting      int     `json:"waiting"`
	Pending      int     `json:"pending"`
	Work         float64 `json:"work"`
	State        string  `json:"state"`
	Heartbeats   uint64  `json:"heartbeats"`
	Outdated     uint64  `json:"heartbeats_outdated"`
	Malformed    uint64  `json:"heartbeats_malformed"`
	Foreign      uint64  `json:"heartbeats_foreign"`
}

func (a *Agent) counters() gateMetrics {
	a.mu.Lock()
	defer a.mu.Unlock()
	return gateMetrics{
		Counters:     a.gate.Counters(),
		Flows:        a.gate.Flows(),
		OpenRequests: a.gate.OpenRequests(),
		Waiting:      a.gate.Waiting(),
		Pending:      a.gate.Pending(),
		Work:         a.gate.MeanOpenRequests(),
		State:        a.backend.state(a.clock.now()).String(),
		Heartbeats:   a.backend.heartbeats,
		Outdated:     a.backend.outdated,
		Malformed:    a.backend.malformed,
		Foreign:      a.backend.foreign,
	}
}
