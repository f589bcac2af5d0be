package timeline

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"bergamotbank/event"
	pb "bergamotbank/process/timeline/timelinepb"
)

const (
	// DefaultCapacity is the default number of entries in a ring.
	DefaultCapacity = 4096
	// maxNameBytes is the maximum length of a name or identifier in an event.
	maxNameBytes = 128
	// maxDetailBytes is the maximum length of the detail of an event.
	maxDetailBytes = 256
	// pageBytes is the maximum size of the entries in one page.
	pageBytes = 64 * 1024
	// maxPageScan is the number of entries after which the scan for one page stops.
	maxPageScan = 4096
	// copyBatch is the number of entries copied per acquisition of the lock, for
	// which Record waits.
	copyBatch = 128
)

// Options are the options of a Ring.
type Options struct {
	// Process is the name of the process in its entries.
	Process string
	// Capacity is the maximum number of entries; 0 means DefaultCapacity.
	Capacity int
	// Now returns the physical time; nil means time.Now.
	Now func() time.Time
}

// Ring is a ring buffer of the newest events of a process. It implements
// event.Recorder and is safe for concurrent use.
type Ring struct {
	process string
	run     uint64 // random run ID of the process
	clock   *Clock
	mu      sync.Mutex
	entries []Entry // the entry at position p has index (p-1) modulo the capacity
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

// Record adds an event with a new stamp and overwrites the oldest one if the ring is
// full. It performs no I/O.
func (r *Ring) Record(e event.Event) {
	truncateFields(&e)
	r.mu.Lock()
	defer r.mu.Unlock()
	index := (r.end - 1) % uint64(len(r.entries))
	r.entries[index] = Entry{Stamp: r.clock.Next(), Position: r.end, Process: r.process, Event: e}
	r.end++
}

// truncateFields limits the size of an event: it truncates long texts, and copies those
// that may be substrings of a larger one, such as a request header, so that the event
// does not retain it.
func truncateFields(e *event.Event) {
	e.Service = truncate(e.Service, maxNameBytes)
	e.Server = truncate(e.Server, maxNameBytes)
	e.Domain = truncate(e.Domain, maxNameBytes)
	e.Peer = truncate(e.Peer, maxNameBytes)
	e.Request = strings.Clone(truncate(e.Request, maxNameBytes))
	e.Detail = strings.Clone(truncate(e.Detail, maxDetailBytes))
}

// truncate shortens a text to at most limit bytes without splitting a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
}

// Clock returns the clock for the stamps of entries and of messages between
// processes.
func (r *Ring) Clock() *Clock {
	return r.clock
}

// Stamp returns a stamp for a message.
func (r *Ring) Stamp() uint64 {
	return r.clock.Stamp()
}

// Observe processes the stamp of a received message.
func (r *Ring) Observe(stamp uint64) {
	r.clock.Observe(stamp)
}

// page is the result of one query.
type page struct {
	entries []Entry
	// next is the first position of the next page, or 0 if this is the last page.
	next uint64
	// end is the position after the newest entry.
	end uint64
	// dropped is the number of entries that have been overwritten.
	dropped uint64
}

// query returns the entries that match the filter, starting at a position, as many as
// fit into one page.
func (r *Ring) query(filter Filter, from uint64) page {
	result := page{}
	batch := make([]Entry, 0, copyBatch)
	size := 0
	for scanned := 0; scanned < maxPageScan; scanned += len(batch) {
		batch = r.copyFrom(from, batch[:0], &result)
		if len(batch) == 0 {
			result.next = 0
			return result
		}
		for _, entry := range batch {
			from = entry.Position + 1
			result.next = from
			if !filter.Match(entry) {
				continue
			}
			size += proto.Size(entry.toWire())
			if size > pageBytes && len(result.entries) > 0 {
				result.next = entry.Position
				return result
			}
			result.entries = append(result.entries, entry)
		}
	}
	return result
}

// copyFrom copies up to copyBatch entries, starting at a position, and sets the bounds
// of the ring.
func (r *Ring) copyFrom(from uint64, batch []Entry, bounds *page) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	capacity := uint64(len(r.entries))
	oldest := uint64(1)
	if r.end > capacity {
		oldest = r.end - capacity
	}
	bounds.end = r.end
	bounds.dropped = oldest - 1
	for position := max(from, oldest); position < r.end && len(batch) < copyBatch; position++ {
		batch = append(batch, r.entries[(position-1)%capacity])
	}
	return batch
}

// Handler returns the Twirp handler for the control address.
func (r *Ring) Handler() (prefix string, handler http.Handler) {
	server := pb.NewTimelineServer(&ringService{ring: r})
	return server.PathPrefix(), server
}

// ringService implements the Timeline service.
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
