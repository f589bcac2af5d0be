package routing

import (
	"bergamotbank/event"
	"bergamotbank/version/config"
)

// DomainWatch records an event when a failure domain is taken out of service or
// returned to service. It is not safe for concurrent use.
type DomainWatch struct {
	recorder     event.Recorder
	outOfService map[string]bool
}

// NewDomainWatch returns a DomainWatch that assumes that every failure domain is
// in service.
func NewDomainWatch(recorder event.Recorder) *DomainWatch {
	return &DomainWatch{recorder: recorder, outOfService: make(map[string]bool)}
}

// Observe compares a newly applied configuration version with the previous one
// and records the changes.
func (w *DomainWatch) Observe(snapshot config.Snapshot) {
	for _, domain := range snapshot.Config.Domains {
		if domain.Out == w.outOfService[domain.Name] {
			continue
		}
		w.outOfService[domain.Name] = domain.Out
		kind := event.DomainIn
		if domain.Out {
			kind = event.DomainOut
		}
		w.recorder.Record(event.Event{Kind: kind, Domain: domain.Name, Version: snapshot.Version})
	}
}
