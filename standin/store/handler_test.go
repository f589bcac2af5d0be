package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

// result is the result of a call. Its status is 0 if there was no response.
type result struct {
	status int
	body   string
}

// testStore is a running store.
type testStore struct {
	handler *handler
	server  *httptest.Server
}

func newTestStore(t *testing.T, writes, reads int) *testStore {
	h := newHandler(&Command{WritesPerSecond: writes, ReadsPerSecond: reads, Seed: 1})
	server := httptest.NewServer(h.routes())
	t.Cleanup(server.Close)
	return &testStore{handler: h, server: server}
}

func (s *testStore) call(ctx context.Context, method, path, body string) result {
	request, _ := http.NewRequestWithContext(ctx, method, s.server.URL+path, strings.NewReader(body))
	request.GetBody = nil
	response, err := s.server.Client().Do(request)
	if err != nil {
		return result{}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(bytes.TrimSpace(text))}
}

func (s *testStore) do(method, path, body string) result {
	return s.call(context.Background(), method, path, body)
}

// eventually waits until condition is true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the condition was not met in time")
}

// watch starts a watch of key k and returns when the watch is waiting.
func (s *testStore) watch(t *testing.T, ctx context.Context) <-chan result {
	results := make(chan result, 1)
	before := s.handler.counters.waiting.Load()
	go func() { results <- s.call(ctx, http.MethodGet, "/v1/kv/k?index=2&wait=1m", "") }()
	eventually(t, func() bool { return s.handler.counters.waiting.Load() == before+1 })
	return results
}

func TestCalls(t *testing.T) {
	large := strings.Repeat("x", MaxValueBytes)
	cases := []struct {
		name, method, path, body string
		want                     result
	}{
		{"missing key", "GET", "/v1/kv/none", "", result{404, ""}},
		{"raw value", "GET", "/v1/kv/k?raw", "", result{200, "v"}},
		{"list of keys", "GET", "/v1/kv/?keys", "", result{200, `["k"]`}},
		{"conflict", "PUT", "/v1/kv/k?cas=0", "w", result{200, "false"}},
		{"invalid cas", "PUT", "/v1/kv/k?cas=x", "w", result{400, "cas is not a number"}},
		{"value of the maximum size", "PUT", "/v1/kv/large", large, result{200, "true"}},
		{"value above the maximum size", "PUT", "/v1/kv/large", large + "x", result{413, "value is larger than 1 MB"}},
		{"invalid transaction", "PUT", "/v1/txn", "{", result{400, "invalid transaction"}},
		{"unknown session", "PUT", "/v1/session/renew/x", "", result{404, "session does not exist"}},
		{"invalid behavior", "PUT", "/v1/session/create", `{"Behavior":"x"}`, result{400, `behavior "x" is not release or delete`}},
		{"unknown fault switch", "PUT", "/fault", `{"x":1}`, result{400, `body of PUT /fault: json: unknown field "x"`}},
	}
	for _, c := range cases {
		convey.Convey("Call: "+c.name, t, func() {
			s := newTestStore(t, 100, 100)
			s.do("PUT", "/v1/kv/k", "v")
			convey.So(s.do(c.method, c.path, c.body), convey.ShouldResemble, c.want)
		})
	}
}

func TestWatchReturnsAfterChange(t *testing.T) {
	convey.Convey("A watch waits for a change and counts as one call", t, func() {
		s := newTestStore(t, 100, 100)
		s.do("PUT", "/v1/kv/k", "v")
		results := s.watch(t, context.Background())
		s.do("PUT", "/v1/kv/other", "v")
		s.do("PUT", "/v1/kv/k", "w")
		convey.So((<-results).status, convey.ShouldEqual, 200)
		counters := s.handler.counters.snapshot(time.Now())
		convey.So(counters.Watches, convey.ShouldEqual, 1)
		convey.So(counters.Writes, convey.ShouldEqual, 3)
	})
}

func TestFaults(t *testing.T) {
	convey.Convey("Given a service with a key", t, func() {
		s := newTestStore(t, 100, 100)
		s.do("PUT", "/v1/kv/k", "v")
		set := func(faults string) { convey.So(s.do("PUT", "/fault", faults).status, convey.ShouldEqual, 200) }
		value := func() string { return s.do("GET", "/v1/kv/k?raw", "").body }

		convey.Convey("an outage resets or fails every call", func() {
			set(`{"outage":"refuse"}`)
			convey.So(s.do("GET", "/v1/kv/k", "").status, convey.ShouldEqual, 0)
			set(`{"outage":"error"}`)
			convey.So(s.do("GET", "/v1/kv/k", "").status, convey.ShouldEqual, 500)
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "v")
		})
		convey.Convey("an outage ends waiting watches", func() {
			results := s.watch(t, context.Background())
			set(`{"outage":"refuse"}`)
			convey.So((<-results).status, convey.ShouldEqual, 0)
		})
		convey.Convey("a write whose response is lost has taken effect", func() {
			set(`{"lost_answers":1}`)
			convey.So(s.do("PUT", "/v1/kv/k?cas=2", "w").status, convey.ShouldEqual, 0)
			convey.So(s.do("PUT", "/v1/kv/k?cas=2", "x"), convey.ShouldResemble, result{200, "false"})
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "w")
		})
		convey.Convey("stale reads return old content until they are disabled", func() {
			set(`{"stale_reads":true}`)
			s.do("PUT", "/v1/kv/k", "w")
			convey.So(value(), convey.ShouldEqual, "v")
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "w")
		})
		convey.Convey("a stalled watch gets no response while new watches work", func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			stalled := s.watch(t, ctx)
			set(`{"silent_watch":true}`)
			set(`{}`)
			newWatch := s.watch(t, ctx)
			s.do("PUT", "/v1/kv/k", "w")
			convey.So((<-newWatch).status, convey.ShouldEqual, 200)
			convey.So(stalled, convey.ShouldBeEmpty)
			eventually(t, func() bool { return s.handler.counters.waiting.Load() == 1 })
		})
	})
}

func TestRateLimits(t *testing.T) {
	convey.Convey("Calls above the rate limits are rejected with 429 and counted", t, func() {
		s := newTestStore(t, 1, 1)
		statuses := make(map[string]int)
		for i := range 20 {
			statuses[fmt.Sprint("PUT", s.do("PUT", "/v1/kv/k", "v").status)]++
			statuses[fmt.Sprint("GET", s.do("GET", "/v1/kv/k", "").status)]++
			convey.So(s.handler.counters.snapshot(time.Now()).Writes, convey.ShouldEqual, i+1)
		}
		convey.So(statuses["PUT429"], convey.ShouldBeGreaterThan, 0)
		convey.So(statuses["GET429"], convey.ShouldBeGreaterThan, 0)
	})
}
