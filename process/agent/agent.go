// Package agent implements the agent role, which runs beside one backend server:
// it terminates callers' flows, applies admission control to their requests,
// announces its backend server to the balancers and forwards the packets of flows
// that other agents hold.
package agent

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"bergamotbank/connection/endpoint"
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
	"bergamotbank/request/admission"
	"bergamotbank/request/limit"
	"bergamotbank/version/config"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
)

// Agent is one running agent.
type Agent struct {
	settings       settings.Settings
	logger         *zap.Logger
	ring           *timeline.Ring
	recorder       event.Recorder
	endpoint       *endpoint.Endpoint
	announcer      *membership.Announcer
	spreader       *spread.Spreader
	gate           *admission.Gate
	control        *control.Server
	connectProxy   *connectProxy
	cluster        *clusterState
	draining       atomic.Bool
	configured     atomic.Bool
	domainOut      atomic.Bool
	drainRequested chan struct{}
}

// New opens the sockets of an agent and creates its components. Run starts them.
func New(s settings.Settings, logger *zap.Logger) (*Agent, error) {
	a := &Agent{
		settings:       s,
		logger:         logger,
		ring:           timeline.NewRing(timeline.Options{Process: s.Name, Capacity: s.TimelineEvents}),
		drainRequested: make(chan struct{}, 1),
		cluster:        newClusterState(s),
	}
	a.recorder = metrics.NewRecorder(a.ring, logger, metrics.Origin{
		Service: s.Agent.Service,
		Server:  s.Agent.Server,
		Domain:  s.Domain,
	})
	if err := a.openEndpoint(); err != nil {
		return nil, err
	}
	a.gate = admission.New(admission.Options{
		Service:           s.Agent.Service,
		Server:            s.Agent.Server,
		Backend:           s.Agent.Backend,
		Recorder:          a.recorder,
		Siblings:          a.cluster.siblings,
		DependencyHealthy: a.cluster.dependencyHealthy,
		OnState:           a.announceState,
	})
	if err := a.initMembership(); err != nil {
		return nil, err
	}
	return a, a.openControl()
}

func (a *Agent) openEndpoint() error {
	var err error
	a.endpoint, err = endpoint.New(endpoint.Options{
		Listen:   a.settings.Packet,
		Fabric:   a.settings.Agent.Fabric,
		Source:   a.settings.Agent.Source,
		Name:     a.settings.Agent.Server,
		Recorder: a.recorder,
	})
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "field \"packet\"")
	}
	a.connectProxy, err = newConnectProxy(a.settings, a.cluster, a.endpoint, a.logger)
	return err
}

// initMembership creates the components that communicate with the balancers.
func (a *Agent) initMembership() error {
	a.spreader = spread.New(spread.Options{
		Self:     spread.Peer{Name: a.settings.Agent.Server, Domain: a.settings.Domain, Control: a.settings.Control},
		Peers:    a.spreadPeers,
		Recorder: a.recorder,
		Apply:    a.applySnapshot,
	})
	client := a.store()
	var err error
	a.announcer, err = membership.NewAnnouncer(membership.AnnouncerOptions{
		Self:           a.self(),
		Seeds:          a.settings.Seeds,
		Directory:      directory.New(client),
		Domains:        directory.Domains(client, a.currentConfig),
		Recorder:       a.recorder,
		Clock:          a.ring.Clock(),
		Version:        func() uint64 { return a.spreader.Current().Version },
		OnView:         a.applyView,
		OnNewerVersion: a.observePeerVersion,
		DependsOn:      a.cluster.dependsOn,
	})
	return err
}

// store returns a client of the store, or nil if no store is configured. An agent
// reads only the directory of balancers from it.
func (a *Agent) store() *store.Client {
	if !a.settings.Store.IsValid() {
		return nil
	}
	return store.NewClient(store.Options{Address: a.settings.Store.String(), Recorder: a.recorder})
}

// currentConfig returns the configuration of the highest version received, or nil if
// there is none yet.
func (a *Agent) currentConfig() *config.Config {
	return a.spreader.Current().Config
}

func (a *Agent) self() membership.Record {
	return membership.Record{
		Server:  a.settings.Agent.Server,
		Service: a.settings.Agent.Service,
		Domain:  a.settings.Domain,
		Packet:  a.settings.Packet,
		Control: a.settings.Control,
		State:   membership.Cold,
		Weight:  limit.ColdWeight,
	}
}

// openControl opens the control address, mounts the components' handlers and
// publishes the metrics.
func (a *Agent) openControl() error {
	var err error
	a.control, err = control.New(control.Options{
		Listen: a.settings.Control,
		Ready:  a.ready,
		Drain:  a.requestDrain,
		Logger: a.logger,
	})
	if err != nil {
		return err
	}
	a.control.Mount(a.gate.Handler())
	a.control.Mount(a.spreader.Handler())
	a.control.Mount(a.ring.Handler())
	metrics.Publish("endpoint", func() any { return a.endpoint.Counters() })
	metrics.Publish("flows", func() any { return a.endpoint.Flows() })
	metrics.Publish("gate", func() any { return a.gate.Counters() })
	metrics.Publish("version", func() any { return a.spreader.Current().Version })
	return nil
}

// Run runs the agent until ctx is done, then shuts it down gracefully: the agent
// drains before Run returns.
func (a *Agent) Run(ctx context.Context) error {
	a.recorder.Record(event.Event{Kind: event.ProcessStarted, Peer: a.settings.Name})
	return taskgroup.Run(ctx, a.stop,
		a.control.Run,
		a.endpoint.Run,
		a.announcer.Run,
		a.spreader.Run,
		a.gate.Run,
		a.connectProxy.run,
		a.accept,
		a.awaitDrainRequest,
	)
}

func (a *Agent) ready() (ok bool, reason string) {
	switch {
	case a.draining.Load():
		return false, "draining"
	case a.spreader.Current().Config == nil:
		return false, "no configuration is in force"
	case a.domainOut.Load():
		return false, "the failure domain is out"
	}
	return true, ""
}

// announceState announces a change of the backend server's state to the balancers.
func (a *Agent) announceState(state limit.State, weight uint16) {
	if a.draining.Load() {
		return
	}
	a.announcer.SetState(membership.State(state), weight)
}

// spreadPeers returns the balancers that this agent announces to as the spreader's
// peers.
func (a *Agent) spreadPeers() []spread.Peer {
	return peers.AllForSpread(a.announcer.Homes())
}

func (a *Agent) observePeerVersion(version uint64, from membership.Peer) {
	a.spreader.ObserveVersion(version, peers.ForSpread(from))
}
