// Package metrics publishes the metrics of a process through expvar, and logs and
// counts its events.
package metrics

import (
	"expvar"

	"go.uber.org/zap"

	"bergamotbank/event"
)

// Publish publishes the value that read returns under name at /debug/vars. If name is
// already published, it keeps its first read function.
func Publish(name string, read func() any) {
	if expvar.Get(name) != nil {
		return
	}
	expvar.Publish(name, expvar.Func(read))
}

// eventsName is the name of the event counters at /debug/vars.
const eventsName = "events"

// Origin is the default subject of the events of a process.
type Origin struct {
	// Service, Server and Domain are set in events about the process itself, which have
	// none of the three fields, and in events about Server.
	Service, Server, Domain string
}

// Recorder counts events by kind, logs them and passes them to the next recorder.
type Recorder struct {
	next     event.Recorder
	logger   *zap.Logger
	origin   Origin
	counters *expvar.Map
}

// NewRecorder returns a Recorder that passes events to next.
func NewRecorder(next event.Recorder, logger *zap.Logger, origin Origin) *Recorder {
	counters, ok := expvar.Get(eventsName).(*expvar.Map)
	if !ok {
		counters = expvar.NewMap(eventsName)
	}
	return &Recorder{next: next, logger: logger, origin: origin, counters: counters}
}

// Record counts and logs the event and passes it to the next recorder.
func (r *Recorder) Record(e event.Event) {
	e = r.origin.applyTo(e)
	r.counters.Add(string(e.Kind), 1)
	r.next.Record(e)
	entry := r.logger.Check(levelOf(e.Kind), string(e.Kind))
	if entry != nil {
		entry.Write(logFields(e)...)
	}
}

// applyTo sets the fields of an event that is about the process itself or about its
// backend server.
func (o Origin) applyTo(e event.Event) event.Event {
	aboutProcess := e.Server == "" && e.Domain == "" && e.Service == ""
	if !aboutProcess && (e.Server == "" || e.Server != o.Server) {
		return e
	}
	e.Service = o.Service
	e.Server = o.Server
	e.Domain = o.Domain
	return e
}
