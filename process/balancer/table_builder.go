package balancer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bergamotbank/connection/forward"
	"bergamotbank/event"
	"bergamotbank/process/membership"
	"bergamotbank/process/routing"
	"bergamotbank/version/config"
)

// planner builds the forwarder's plane whenever the configuration or the view
// changes. Changes that arrive while a plane is built are taken together.
type planner struct {
	forwarder *forward.Forwarder
	recorder  event.Recorder
	changed   chan struct{}
	ready     atomic.Bool
	domains   *routing.DomainWatch

	mu       sync.Mutex
	snapshot config.Snapshot
	view     membership.View
}

func newPlanner(forwarder *forward.Forwarder, recorder event.Recorder) *planner {
	return &planner{forwarder: forwarder, recorder: recorder, changed: make(chan struct{}, 1), domains: routing.NewDomainWatch(recorder)}
}

func (p *planner) setSnapshot(snapshot config.Snapshot) {
	p.mu.Lock()
	p.snapshot = snapshot
	p.mu.Unlock()
	p.notify()
}

func (p *planner) setView(view membership.View) {
	p.mu.Lock()
	p.view = view
	p.mu.Unlock()
	p.notify()
}

func (p *planner) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// planned tells whether a plane for an accepted configuration is in use.
func (p *planner) planned() bool {
	return p.ready.Load()
}

// run builds planes until ctx ends.
func (p *planner) run(ctx context.Context) error {
	var plane *forward.Table
	var tracker routing.Tracker
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.changed:
		}
		snapshot, view := p.inputs()
		if snapshot.Config == nil {
			continue
		}
		plane = forward.NewTable(plane, snapshot.Version, serviceInputs(&tracker, snapshot.Config, view), time.Now())
		p.forwarder.SetTable(plane)
		p.noteReady()
		p.domains.Observe(snapshot)
		p.recorder.Record(event.Event{Kind: event.TableChanged, Version: snapshot.Version, Count: uint64(len(view.Servers))})
	}
}

// noteReady records that the first plane is in use.
func (p *planner) noteReady() {
	if !p.ready.Swap(true) {
		p.recorder.Record(event.Event{Kind: event.ProcessReady})
	}
}

func (p *planner) inputs() (config.Snapshot, membership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot, p.view
}

// serviceInputs joins each configured service with its announced backend
// servers.
func serviceInputs(tracker *routing.Tracker, c *config.Config, view membership.View) []forward.ServiceInput {
	servers := tracker.Update(view, c)
	outDomains := routing.OutDomains(c)
	inputs := make([]forward.ServiceInput, 0, len(c.Services))
	for _, service := range c.Services {
		inputs = append(inputs, forward.ServiceInput{
			Address:    service.AddrPort(),
			Servers:    servers[service.Name],
			OutDomains: outDomains,
		})
	}
	return inputs
}
