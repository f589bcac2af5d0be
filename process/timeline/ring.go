package timeline

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"bergamotbank/event"
	pb "bergamotbank/process/timeline/timelinepb"
)

const (
	// DefaultCapacity is the number of entries that a ring keeps.
	DefaultCapacity = 4096
	// maxField is the largest length in bytes of one text of an event.
	maxField = 256
	// pageBytes is the largest size of one answer in bytes.
	pageBytes = 64 * 1024
	// pageScan is the largest number of entries looked at for one answer.
	pageScan = 4096
)

// Options are the options of a Ring.
type Options struct {
	// Process is the name of the process in its entries.
	Process string
	// Capacity is the number of entries kept; 0 stands for DefaultCapacity.
	Capacity int
	// Now is the source of physical time; nil for that of the machine.
	Now func() time.Time
}

// Ring keeps the newest events of a process. It is an event.Recorder and is
// safe for concurrent use.
type Ring struct {
	process string
	run     uint64 // random number of this run of the process
	clock   *Clock
	mu      sync.Mutex
	entries []Entry // entry of position p at (p-1) modulo capacity
	end     uint64  // position after the newest entry
}

// NewRing returns an empty ring.
func NewRing(options Options) *Ring {
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Ring{
		process: options.Process,
		run:     rand.Uint64(),
		clock:   NewClock(options.Now),
		entries: make([]Entry, options.Capacity),
		end:     1,
	}
}

// Record stamps and keeps an event in place of the oldest one. It waits for no
// I/O.
func (r *Ring) Record(e event.Event) {
	trim(&e)
	r.mu.Lock()
	defer r.mu.Unlock()
	index := (r.end - 1) % uint64(len(r.entries))
	r.entries[index] = Entry{Stamp: r.clock.Next(), Position: r.end, Process: r.process, Event: e}
	r.end++
}

// trim cuts long texts, so that an entry is of bounded size.
func trim(e *event.Event) {
	for _, field := range []*string{&e.Service, &e.Server, &e.Domain, &e.Peer, &e.Request, &e.Detail} {
		if len(*field) > maxField {
			*field = cut(*field)
		}
	}
}

// cut shortens a text to maxField bytes at the border of a character.
func cut(text string) string {
	end := maxField
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

// Clock returns the clock that stamps the entries. Messages between processes
// carry its stamps.
func (r *Ring) Clock() *Clock {
	return r.clock
}

// Stamp returns a stamp for a message.
func (r *Ring) Stamp() uint64 {
	return r.clock.Stamp()
}

// Observe takes in the stamp of a message.
func (r *Ring) Observe(stamp uint64) {
	r.clock.Observe(stamp)
}

// page is a part of the ring.
type page struct {
	entries []Entry
	// next is the position from which to go on, 0 at the end.
	next uint64
	// end is the position after the newest entry.
	end uint64
	// dropped is the number of entries that are no longer kept.
	dropped uint64
}

// query returns the selected entries from a position on, as many as fit into
// one answer.
func (r *Ring) query(filter Filter, from uint64) page {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := uint64(len(r.entries))
	oldest := uint64(1)
	if r.end > capacity {
		oldest = r.end - capacity
	}
	result := page{end: r.end, dropped: oldest - 1}
	size := 0
	position := max(from, oldest)
	for scanned := 0; position < r.end; position++ {
		entry := r.entries[(position-1)%capacity]
		scanned++
		if scanned > pageScan {
			result.next = position
			return result
		}
		if !filter.Match(entry) {
			continue
		}
		size += proto.Size(entry.toWire())
		if size > pageBytes && len(result.entries) > 0 {
			result.next = position
			return result
		}
		result.entries = append(result.entries, entry)
	}
	return result
}

// Handler returns the twirp service for the control address.
func (r *Ring) Handler() (prefix string, handler http.Handler) {
	server := pb.NewTimelineServer(&ringService{ring: r})
	return server.PathPrefix(), server
}

// ringService serves the queries of other processes.
type ringService struct {
	ring *Ring
}

// Query returns one page of entries in the order of the ring.
func (s *ringService) Query(_ context.Context, request *pb.QueryRequest) (*pb.QueryResponse, error) {
	s.ring.Observe(request.Stamp)
	page := s.ring.query(filterFromWire(request.Filter), request.From)
	response := &pb.QueryResponse{
		Next:    page.next,
		Dropped: page.dropped,
		Stamp:   s.ring.Stamp(),
		Process: s.ring.process,
		End:     page.end,
		Run:     s.ring.run,
	}
	for _, entry := range page.entries {
		response.Entries = append(response.Entries, entry.toWire())
	}
	return response, nil
}
