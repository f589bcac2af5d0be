package timeline_test

import (
	"context"
	"flag"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/process/timeline"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// epoch is the fixed physical time of the rings in tests.
var epoch = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func newRing(process string, capacity int, now time.Time) *timeline.Ring {
	return timeline.NewRing(timeline.Options{
		Process:  process,
		Capacity: capacity,
		Now:      func() time.Time { return now },
	})
}

func serveOn(t testing.TB, ring *timeline.Ring) netip.AddrPort {
	mux := http.NewServeMux()
	prefix, handler := ring.Handler()
	mux.Handle(prefix, handler)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func serve(t *testing.T, ring *timeline.Ring) netip.AddrPort {
	return serveOn(t, ring)
}

func kinds(entries []timeline.Entry) string {
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Process+":"+string(entry.Event.Kind))
	}
	return strings.Join(names, " ")
}

func TestCausalOrder(t *testing.T) {
	convey.Convey("Given a process whose clock is a second behind", t, func() {
		ahead := newRing("ahead", 10, epoch.Add(time.Second))
		behind := newRing("behind", 10, epoch)
		ahead.Record(event.Event{Kind: event.DomainOut})
		stamp := ahead.Stamp()
		convey.Convey("an effect follows its cause if the stamp was observed", func() {
			behind.Observe(stamp)
			behind.Record(event.Event{Kind: event.FlowsGivenUp})
			entries, missing := timeline.Collect(context.Background(), []netip.AddrPort{serve(t, behind), serve(t, ahead)}, timeline.Filter{})
			convey.So(missing, convey.ShouldBeEmpty)
			convey.So(kinds(entries), convey.ShouldEqual, "ahead:domain_out behind:flows_given_up")
		})
		convey.Convey("without an observed stamp the order follows the physical clocks", func() {
			behind.Record(event.Event{Kind: event.FlowsGivenUp})
			entries, _ := timeline.Collect(context.Background(), []netip.AddrPort{serve(t, behind), serve(t, ahead)}, timeline.Filter{})
			convey.So(kinds(entries), convey.ShouldEqual, "behind:flows_given_up ahead:domain_out")
		})
		convey.Convey("a stamp far in the future is ignored", func() {
			behind.Observe(uint64(timeline.StampAt(epoch.Add(time.Hour))))
			convey.So(timeline.Stamp(behind.Stamp()).Time(), convey.ShouldEqual, epoch.Local())
		})
	})
}

func TestMissingProcessesReported(t *testing.T) {
	convey.Convey("A process that cannot be reached is reported and the entries of the others are returned", t, func() {
		ring := newRing("here", 10, epoch)
		ring.Record(event.Event{Kind: event.ProcessReady})
		closed := netip.MustParseAddrPort("127.0.0.1:1")
		entries, missing := timeline.Collect(context.Background(), []netip.AddrPort{closed, serve(t, ring)}, timeline.Filter{})
		convey.So(kinds(entries), convey.ShouldEqual, "here:process_ready")
		convey.So(len(missing), convey.ShouldEqual, 1)
		convey.So(missing[0].Addr, convey.ShouldEqual, closed)
		convey.So(errkind.Is(missing[0].Err, errkind.PeerUnavailable), convey.ShouldBeTrue)
	})
	convey.Convey("A process that does not respond is reported at the deadline", t, func() {
		release := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer server.Close()
		defer close(release)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, missing := timeline.Collect(ctx, []netip.AddrPort{addr}, timeline.Filter{})
		convey.So(len(missing), convey.ShouldEqual, 1)
	})
}

func TestRingIsBoundedAndPaged(t *testing.T) {
	convey.Convey("Given a ring of 3,000 entries with long texts after 5,000 events", t, func() {
		ring := newRing("p", 3000, epoch)
		for i := range 5000 {
			ring.Record(event.Event{Kind: event.ViewChanged, Count: uint64(i), Detail: strings.Repeat("é", 400)})
		}
		collector := timeline.NewCollector([]netip.AddrPort{serve(t, ring)}, timeline.Filter{})
		entries, missing := collector.Poll(context.Background())
		convey.Convey("the newest 3,000 entries are returned in order, with truncated texts", func() {
			convey.So(len(entries), convey.ShouldEqual, 3000)
			convey.So(entries[0].Event.Count, convey.ShouldEqual, 2000)
			convey.So(entries[2999].Event.Count, convey.ShouldEqual, 4999)
			convey.So(entries[0].Event.Detail, convey.ShouldEqual, strings.Repeat("é", 128))
		})
		convey.Convey("the number of dropped entries is returned", func() {
			convey.So(len(missing), convey.ShouldEqual, 1)
			convey.So(missing[0].Dropped, convey.ShouldEqual, 2000)
			convey.So(missing[0].Err, convey.ShouldBeNil)
		})
		convey.Convey("the next poll returns only new entries", func() {
			ring.Record(event.Event{Kind: event.DrainStarted})
			entries, missing := collector.Poll(context.Background())
			convey.So(kinds(entries), convey.ShouldEqual, "p:drain_started")
			convey.So(missing, convey.ShouldBeEmpty)
		})
	})
}

func TestFilter(t *testing.T) {
	ring := newRing("p", 10, epoch)
	ring.Record(event.Event{Kind: event.DrainStarted, Service: "ordering", Server: "s1", Domain: "junin"})
	ring.Record(event.Event{Kind: event.RequestRefused, Service: "catalogue", Request: "r7", Domain: "pasco"})
	ring.Record(event.Event{Kind: event.DrainFinished, Service: "ordering", Server: "s1", Domain: "junin"})
	addrs := []netip.AddrPort{serve(t, ring)}
	cases := map[string]struct {
		filter timeline.Filter
		want   string
	}{
		"service": {timeline.Filter{Service: "catalogue"}, "p:request_refused"},
		"server":  {timeline.Filter{Server: "s1"}, "p:drain_started p:drain_finished"},
		"domain":  {timeline.Filter{Domain: "pasco"}, "p:request_refused"},
		"request": {timeline.Filter{Request: "r7"}, "p:request_refused"},
		"kinds":   {timeline.Filter{Kinds: []event.Kind{event.DrainStarted, event.RequestRefused}}, "p:drain_started p:request_refused"},
		"since":   {timeline.Filter{Since: timeline.StampAt(epoch) + 2}, "p:drain_finished"},
		"both":    {timeline.Filter{Server: "s1", Kinds: []event.Kind{event.DrainFinished}}, "p:drain_finished"},
		"none":    {timeline.Filter{Service: "other"}, ""},
	}
	for name, c := range cases {
		convey.Convey("Filter by "+name, t, func() {
			entries, _ := timeline.Collect(context.Background(), addrs, c.filter)
			convey.So(kinds(entries), convey.ShouldEqual, c.want)
		})
	}
}

func TestCausalOrderWithSkewedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const processes = 3
		var rings []*timeline.Ring
		// clocks are vector clocks, the reference model of causality.
		clocks := make([][processes]int, processes)
		for range processes {
			skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
			rings = append(rings, newRing("p", 100, epoch.Add(skew)))
		}
		known := make(map[uint64][processes]int)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			p := rapid.IntRange(0, processes-1).Draw(t, "process")
			if rapid.Bool().Draw(t, "message") {
				to := rapid.IntRange(0, processes-1).Draw(t, "to")
				rings[to].Observe(rings[p].Stamp())
				for i := range processes {
					clocks[to][i] = max(clocks[to][i], clocks[p][i])
				}
				continue
			}
			clocks[p][p]++
			known[uint64(step)+1] = clocks[p]
			rings[p].Record(event.Event{Kind: event.ViewChanged, Count: uint64(step) + 1})
		}
		entries := timeline.Merge(rings[2].Entries(), rings[0].Entries(), rings[1].Entries())
		if len(entries) != len(known) {
			t.Fatalf("%d entries of %d", len(entries), len(known))
		}
		for i, effect := range entries {
			for _, later := range entries[i+1:] {
				if happenedBefore(known[later.Event.Count], known[effect.Event.Count]) {
					t.Fatalf("event %d comes after its effect %d", later.Event.Count, effect.Event.Count)
				}
			}
		}
	})
}

// happenedBefore reports whether the event with vector clock a is a cause of the event
// with vector clock b.
func happenedBefore(a, b [3]int) bool {
	return a != b && a[0] <= b[0] && a[1] <= b[1] && a[2] <= b[2]
}
