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
	// DefaultCapacity is the number of entries that a ring keeps.
	DefaultCapacity = 4096
	// maxName is the largest length in bytes of a name or identifier.
	maxName = 128
	// maxDetail is the largest length in bytes of a detail.
	maxDetail = 256
	// pageBytes is the largest size of one answer in bytes.
	pageBytes = 64 * 1024
	// pageScan is the largest number of entries looked at for one answer.
	pageScan = 4096
	// copyBatch is the number of entries copied while Record has to wait.
	copyBatch = 128
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

// trim cuts long texts and copies those that may be part of a larger one, such
// as the header of a request, so that an entry is of bounded size.
func trim(e *event.Event) {
	e.Service = cut(e.Service, maxName)
	e.Server = cut(e.Server, maxName)
	e.Domain = cut(e.Domain, maxName)
	e.Peer = cut(e.Peer, maxName)
	e.Request = strings.Clone(cut(e.Request, maxName))
	e.Detail = strings.Clone(cut(e.Detail, maxDetail))
}

// cut shortens a text to a number of bytes at the border of a character.
func cut(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
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
	result := page{}
	batch := make([]Entry, 0, copyBatch)
	size := 0
	for scanned := 0; scanned < pageScan; scanned += len(batch) {
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

// copyFrom copies a few entries from a position on and notes the bounds of the
// ring.
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
