package admission

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
)

const (
	// eventBuffer is the capacity of the engine's event channel.
	eventBuffer = 256
	// tickInterval is the interval between two ticks of the controller.
	tickInterval = 20 * time.Millisecond
)

type eventKind uint8

const (
	eventArrive eventKind = iota
	eventCancel
	eventFinish
	eventFinishUnsent
	eventStream
	eventFinishStream
	eventLimits
	eventDrain
	eventMarkCold
	eventHealth
)

// engineEvent is an event for the engine to handle.
type engineEvent struct {
	kind        eventKind
	id          lifecycle.ID
	deadline    time.Time
	decided     chan decision
	sample      limit.Sample
	slots       int
	connections int
	healthy     bool
	// noQueue refuses an arriving request that cannot start immediately.
	noQueue bool
}

// decision says that a request may start, or why it is refused.
type decision struct {
	start  bool
	reason errkind.Kind
}

// snapshot is the state of the engine that other goroutines may read.
type snapshot struct {
	freeSlots   int
	queueFull   bool
	paused      bool
	open        int
	slots       int
	limit       int
	limitResets uint64
	state       limit.State
}

// engine runs the admission controller in a single goroutine.
type engine struct {
	options    Options
	events     chan engineEvent
	done       chan struct{}
	controller *lifecycle.Controller
	waiters    map[lifecycle.ID]chan decision
	publish    func(snapshot)
}

func newEngine(options Options, publish func(snapshot)) *engine {
	return &engine{
		options:    options,
		events:     make(chan engineEvent, eventBuffer),
		done:       make(chan struct{}),
		controller: lifecycle.NewController(defaultSlots, defaultConnections, time.Now()),
		waiters:    make(map[lifecycle.ID]chan decision),
		publish:    publish,
	}
}

// post sends an event to the engine. It returns false if the engine has stopped.
func (e *engine) post(ev engineEvent) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.done:
		return false
	}
}

func (e *engine) run(ctx context.Context) {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			e.execute(e.handle(ev, time.Now()))
		case now := <-ticker.C:
			e.execute(e.controller.Tick(now))
		}
		e.publish(e.snapshot(time.Now()))
	}
}

func (e *engine) handle(ev engineEvent, now time.Time) []lifecycle.Action {
	c := e.controller
	switch ev.kind {
	case eventArrive:
		e.waiters[ev.id] = ev.decided
		if ev.noQueue {
			return c.ArriveWithoutQueueing(ev.id, ev.deadline, now)
		}
		return c.Arrive(ev.id, ev.deadline, now)
	case eventCancel:
		return e.cancel(ev, now)
	case eventFinish:
		return c.Finish(ev.sample, now)
	case eventFinishUnsent:
		return c.FinishUnsent(now)
	case eventStream:
		return c.StartStream(ev.sample, now)
	case eventFinishStream:
		return c.FinishStream(ev.sample, now)
	case eventLimits:
		return c.SetLimits(ev.slots, ev.connections, now)
	case eventDrain:
		return c.Drain(now)
	case eventMarkCold:
		return c.MarkCold(now)
	case eventHealth:
		return c.UpdateHealth(ev.healthy, now)
	}
	return nil
}

// cancel removes a request from the queue. If the request has been started in the
// meantime, it was never sent, because the goroutine that would send it is the one
// that cancels it.
func (e *engine) cancel(ev engineEvent, now time.Time) []lifecycle.Action {
	queued, actions := e.controller.Cancel(ev.id, now)
	if queued {
		delete(e.waiters, ev.id)
		return actions
	}
	select {
	case d := <-ev.decided:
		if d.start {
			return e.controller.FinishUnsent(now)
		}
	default:
	}
	return nil
}

func (e *engine) execute(actions []lifecycle.Action) {
	for _, a := range actions {
		switch a.Kind {
		case lifecycle.ActionStart:
			e.notify(a.ID, decision{start: true})
		case lifecycle.ActionRefuse:
			e.notify(a.ID, decision{reason: a.Reason})
		case lifecycle.ActionAnnounce:
			e.announce(a)
		}
	}
}

func (e *engine) notify(id lifecycle.ID, d decision) {
	decided := e.waiters[id]
	delete(e.waiters, id)
	if decided != nil {
		decided <- d
	}
}

func (e *engine) announce(a lifecycle.Action) {
	kind := event.LimitChanged
	if a.State == limit.Cold {
		kind = event.BackendCold
	}
	e.options.Recorder.Record(event.Event{
		Kind:    kind,
		Service: e.options.Service,
		Server:  e.options.Server,
		Count:   uint64(e.controller.Limiter().Limit()),
		Detail:  a.State.String(),
	})
	if e.options.OnState != nil {
		e.options.OnState(a.State, a.Weight)
	}
}

func (e *engine) snapshot(now time.Time) snapshot {
	l := e.controller.Limiter()
	return snapshot{
		freeSlots:   e.controller.FreeSlots(now),
		queueFull:   e.controller.Full(),
		paused:      l.InBackoff(now),
		open:        e.controller.Open(),
		slots:       l.Slots(),
		limit:       l.Limit(),
		limitResets: l.LimitResets(),
		state:       l.State(),
	}
}
