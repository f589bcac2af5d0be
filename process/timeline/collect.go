package timeline

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotbank/errkind"
	pb "bergamotbank/process/timeline/timelinepb"
)

const (
	// processTimeout is the time in which one process must answer.
	processTimeout = 2 * time.Second
	// collectConcurrency is the number of processes asked at once.
	collectConcurrency = 64
	// maxEntries is the largest number of entries taken from one process.
	maxEntries = 20000
	// maxAnswerBytes is the largest answer accepted, in bytes.
	maxAnswerBytes = 4 * pageBytes
)

// Missing is a process whose entries are not, or not all, in the result.
type Missing struct {
	// Addr is the control address that was asked.
	Addr netip.AddrPort
	// Process is the name of the process where it is known.
	Process string
	// Dropped is the number of its oldest entries that were no longer kept.
	Dropped uint64
	// Err tells why the process is missing; nil when only old entries are.
	Err error
}

// Collect asks many processes for their entries at once and merges the answers.
// Processes that do not answer in time are returned as missing.
func Collect(ctx context.Context, addrs []netip.AddrPort, filter Filter) (entries []Entry, missing []Missing) {
	collector := NewCollector(addrs, filter)
	return collector.Poll(ctx)
}

// Collector collects again and again and returns each entry once.
type Collector struct {
	client  *http.Client
	filter  Filter
	sources []*source
}

// source is one process of a Collector.
type source struct {
	addr    netip.AddrPort
	process string
	run     uint64 // of the process that answered last
	next    uint64 // first position not yet seen
}

// NewCollector returns a Collector over the control addresses of processes.
func NewCollector(addrs []netip.AddrPort, filter Filter) *Collector {
	collector := &Collector{client: newClient(), filter: filter}
	for _, addr := range addrs {
		collector.sources = append(collector.sources, &source{addr: addr})
	}
	return collector
}

// newClient returns a client that accepts answers of bounded size only.
func newClient() *http.Client {
	transport := &http.Transport{
		ResponseHeaderTimeout: processTimeout,
		IdleConnTimeout:       2 * processTimeout,
		MaxIdleConnsPerHost:   1,
	}
	return &http.Client{Transport: boundedTransport{next: transport}, Timeout: processTimeout}
}

// boundedTransport bounds the size of the answers.
type boundedTransport struct {
	next http.RoundTripper
}

// RoundTrip performs a request and bounds the body of its answer.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, maxAnswerBytes), Closer: response.Body}
	return response, nil
}

type boundedBody struct {
	io.Reader
	io.Closer
}

// answer is what one process has given.
type answer struct {
	entries []Entry
	missing *Missing
}

// Poll returns the entries that are new since the last call.
func (c *Collector) Poll(ctx context.Context) (entries []Entry, missing []Missing) {
	answers := make([]answer, len(c.sources))
	group := errgroup.Group{}
	group.SetLimit(collectConcurrency)
	for i, source := range c.sources {
		group.Go(func() error {
			answers[i] = c.ask(ctx, source)
			return nil
		})
	}
	_ = group.Wait()
	lists := make([][]Entry, 0, len(answers))
	for _, answer := range answers {
		lists = append(lists, answer.entries)
		if answer.missing != nil {
			missing = append(missing, *answer.missing)
		}
	}
	return Merge(lists...), missing
}

// ask takes all new entries of one process, page by page.
func (c *Collector) ask(ctx context.Context, s *source) answer {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	client := pb.NewTimelineProtobufClient("http://"+s.addr.String(), c.client)
	result := answer{}
	for {
		request := &pb.QueryRequest{Filter: c.filter.toWire(), From: s.next}
		response, err := client.Query(ctx, request)
		if err != nil {
			err = errkind.Wrap(err, errkind.PeerUnavailable, "query time line of %v", s.addr)
			result.missing = &Missing{Addr: s.addr, Process: s.process, Err: err}
			return result
		}
		s.take(response, &result)
		if response.Next == 0 {
			return result
		}
		if len(result.entries) >= maxEntries {
			err := errkind.New(errkind.Partial, "time line of %v has more than %d entries", s.addr, maxEntries)
			result.missing = &Missing{Addr: s.addr, Process: s.process, Err: err}
			return result
		}
	}
}

// take adds one page to the answer of a process.
func (s *source) take(response *pb.QueryResponse, result *answer) {
	if response.Run != s.run {
		s.replaced(response)
	}
	s.process = response.Process
	lost := uint64(0)
	if response.Dropped+1 > s.next {
		lost = response.Dropped + 1 - max(s.next, 1)
	}
	if lost > 0 {
		result.missing = &Missing{Addr: s.addr, Process: s.process, Dropped: lost}
	}
	for _, m := range response.Entries {
		result.entries = append(result.entries, entryFromWire(m))
	}
	s.next = response.End
	if response.Next != 0 {
		s.next = response.Next
	}
}

// replaced begins anew with a process that was started or replaced since the
// last page.
func (s *source) replaced(response *pb.QueryResponse) {
	s.run = response.Run
	if s.next > 0 {
		s.next = 0
		response.Entries = nil
		response.Next = 1
		response.Dropped = 0
	}
}

// followPeriod is the period in which Follow polls.
const followPeriod = time.Second

// Follow polls until the context ends and gives each set of new entries, with
// the processes that are missing from it, to deliver.
func (c *Collector) Follow(ctx context.Context, deliver func(entries []Entry, missing []Missing)) {
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for {
		entries, missing := c.Poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if len(entries) > 0 || len(missing) > 0 {
			deliver(entries, missing)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Merge merges the entries of processes into one list, ordered by stamp, so
// that each cause comes before its effects; entries of one process keep their
// order.
func Merge(lists ...[]Entry) []Entry {
	total := 0
	for _, list := range lists {
		total += len(list)
	}
	merged := make([]Entry, 0, total)
	for _, list := range lists {
		merged = append(merged, list...)
	}
	slices.SortStableFunc(merged, func(a, b Entry) int {
		return cmp.Or(
			cmp.Compare(a.Stamp, b.Stamp),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Position, b.Position),
		)
	})
	return merged
}
