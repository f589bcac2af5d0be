package timeline_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	"bergamotbank/event"
	"bergamotbank/process/timeline"
)

// BenchmarkRecord measures the time to record an event.
func BenchmarkRecord(b *testing.B) {
	ring := timeline.NewRing(timeline.Options{Process: "p"})
	e := event.Event{Kind: event.StateChanged, Service: "ordering", Server: "s1", Domain: "junin", Detail: "warm"}
	for b.Loop() {
		ring.Record(e)
	}
	fmt.Printf("bench timeline_record %.4g ns\n", float64(b.Elapsed().Nanoseconds())/float64(b.N))
}

// BenchmarkCollect measures the collection from 200 processes, two of which do not
// respond.
func BenchmarkCollect(b *testing.B) {
	var addrs []netip.AddrPort
	for i := range 198 {
		ring := timeline.NewRing(timeline.Options{Process: fmt.Sprintf("p%d", i)})
		for range 100 {
			ring.Record(event.Event{Kind: event.StateChanged, Service: "ordering", Server: "s1", Domain: "junin"})
		}
		addrs = append(addrs, serveOn(b, ring))
	}
	release := make(chan struct{})
	unresponsive := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer unresponsive.Close()
	defer close(release)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(unresponsive.URL, "http://"))
	addrs = append(addrs, addr, addr)
	for b.Loop() {
		entries, missing := timeline.Collect(context.Background(), addrs, timeline.Filter{})
		if len(entries) != 19800 || len(missing) != 2 {
			b.Fatalf("%d entries, %d missing", len(entries), len(missing))
		}
	}
	fmt.Printf("bench timeline_collect_200_processes_2_silent %.4g ms\n", float64(b.Elapsed().Milliseconds())/float64(b.N))
}

// BenchmarkRingMemory measures the memory use of a full ring.
func BenchmarkRingMemory(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	for range b.N {
		for name, size := range map[string]int{"usual": 16, "largest": 1000} {
			before := heap()
			ring := timeline.NewRing(timeline.Options{Process: "p"})
			for i := range timeline.DefaultCapacity {
				text := strings.Repeat("x", size) + fmt.Sprint(i)
				ring.Record(event.Event{
					Kind: event.StateChanged, Service: text + "a", Server: text + "b", Domain: text + "c",
					Peer: text + "d", Request: text + "e", Detail: text + "f",
				})
			}
			fmt.Printf("bench timeline_ring_memory_%s_texts %.4g MB\n", name, float64(heap()-before)/1e6)
			runtime.KeepAlive(ring)
		}
	}
}
