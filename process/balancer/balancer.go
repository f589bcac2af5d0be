// Package balancer implements the balancer role: it receives callers' packets
// from the network fabric and sends each to the agent of a backend server of the
// addressed service. It keeps no per-flow state; it builds its steering tables
// from the active configuration and the membership view of the backend servers.
package balancer

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/forward"
	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/process/control"
	"bergamotbank/process/directory"
	"bergamotbank/process/membership"
	"bergamotbank/process/metrics"
	"bergamotbank/process/peers"
	"bergamotbank/process/settings"
	"bergamotbank/process/taskgroup"
	"bergamotbank/process/timeline"
	"bergamotbank/version/config"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
)

// Balancer is one running balancer.
type Balancer struct {
	settings     settings.Settings
	logger       *zap.Logger
	ring         *timeline.Ring
	recorder     event.Recorder
	forwarder    *forward.Forwarder
	node         *membership.Node
	spreader     *spread.Spreader
	control      *control.Server
	tableBuilder *tableBuilder
	stopping     atomic.Bool
}

// New opens the sockets of a balancer and creates its components. Run starts
// them.
func New(s settings.Settings, logger *zap.Logger) (*Balancer, error) {
	b := &Balancer{
		settings: s,
		logger:   logger,
		ring:     timeline.NewRing(timeline.Options{Process: s.Name, Capacity: s.TimelineEvents}),
	}
	recorder := metrics.NewRecorder(b.ring, logger, metrics.Origin{Domain: s.Domain})
	b.recorder = recorder
	var err error
	b.forwarder, err = forward.New(forward.Options{
		Listen:      s.Packet,
		Recorder:    recorder,
		SourcePorts: s.Balancer.SourcePorts,
	})
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"packet\"")
	}
	b.tableBuilder = newTableBuilder(b.forwarder, recorder)
	if err := b.initMembership(recorder); err != nil {
		return nil, err
	}
	return b, b.openControl()
}

// initMembership creates the components that communicate with the store and with
// other processes.
func (b *Balancer) initMembership(recorder event.Recorder) error {
	client := store.NewClient(store.Options{Address: b.settings.Store.String(), Recorder: recorder})
	b.spreader = spread.New(spread.Options{
		Self:     spread.Peer{Name: b.settings.Name, Domain: b.settings.Domain, Control: b.settings.Control},
		Store:    client,
		Peers:    b.spreadPeers,
		Recorder: recorder,
		Apply:    b.tableBuilder.setSnapshot,
	})
	var err error
	b.node, err = membership.NewNode(membership.NodeOptions{
		Self:           b.self(),
		Seeds:          b.settings.Seeds,
		Directory:      directory.New(client),
		Domains:        directory.Domains(client, b.currentConfig),
		Recorder:       recorder,
		Clock:          b.ring.Clock(),
		Version:        func() uint64 { return b.spreader.Current().Version },
		OnView:         b.tableBuilder.setView,
		OnNewerVersion: b.observePeerVersion,
	})
	return err
}

// currentConfig returns the configuration of the highest version received, or nil if
// there is none yet.
func (b *Balancer) currentConfig() *config.Config {
	return b.spreader.Current().Config
}

func (b *Balancer) self() membership.Peer {
	return membership.Peer{
		Name:    b.settings.Name,
		Domain:  b.settings.Domain,
		Packet:  b.settings.Packet,
		Control: b.settings.Control,
	}
}

// openControl opens the control address, mounts the components' handlers and
// publishes the metrics.
func (b *Balancer) openControl() error {
	var err error
	b.control, err = control.New(control.Options{
		Listen: b.settings.Control,
		Ready:  b.ready,
		Logger: b.logger,
	})
	if err != nil {
		return err
	}
	b.control.Mount(b.node.Handler())
	b.control.Mount(b.spreader.Handler())
	b.control.Mount(b.ring.Handler())
	b.control.Mount(control.ServersPath, http.HandlerFunc(b.listServers))
	metrics.Publish("forward", func() any { return b.forwarder.Counters() })
	metrics.Publish("version", func() any { return b.spreader.Current().Version })
	metrics.Publish("view", func() any { return newViewSize(b.node.View()) })
	return nil
}

// Run runs the balancer until ctx is done, then shuts it down gracefully: the
// balancer reports that it is not ready, keeps forwarding for the grace period
// and then stops.
func (b *Balancer) Run(ctx context.Context) error {
	b.recorder.Record(event.Event{Kind: event.ProcessStarted, Peer: b.settings.Name})
	return taskgroup.Run(ctx, b.stop,
		b.control.Run,
		b.forwarder.Run,
		b.node.Run,
		b.spreader.Run,
		b.tableBuilder.run,
	)
}

// stop reports the balancer as not ready and waits for the grace period, so that
// the fabric stops sending packets to it.
func (b *Balancer) stop(ctx context.Context) {
	b.stopping.Store(true)
	b.recorder.Record(event.Event{Kind: event.ProcessStopping, Peer: b.settings.Name})
	b.logger.Info("stopping", zap.Duration("grace", time.Duration(b.settings.Balancer.StopGrace)))
	select {
	case <-time.After(time.Duration(b.settings.Balancer.StopGrace)):
	case <-ctx.Done():
	}
}

func (b *Balancer) ready() (ok bool, reason string) {
	switch {
	case b.stopping.Load():
		return false, "stopping"
	case !b.node.Ready():
		return false, "the view of the backend servers is not complete"
	case !b.tableBuilder.hasTable():
		return false, "no configuration is in force"
	case b.currentConfig().DomainOut(b.settings.Domain):
		return false, "the failure domain is out"
	}
	return true, ""
}

// spreadPeers returns the balancers of the current view as the spreader's peers.
func (b *Balancer) spreadPeers() []spread.Peer {
	return peers.AllForSpread(b.node.View().Peers)
}

func (b *Balancer) observePeerVersion(version uint64, from membership.Peer) {
	b.spreader.ObserveVersion(version, peers.ForSpread(from))
}

// viewSize is the metric for the size of the membership view.
type viewSize struct {
	Servers int `json:"servers"`
	Peers   int `json:"peers"`
}

func newViewSize(view membership.View) viewSize {
	return viewSize{Servers: len(view.Servers), Peers: len(view.Peers)}
}
