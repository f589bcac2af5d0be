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

// Recorder counts each event by kind, logs it and passes it on.
type Recorder struct {
	next   event.Recorder
	logger *zap.Logger
	counts *expvar.Map
}

// NewRecorder returns a Recorder in front of next.
func NewRecorder(next event.Recorder, logger *zap.Logger) *Recorder {
	counts, ok := expvar.Get(eventsName).(*expvar.Map)
	if !ok {
		counts = expvar.NewMap(eventsName)
	}
	return &Recorder{next: next, logger: logger, counts: counts}
}

// Record counts, logs and passes on the event.
func (r *Recorder) Record(e event.Event) {
	r.counts.Add(string(e.Kind), 1)
	r.next.Record(e)
	entry := r.logger.Check(levelOf(e.Kind), string(e.Kind))
	if entry != nil {
		entry.Write(fields(e)...)
	}
}
