// Package metrics publishes the counters of a process through expvar and counts
// its events.
package metrics

import (
	"expvar"

	"go.uber.org/zap"

	"bergamotbank/event"
)

// Publish makes the value that read returns visible under name at /debug/vars.
// A name that is published already keeps its first reader.
func Publish(name string, read func() any) {
	if expvar.Get(name) != nil {
		return
	}
	expvar.Publish(name, expvar.Func(read))
}

// eventsName is the name of the event counters at /debug/vars.
const eventsName = "events"

// Origin names what the events of a process are about unless they say otherwise.
type Origin struct {
	// Service, Server and Domain fill these fields of events that leave all
	// three empty, which then are about the process itself.
	Service, Server, Domain string
}

// Recorder counts each event by kind, logs it and passes it on.
type Recorder struct {
	next   event.Recorder
	logger *zap.Logger
	origin Origin
	counts *expvar.Map
}

// NewRecorder returns a Recorder in front of next.
func NewRecorder(next event.Recorder, logger *zap.Logger, origin Origin) *Recorder {
	counts, ok := expvar.Get(eventsName).(*expvar.Map)
	if !ok {
		counts = expvar.NewMap(eventsName)
	}
	return &Recorder{next: next, logger: logger, origin: origin, counts: counts}
}

// Record counts, logs and passes on the event.
func (r *Recorder) Record(e event.Event) {
	e = r.origin.fill(e)
	r.counts.Add(string(e.Kind), 1)
	r.next.Record(e)
	entry := r.logger.Check(levelOf(e.Kind), string(e.Kind))
	if entry != nil {
		entry.Write(fields(e)...)
	}
}

// fill completes an event that is about the process itself, or about its own
// backend server.
func (o Origin) fill(e event.Event) event.Event {
	own := e.Server == "" && e.Domain == "" && e.Service == ""
	if !own && (e.Server == "" || e.Server != o.Server) {
		return e
	}
	e.Service = o.Service
	e.Server = o.Server
	e.Domain = o.Domain
	return e
}
