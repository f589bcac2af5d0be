// Package agent runs the agent role beside one backend server: it ends callers'
// flows, admits their requests, announces its backend server to the balancers
// and passes on packets of flows that other agents hold.
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
	"bergamotbank/process/duty"
	"bergamotbank/process/membership"
	"bergamotbank/process/metrics"
	"bergamotbank/process/peers"
	"bergamotbank/process/settings"
	"bergamotbank/process/timeline"
	"bergamotbank/request/admission"
	"bergamotbank/request/limit"
	"bergamotbank/version/config"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
)

// Agent is one running agent.
type Agent struct {
	settings   settings.Settings
	logger     *zap.Logger
	ring       *timeline.Ring
	recorder   event.Recorder
	endpoint   *endpoint.Endpoint
	announcer  *membership.Announcer
	spreader   *spread.Spreader
	gate       *admission.Gate
	control    *control.Server
	calls      *calls
	world      *world
	draining   atomic.Bool
	configured atomic.Bool
	out        atomic.Bool
	drain      chan struct{}
}

// New opens the addresses of an agent and builds its parts. Nothing runs before
// Run.
func New(s settings.Settings, logger *zap.Logger) (*Agent, error) {
	a := &Agent{
		settings: s,
		logger:   logger,
		ring:     timeline.NewRing(timeline.Options{Process: s.Name, Capacity: s.TimelineEvents}),
		drain:    make(chan struct{}, 1),
		world:    newWorld(s),
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
		Siblings:          a.world.siblings,
		DependencyHealthy: a.world.dependencyHealthy,
		OnState:           a.announceState,
	})
	if err := a.join(); err != nil {
		return nil, err
	}
	return a, a.serve()
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
	a.calls, err = newCalls(a.settings, a.world, a.endpoint, a.logger)
	return err
}

// join builds the parts that talk to the balancers.
func (a *Agent) join() error {
	a.spreader = spread.New(spread.Options{
		Self:     spread.Peer{Name: a.settings.Agent.Server, Domain: a.settings.Domain, Control: a.settings.Control},
		Peers:    a.homes,
		Recorder: a.recorder,
		Apply:    a.applySnapshot,
	})
	client := a.store()
	var err error
	a.announcer, err = membership.NewAnnouncer(membership.AnnouncerOptions{
		Self:      a.self(),
		Seeds:     a.settings.Seeds,
		Directory: directory.New(client),
		Domains:   directory.Domains(client, a.currentConfig),
		Recorder:  a.recorder,
		Clock:     a.ring.Clock(),
		Version:   func() uint64 { return a.spreader.Current().Version },
		OnView:    a.applyView,
		OnHint:    a.hint,
		DependsOn: a.world.dependsOn,
	})
	return err
}

// store returns a client of the store, nil when the settings name none. An agent
// reads only the directory of balancers from it.
func (a *Agent) store() *store.Client {
	if !a.settings.Store.IsValid() {
		return nil
	}
	return store.NewClient(store.Options{Address: a.settings.Store.String(), Recorder: a.recorder})
}

// currentConfig returns the configuration in force, nil before the first.
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

// serve opens the control address and mounts the services of the parts.
func (a *Agent) serve() error {
	var err error
	a.control, err = control.New(control.Options{
		Listen: a.settings.Control,
		Ready:  a.ready,
		Drain:  a.startDrain,
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

// Run works until ctx ends, which is a planned stop: the agent drains and then
// returns.
func (a *Agent) Run(ctx context.Context) error {
	a.recorder.Record(event.Event{Kind: event.ProcessStarted, Peer: a.settings.Name})
	return duty.Run(ctx, a.stop,
		a.control.Run,
		a.endpoint.Run,
		a.announcer.Run,
		a.spreader.Run,
		a.gate.Run,
		a.calls.run,
		a.accept,
		a.watchDrain,
	)
}

func (a *Agent) ready() (ok bool, reason string) {
	switch {
	case a.draining.Load():
		return false, "draining"
	case a.spreader.Current().Config == nil:
		return false, "no configuration is in force"
	case a.out.Load():
		return false, "the failure domain is out"
	}
	return true, ""
}

// announceState passes a change of the backend server's state on to the homes.
func (a *Agent) announceState(state limit.State, weight uint16) {
	if a.draining.Load() {
		return
	}
	a.announcer.SetState(membership.State(state), weight)
}

// homes gives the balancers that this agent announces to to the spreader.
func (a *Agent) homes() []spread.Peer {
	return peers.AllForSpread(a.announcer.Homes())
}

func (a *Agent) hint(version uint64, from membership.Peer) {
	a.spreader.Hint(version, peers.ForSpread(from))
}
