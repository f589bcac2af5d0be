package admission

import (
	"context"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
	"bergamotbank/request/queue"
)

const (
	// eventBuffer is the number of events that wait for the engine.
	eventBuffer = 256
	// tickPeriod is the period of the engine's timer.
	tickPeriod = 20 * time.Millisecond
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
	eventChill
	eventHint
)

// engineEvent is one input of the engine.
type engineEvent struct {
	kind        eventKind
	id          queue.ID
	deadline    time.Time
	decided     chan decision
	sample      limit.Sample
	slots       int
	connections int
	well        bool
	// atOnce refuses an arrival that cannot start at once.
	atOnce bool
}

// decision tells whether a request starts or why it is refused.
type decision struct {
	start  bool
	reason errkind.Kind
}

// snapshot is what others may read of the engine.
type snapshot struct {
	room   int
	full   bool
	paused bool
	open   int
	slots  int
	limit  int
	falls  uint64
	state  limit.State
}

// engine runs the admission controller in one goroutine.
type engine struct {
	options    Options
	events     chan engineEvent
	done       chan struct{}
	controller *lifecycle.Controller
	waiters    map[queue.ID]chan decision
	publish    func(snapshot)
}

func newEngine(options Options, publish func(snapshot)) *engine {
	return &engine{
		options:    options,
		events:     make(chan engineEvent, eventBuffer),
		done:       make(chan struct{}),
		controller: lifecycle.NewController(defaultSlots, defaultConnections, time.Now()),
		waiters:    make(map[queue.ID]chan decision),
		publish:    publish,
	}
}

// post hands an event to the engine, and tells whether it still runs.
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
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-e.events:
			e.perform(e.decide(ev, time.Now()))
		case now := <-ticker.C:
			e.perform(e.controller.Tick(now))
		}
		e.publish(e.snapshot(time.Now()))
	}
}

func (e *engine) decide(ev engineEvent, now time.Time) []lifecycle.Action {
	c := e.controller
	switch ev.kind {
	case eventArrive:
		e.waiters[ev.id] = ev.decided
		if ev.atOnce {
			return c.ArriveAtOnce(ev.id, ev.deadline, now)
		}
		return c.Arrive(ev.id, ev.deadline, now)
	case eventCancel:
		return e.cancel(ev, now)
	case eventFinish:
		return c.Finish(ev.sample, now)
	case eventFinishUnsent:
		return c.FinishUnsent(now)
	case eventStream:
		return c.Stream(ev.sample, now)
	case eventFinishStream:
		return c.FinishStream(ev.sample, now)
	case eventLimits:
		return c.SetLimits(ev.slots, ev.connections, now)
	case eventDrain:
		return c.Drain(now)
	case eventChill:
		return c.Chill(now)
	case eventHint:
		return c.Hint(ev.well, now)
	}
	return nil
}

// cancel removes a waiting request. One that has started meanwhile was never
// sent, as its goroutine is the one that cancels.
func (e *engine) cancel(ev engineEvent, now time.Time) []lifecycle.Action {
	waited, actions := e.controller.Cancel(ev.id, now)
	if waited {
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

func (e *engine) perform(actions []lifecycle.Action) {
	for _, a := range actions {
		switch a.Kind {
		case lifecycle.ActionStart:
			e.answer(a.ID, decision{start: true})
		case lifecycle.ActionRefuse:
			e.answer(a.ID, decision{reason: a.Reason})
		case lifecycle.ActionAnnounce:
			e.announce(a)
		}
	}
}

func (e *engine) answer(id queue.ID, d decision) {
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
		room:   e.controller.Room(now),
		full:   e.controller.Full(),
		paused: l.InBackoff(now),
		open:   e.controller.Open(),
		slots:  l.Slots(),
		limit:  l.Limit(),
		falls:  l.LimitResets(),
		state:  l.State(),
	}
}
