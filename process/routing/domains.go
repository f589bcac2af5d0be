package routing

import (
	"bergamotbank/event"
	"bergamotbank/version/config"
)

// DomainWatch records when a failure domain is taken out or brought back. It is
// not safe for concurrent use.
type DomainWatch struct {
	recorder event.Recorder
	out      map[string]bool
}

// NewDomainWatch returns a watch that takes every failure domain for in.
func NewDomainWatch(recorder event.Recorder) *DomainWatch {
	return &DomainWatch{recorder: recorder, out: make(map[string]bool)}
}

// Observe compares a version that came into force with the one before.
func (w *DomainWatch) Observe(snapshot config.Snapshot) {
	for _, domain := range snapshot.Config.Domains {
		if domain.Out == w.out[domain.Name] {
			continue
		}
		w.out[domain.Name] = domain.Out
		kind := event.DomainIn
		if domain.Out {
			kind = event.DomainOut
		}
		w.recorder.Record(event.Event{Kind: kind, Domain: domain.Name, Version: snapshot.Version})
	}
}
