package timeline

import (
	"slices"

	"bergamotbank/event"
	pb "bergamotbank/process/timeline/timelinepb"
)

// Entry is one event of a process.
type Entry struct {
	// Stamp orders the events of all processes causally.
	Stamp Stamp
	// Position is the sequence number in the ring of the process, starting from 1.
	Position uint64
	// Process is the name of the process.
	Process string
	// Event is what happened.
	Event event.Event
}

// Filter selects entries. Empty fields match all entries.
type Filter struct {
	Service string
	Server  string
	Domain  string
	Request string
	Kinds   []event.Kind
	// Since is the lowest stamp that matches.
	Since Stamp
}

// Match reports whether the filter selects an entry.
func (f Filter) Match(e Entry) bool {
	return e.Stamp >= f.Since &&
		matches(f.Service, e.Event.Service) &&
		matches(f.Server, e.Event.Server) &&
		matches(f.Domain, e.Event.Domain) &&
		matches(f.Request, e.Event.Request) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Event.Kind))
}

func matches(want, value string) bool {
	return want == "" || want == value
}

func (f Filter) toWire() *pb.Filter {
	kinds := make([]string, 0, len(f.Kinds))
	for _, kind := range f.Kinds {
		kinds = append(kinds, string(kind))
	}
	return &pb.Filter{
		Service: f.Service,
		Server:  f.Server,
		Domain:  f.Domain,
		Request: f.Request,
		Kinds:   kinds,
		Since:   uint64(f.Since),
	}
}

func filterFromWire(m *pb.Filter) Filter {
	filter := Filter{
		Service: m.GetService(),
		Server:  m.GetServer(),
		Domain:  m.GetDomain(),
		Request: m.GetRequest(),
		Since:   Stamp(m.GetSince()),
	}
	for _, kind := range m.GetKinds() {
		filter.Kinds = append(filter.Kinds, event.Kind(kind))
	}
	return filter
}

func (e Entry) toWire() *pb.Entry {
	return &pb.Entry{
		Stamp:    uint64(e.Stamp),
		Position: e.Position,
		Process:  e.Process,
		Kind:     string(e.Event.Kind),
		Service:  e.Event.Service,
		Server:   e.Event.Server,
		Domain:   e.Event.Domain,
		Peer:     e.Event.Peer,
		Request:  e.Event.Request,
		Version:  e.Event.Version,
		Count:    e.Event.Count,
		Detail:   e.Event.Detail,
	}
}

func entryFromWire(m *pb.Entry) Entry {
	return Entry{
		Stamp:    Stamp(m.GetStamp()),
		Position: m.GetPosition(),
		Process:  m.GetProcess(),
		Event: event.Event{
			Kind:    event.Kind(m.GetKind()),
			Service: m.GetService(),
			Server:  m.GetServer(),
			Domain:  m.GetDomain(),
			Peer:    m.GetPeer(),
			Request: m.GetRequest(),
			Version: m.GetVersion(),
			Count:   m.GetCount(),
			Detail:  m.GetDetail(),
		},
	}
}
