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

// tableBuilder rebuilds the forwarding table whenever the configuration or the
// view changes. Changes that arrive during a rebuild are applied together in the
// next one.
type tableBuilder struct {
	forwarder   *forward.Forwarder
	recorder    event.Recorder
	changed     chan struct{}
	ready       atomic.Bool
	domainWatch *routing.DomainWatch

	mu       sync.Mutex
	snapshot config.Snapshot
	view     membership.View
}

func newTableBuilder(forwarder *forward.Forwarder, recorder event.Recorder) *tableBuilder {
	return &tableBuilder{forwarder: forwarder, recorder: recorder, changed: make(chan struct{}, 1), domainWatch: routing.NewDomainWatch(recorder)}
}

func (b *tableBuilder) setSnapshot(snapshot config.Snapshot) {
	b.mu.Lock()
	b.snapshot = snapshot
	b.mu.Unlock()
	b.notify()
}

func (b *tableBuilder) setView(view membership.View) {
	b.mu.Lock()
	b.view = view
	b.mu.Unlock()
	b.notify()
}

func (b *tableBuilder) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// hasTable reports whether a forwarding table is in use.
func (b *tableBuilder) hasTable() bool {
	return b.ready.Load()
}

// run rebuilds the forwarding table after each change until ctx is done.
func (b *tableBuilder) run(ctx context.Context) error {
	var table *forward.Table
	var tracker routing.Tracker
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.changed:
		}
		snapshot, view := b.inputs()
		if snapshot.Config == nil {
			continue
		}
		table = forward.NewTable(table, snapshot.Version, serviceInputs(&tracker, snapshot.Config, view), time.Now())
		b.forwarder.SetTable(table)
		b.recordReady()
		b.domainWatch.Observe(snapshot)
		b.recorder.Record(event.Event{Kind: event.TableChanged, Version: snapshot.Version, Count: uint64(len(view.Servers))})
	}
}

// recordReady records an event when the first table is in use.
func (b *tableBuilder) recordReady() {
	if !b.ready.Swap(true) {
		b.recorder.Record(event.Event{Kind: event.ProcessReady})
	}
}

func (b *tableBuilder) inputs() (config.Snapshot, membership.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.snapshot, b.view
}

// serviceInputs returns the forwarding table's input for each configured service.
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
