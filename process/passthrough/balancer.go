package passthrough

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/process/metrics"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/process/taskgroup"
	"bergamotbank/version/routes"
)

// Balancer receives callers' packets from the fabric and sends them to agents.
type Balancer struct {
	*node
	callers  *datagram.Conn
	steer    *steer.Router
	stopping atomic.Bool
}

// NewBalancer opens the UDP sockets of a balancer. Run starts it.
func NewBalancer(s settings.Settings, logger *zap.Logger, adapter Adapter, reload Reload) (*Balancer, error) {
	n, err := newNode(roster.Balancer, s, logger, adapter, reload)
	if err != nil {
		return nil, err
	}
	b := &Balancer{node: n}
	if b.callers, err = listenDatagrams(s.Packet); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"packet\"")
	}
	b.steer = steer.New(steer.Options{
		Format:      adapter.Format,
		Domain:      s.Domain,
		Self:        n.self(),
		CallerPort:  s.Packet.Port(),
		Sender:      n.sender,
		OnRefusal:   b.logRefusal,
		OnPlacement: b.logPlacement,
		OnLookup:    b.logLookup,
		Now:         n.clock.now,
		RequestReport: func(agent passthrough.Endpoint) {
			n.roster.RequestReport(agent, n.clock.now())
		},
		HedgeLimit: s.Passthrough.HedgeLimit,
		OnHedge:    b.logHedge,
	})
	n.config = newConfigSync(n, b.setVersion)
	n.roster = roster.New(roster.Options{
		Self:           n.member,
		Sender:         n.sender,
		OnNewerVersion: n.noteNewerVersion,
		OnConfirmed:    n.noteConfirmed,
		OnReport:       func(status roster.Status) { b.steer.UpdateLoad(serverOf(status)) },
		OnChange:       b.setServers,
		OnRemove:       func(m roster.Member) { b.steer.RemoveServer(m.Peer) },
		OnMemberChange: n.logMember,
		OnIsolation:    n.logIsolation,
		CheckVM:        n.checkVM,
	})
	n.publishMetrics()
	metrics.Publish("steer", func() any { return b.counters() })
	return b, nil
}

// Run runs the balancer until ctx is canceled and then shuts it down gracefully.
func (b *Balancer) Run(ctx context.Context) error {
	b.logger.Info("balancer started", zap.Stringer("packet", b.settings.Packet), zap.Stringer("peer", b.settings.Passthrough.Peer))
	b.addSeeds(b.settings.Seeds)
	return taskgroup.Run(ctx, b.stop, append(b.tasks(b.handlePeerDatagrams, b.steer.Tick, b.ready),
		func(ctx context.Context) error { return receive(ctx, b.callers, b.handleCallerPackets) },
		b.serve(b.settings.Passthrough.Peer, b.handler()),
	)...)
}

// stop makes the readiness probe fail and keeps forwarding packets for the grace period,
// so that the fabric can detect it and stop sending packets.
func (b *Balancer) stop(ctx context.Context) {
	b.stopping.Store(true)
	b.logger.Info("balancer stopping", zap.Duration("grace", time.Duration(b.settings.Balancer.StopGrace)))
	sleep(ctx, time.Duration(b.settings.Balancer.StopGrace))
	b.directory.removeEntry(ctx)
}

// ready reports whether the fabric may send callers' packets. A balancer that receives no
// heartbeats cannot reach the agents either.
func (b *Balancer) ready() bool {
	if b.stopping.Load() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steer.Ready() && !b.roster.Isolated(b.clock.now())
}

func (b *Balancer) setVersion(v *routes.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = v
	b.steer.SetVersion(v)
}

// setServers passes changed backend servers to the router. The caller holds mu.
func (b *Balancer) setServers(changed []roster.Status) {
	for _, status := range changed {
		if status.Role == roster.Agent {
			b.steer.SetServer(serverOf(status))
		}
	}
}

func serverOf(status roster.Status) steer.Server {
	return steer.Server{
		Name:             status.Name,
		Agent:            status.Peer,
		Service:          status.Service,
		Domain:           status.Domain,
		State:            status.Report.State,
		Slots:            status.Report.Slots,
		MeanOpenRequests: status.Report.MeanOpenRequests,
		Flows:            status.Report.Flows,
		HasLoad:          status.Report.HasLoad,
		Pending:          status.Report.Pending,
		ServiceTime:      status.Report.ServiceTime,
		ReportedAt:       status.LastHeartbeatAt,
		Reachable:        status.Reachable,
		TimedOut:         status.Silent,
	}
}

// handleCallerPackets handles packets that the fabric delivered.
func (b *Balancer) handleCallerPackets(r *datagram.Reader, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range n {
		b.steer.HandlePacket(r.Prefixed(i, 0, passthrough.FrameSize))
	}
	b.steer.CheckHedges()
	b.sender.flush()
}

// handlePeerDatagrams handles datagrams of other processes.
func (b *Balancer) handlePeerDatagrams(r *datagram.Reader, n int) {
	b.handleBatch(r, n, func(d []byte, now time.Duration) {
		kind := passthrough.Kind(d[0])
		if kind == passthrough.NotHeld {
			if agent, flow, number, err := passthrough.ParseRefusal(d); err == nil {
				b.steer.SetNotHeld(agent, flow, number)
			}
			return
		}
		if kind != passthrough.Learned && kind != passthrough.Redirected {
			b.handleControl(d, now)
			return
		}
		agent, flow, err := passthrough.ParseHolder(d)
		switch {
		case err != nil:
		case kind == passthrough.Learned:
			b.steer.SetHolder(agent, flow)
		default:
			b.steer.SetCandidate(agent, flow)
		}
	})
}

func (b *Balancer) counters() steer.Counters {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.steer.Counters()
}
