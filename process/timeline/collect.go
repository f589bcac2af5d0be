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
	// processTimeout is the timeout for all pages of one process.
	processTimeout = 2 * time.Second
	// collectConcurrency is the maximum number of processes queried concurrently.
	collectConcurrency = 64
	// maxEntries is the number of entries from one process in one poll after which
	// no further page is fetched.
	maxEntries = 20000
	// maxResponseBytes is the maximum size of a response.
	maxResponseBytes = 4 * pageBytes
)

// Missing is a process whose entries are missing, completely or in part.
type Missing struct {
	// Addr is the control address of the process.
	Addr netip.AddrPort
	// Process is the name of the process, if known.
	Process string
	// Dropped is the number of entries that were overwritten before they were fetched.
	Dropped uint64
	// Err is the error of the query; nil if only dropped entries are missing.
	Err error
}

// Collect queries many processes concurrently and merges their entries. Processes that
// do not respond in time are returned as missing.
func Collect(ctx context.Context, addrs []netip.AddrPort, filter Filter) (entries []Entry, missing []Missing) {
	collector := NewCollector(addrs, filter)
	return collector.Poll(ctx)
}

// Collector polls processes repeatedly and returns each entry once.
type Collector struct {
	client  *http.Client
	filter  Filter
	sources []*source
}

// source is one process of a Collector.
type source struct {
	addr    netip.AddrPort
	process string
	run     uint64 // run ID in the latest response
	next    uint64 // first position not yet fetched
}

// NewCollector returns a Collector over the control addresses of processes.
func NewCollector(addrs []netip.AddrPort, filter Filter) *Collector {
	collector := &Collector{client: newClient(), filter: filter}
	for _, addr := range addrs {
		collector.sources = append(collector.sources, &source{addr: addr})
	}
	return collector
}

// newClient returns an HTTP client that limits the size of responses.
func newClient() *http.Client {
	transport := &http.Transport{
		ResponseHeaderTimeout: processTimeout,
		IdleConnTimeout:       2 * processTimeout,
		MaxIdleConnsPerHost:   1,
	}
	return &http.Client{Transport: boundedTransport{next: transport}, Timeout: processTimeout}
}

// boundedTransport limits the size of response bodies.
type boundedTransport struct {
	next http.RoundTripper
}

// RoundTrip performs a request and limits the size of the response body.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = boundedBody{Reader: io.LimitReader(response.Body, maxResponseBytes), Closer: response.Body}
	return response, nil
}

type boundedBody struct {
	io.Reader
	io.Closer
}

// fetchResult holds the entries fetched from one process.
type fetchResult struct {
	entries []Entry
	missing *Missing
}

// Poll returns the entries recorded since the last call.
func (c *Collector) Poll(ctx context.Context) (entries []Entry, missing []Missing) {
	results := make([]fetchResult, len(c.sources))
	group := errgroup.Group{}
	group.SetLimit(collectConcurrency)
	for i, source := range c.sources {
		group.Go(func() error {
			results[i] = c.fetch(ctx, source)
			return nil
		})
	}
	_ = group.Wait()
	lists := make([][]Entry, 0, len(results))
	for _, result := range results {
		lists = append(lists, result.entries)
		if result.missing != nil {
			missing = append(missing, *result.missing)
		}
	}
	return Merge(lists...), missing
}

// fetch returns the new entries of one process, page by page.
func (c *Collector) fetch(ctx context.Context, s *source) fetchResult {
	ctx, cancel := context.WithTimeout(ctx, processTimeout)
	defer cancel()
	client := pb.NewTimelineProtobufClient("http://"+s.addr.String(), c.client)
	result := fetchResult{}
	for {
		request := &pb.QueryRequest{Filter: c.filter.toWire(), From: s.next}
		response, err := client.Query(ctx, request)
		if err != nil {
			err = errkind.Wrap(err, errkind.PeerUnavailable, "query timeline of %v", s.addr)
			result.missing = &Missing{Addr: s.addr, Process: s.process, Err: err}
			return result
		}
		s.addPage(response, &result)
		if response.Next == 0 {
			return result
		}
		if len(result.entries) >= maxEntries {
			err := errkind.New(errkind.Partial, "timeline of %v has more than %d entries", s.addr, maxEntries)
			result.missing = &Missing{Addr: s.addr, Process: s.process, Err: err}
			return result
		}
	}
}

// addPage adds one page to the result of a process.
func (s *source) addPage(response *pb.QueryResponse, result *fetchResult) {
	if response.Run != s.run {
		s.restart(response)
	}
	s.process = response.Process
	dropped := uint64(0)
	if response.Dropped+1 > s.next {
		dropped = response.Dropped + 1 - max(s.next, 1)
	}
	if dropped > 0 {
		result.missing = &Missing{Addr: s.addr, Process: s.process, Dropped: dropped}
	}
	for _, m := range response.Entries {
		result.entries = append(result.entries, entryFromWire(m))
	}
	s.next = response.End
	if response.Next != 0 {
		s.next = response.Next
	}
}

// restart starts over if the process at the address was restarted or replaced since
// the last page. It discards the page, which was requested with a position of the
// previous run.
func (s *source) restart(response *pb.QueryResponse) {
	s.run = response.Run
	if s.next > 0 {
		s.next = 0
		response.Entries = nil
		response.Next = 1
		response.Dropped = 0
	}
}

// followInterval is the interval between the polls of Follow.
const followInterval = time.Second

// Follow polls until the context is done and calls deliver with each set of new
// entries and the processes missing from it.
func (c *Collector) Follow(ctx context.Context, deliver func(entries []Entry, missing []Missing)) {
	ticker := time.NewTicker(followInterval)
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

// Merge merges the entries of processes into one list ordered by stamp, so that each
// cause comes before its effects. Entries of one process keep their order.
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
