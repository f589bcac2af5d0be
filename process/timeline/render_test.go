package timeline_test

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"bergamotbank/event"
	"bergamotbank/process/timeline"
	pb "bergamotbank/process/timeline/timelinepb"
)

func sampleEntries() []timeline.Entry {
	at := timeline.StampAt(epoch)
	return []timeline.Entry{
		{Stamp: at + 3, Position: 1, Process: "balancer-1", Event: event.Event{
			Kind: event.ServerSilent, Service: "ordering", Server: "s1", Domain: "junin",
		}},
		{Stamp: at + 1<<20, Position: 9, Process: "agent <2>", Event: event.Event{
			Kind: event.RequestRefused, Request: "r 7", Version: 4, Count: 2, Detail: "line\nbreak\x00\xff & \"quote\"",
		}},
	}
}

func TestText(t *testing.T) {
	convey.Convey("Each entry is one line, with control characters escaped", t, func() {
		var out bytes.Buffer
		convey.So(timeline.WriteText(&out, sampleEntries()), convey.ShouldBeNil)
		lines := strings.Split(out.String(), "\n")
		convey.So(len(lines), convey.ShouldEqual, 3)
		convey.So(lines[0], convey.ShouldEqual,
			"2026-06-01T12:00:00.000Z.00003 balancer-1 server_silent service=ordering server=s1 domain=junin")
		convey.So(lines[1], convey.ShouldEqual,
			`2026-06-01T12:00:00.016Z.00000 "agent <2>" request_refused request="r 7" version=4 count=2 `+
				`detail="line\nbreak\x00\xff & \"quote\""`)
	})
}

func TestJSONLines(t *testing.T) {
	convey.Convey("Each line is a JSON object", t, func() {
		var out bytes.Buffer
		convey.So(timeline.WriteJSON(&out, sampleEntries()), convey.ShouldBeNil)
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		convey.So(len(lines), convey.ShouldEqual, 2)
		decoded := struct {
			Time, Process, Kind, Server string
			Stamp                       uint64
		}{}
		convey.So(json.Unmarshal([]byte(lines[0]), &decoded), convey.ShouldBeNil)
		convey.So(decoded.Time, convey.ShouldEqual, "2026-06-01T12:00:00Z")
		convey.So(decoded.Process, convey.ShouldEqual, "balancer-1")
		convey.So(decoded.Kind, convey.ShouldEqual, "server_silent")
		convey.So(decoded.Stamp, convey.ShouldEqual, uint64(timeline.StampAt(epoch))+3)
	})
}

func TestSVG(t *testing.T) {
	cases := map[string][]timeline.Entry{"entries": sampleEntries(), "one": sampleEntries()[:1], "none": nil}
	for name, entries := range cases {
		convey.Convey("The chart is well-formed XML with a point for each entry: "+name, t, func() {
			var out bytes.Buffer
			convey.So(timeline.WriteSVG(&out, entries), convey.ShouldBeNil)
			decoder := xml.NewDecoder(&out)
			circles := 0
			for {
				token, err := decoder.Token()
				if errors.Is(err, io.EOF) {
					break
				}
				convey.So(err, convey.ShouldBeNil)
				if start, ok := token.(xml.StartElement); ok && start.Name.Local == "circle" {
					circles++
				}
			}
			convey.So(circles, convey.ShouldEqual, len(entries))
		})
	}
}

func TestFollowAfterProcessReplacement(t *testing.T) {
	convey.Convey("All entries are delivered after a process is replaced at the same address", t, func() {
		var current atomic.Pointer[timeline.Ring]
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, handler := current.Load().Handler()
			handler.ServeHTTP(w, r)
		}))
		defer server.Close()
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		first := newRing("p", 10, epoch)
		first.Record(event.Event{Kind: event.ProcessStarted})
		first.Record(event.Event{Kind: event.ProcessReady})
		first.Record(event.Event{Kind: event.ProcessStopping})
		current.Store(first)
		second := newRing("p", 10, epoch)
		second.Record(event.Event{Kind: event.ProcessStarted})

		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		var seen []string
		collector := timeline.NewCollector([]netip.AddrPort{addr}, timeline.Filter{})
		collector.Follow(ctx, func(entries []timeline.Entry, missing []timeline.Missing) {
			convey.So(missing, convey.ShouldBeEmpty)
			seen = append(seen, kinds(entries))
			current.Store(second)
			if len(seen) == 2 {
				cancel()
			}
		})
		convey.So(seen, convey.ShouldResemble, []string{
			"p:process_started p:process_ready p:process_stopping", "p:process_started",
		})
	})
}

// FuzzQuery passes arbitrary bytes to a ring as a query and to the writers as a
// response.
func FuzzQuery(f *testing.F) {
	request, _ := proto.Marshal(&pb.QueryRequest{From: 3, Filter: &pb.Filter{Kinds: []string{"drain_started"}, Since: 7}})
	f.Add(request)
	response, _ := proto.Marshal(&pb.QueryResponse{Entries: []*pb.Entry{{Kind: "x", Detail: "y"}}, Next: 2, End: 5})
	f.Add(response)
	ring := newRing("p", 4, epoch)
	for range 6 {
		ring.Record(event.Event{Kind: event.DrainStarted})
	}
	_, handler := ring.Handler()
	f.Fuzz(func(t *testing.T, message []byte) {
		post := httptest.NewRequest(http.MethodPost, "/twirp/bergamotbank.timeline.Timeline/Query", bytes.NewReader(message))
		post.Header.Set("Content-Type", "application/protobuf")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, post)
		if recorder.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d", recorder.Code)
		}
		entries := timeline.DecodeEntries(message)
		var out bytes.Buffer
		if timeline.WriteText(&out, entries) != nil || strings.Count(out.String(), "\n") != len(entries) {
			t.Fatalf("%d entries give %q", len(entries), out.String())
		}
		if err := timeline.WriteSVG(io.Discard, entries); err != nil {
			t.Fatal(err)
		}
	})
}
