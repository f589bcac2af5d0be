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

// answer is what a call returned. Its status is 0 without an answer.
type answer struct {
	status int
	body   string
}

// bench is a running service.
type bench struct {
	handler *handler
	server  *httptest.Server
}

func newBench(t *testing.T, writes, reads int) *bench {
	h := newHandler(&Command{WritesPerSecond: writes, ReadsPerSecond: reads, Seed: 1})
	server := httptest.NewServer(h.routes())
	t.Cleanup(server.Close)
	return &bench{handler: h, server: server}
}

func (b *bench) call(ctx context.Context, method, path, body string) answer {
	request, _ := http.NewRequestWithContext(ctx, method, b.server.URL+path, strings.NewReader(body))
	request.GetBody = nil
	response, err := b.server.Client().Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(bytes.TrimSpace(text))}
}

func (b *bench) do(method, path, body string) answer {
	return b.call(context.Background(), method, path, body)
}

// eventually waits until condition holds.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition did not come to hold")
}

// watch starts a watch of key k and returns after it waits.
func (b *bench) watch(t *testing.T, ctx context.Context) <-chan answer {
	answers := make(chan answer, 1)
	before := b.handler.counters.waiting.Load()
	go func() { answers <- b.call(ctx, http.MethodGet, "/v1/kv/k?index=2&wait=1m", "") }()
	eventually(t, func() bool { return b.handler.counters.waiting.Load() == before+1 })
	return answers
}

func TestCalls(t *testing.T) {
	large := strings.Repeat("x", MaxValueBytes)
	cases := []struct {
		name, method, path, body string
		want                     answer
	}{
		{"missing key", "GET", "/v1/kv/none", "", answer{404, ""}},
		{"raw value", "GET", "/v1/kv/k?raw", "", answer{200, "v"}},
		{"list of keys", "GET", "/v1/kv/?keys", "", answer{200, `["k"]`}},
		{"conflict", "PUT", "/v1/kv/k?cas=0", "w", answer{200, "false"}},
		{"broken cas", "PUT", "/v1/kv/k?cas=x", "w", answer{400, "cas is not a number"}},
		{"largest value", "PUT", "/v1/kv/large", large, answer{200, "true"}},
		{"larger value", "PUT", "/v1/kv/large", large + "x", answer{413, "value is larger than 1 MB"}},
		{"broken transaction", "PUT", "/v1/txn", "{", answer{400, "invalid transaction"}},
		{"unknown session", "PUT", "/v1/session/renew/x", "", answer{404, "session does not exist"}},
		{"broken behavior", "PUT", "/v1/session/create", `{"Behavior":"x"}`, answer{400, `behavior "x" is not release or delete`}},
		{"unknown fault switch", "PUT", "/fault", `{"x":1}`, answer{400, `body of PUT /fault: json: unknown field "x"`}},
	}
	for _, c := range cases {
		convey.Convey("Call: "+c.name, t, func() {
			b := newBench(t, 100, 100)
			b.do("PUT", "/v1/kv/k", "v")
			convey.So(b.do(c.method, c.path, c.body), convey.ShouldResemble, c.want)
		})
	}
}

func TestWatchAnswersAtChange(t *testing.T) {
	convey.Convey("A watch waits for a change and is one call", t, func() {
		b := newBench(t, 100, 100)
		b.do("PUT", "/v1/kv/k", "v")
		answers := b.watch(t, context.Background())
		b.do("PUT", "/v1/kv/other", "v")
		b.do("PUT", "/v1/kv/k", "w")
		convey.So((<-answers).status, convey.ShouldEqual, 200)
		counters := b.handler.counters.snapshot(time.Now())
		convey.So(counters.Watches, convey.ShouldEqual, 1)
		convey.So(counters.Writes, convey.ShouldEqual, 3)
	})
}

func TestFaults(t *testing.T) {
	convey.Convey("Given a service with a key", t, func() {
		b := newBench(t, 100, 100)
		b.do("PUT", "/v1/kv/k", "v")
		set := func(faults string) { convey.So(b.do("PUT", "/fault", faults).status, convey.ShouldEqual, 200) }
		value := func() string { return b.do("GET", "/v1/kv/k?raw", "").body }

		convey.Convey("an outage refuses or fails every call", func() {
			set(`{"outage":"refuse"}`)
			convey.So(b.do("GET", "/v1/kv/k", "").status, convey.ShouldEqual, 0)
			set(`{"outage":"error"}`)
			convey.So(b.do("GET", "/v1/kv/k", "").status, convey.ShouldEqual, 500)
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "v")
		})
		convey.Convey("an outage ends waiting watches", func() {
			answers := b.watch(t, context.Background())
			set(`{"outage":"refuse"}`)
			convey.So((<-answers).status, convey.ShouldEqual, 0)
		})
		convey.Convey("a lost answer has taken effect", func() {
			set(`{"lost_answers":1}`)
			convey.So(b.do("PUT", "/v1/kv/k?cas=2", "w").status, convey.ShouldEqual, 0)
			convey.So(b.do("PUT", "/v1/kv/k?cas=2", "x"), convey.ShouldResemble, answer{200, "false"})
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "w")
		})
		convey.Convey("stale reads see the past until they are switched off", func() {
			set(`{"stale_reads":true}`)
			b.do("PUT", "/v1/kv/k", "w")
			convey.So(value(), convey.ShouldEqual, "v")
			set(`{}`)
			convey.So(value(), convey.ShouldEqual, "w")
		})
		convey.Convey("a silent watch gets no answer while new ones work", func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			silent := b.watch(t, ctx)
			set(`{"silent_watch":true}`)
			set(`{}`)
			fresh := b.watch(t, ctx)
			b.do("PUT", "/v1/kv/k", "w")
			convey.So((<-fresh).status, convey.ShouldEqual, 200)
			convey.So(silent, convey.ShouldBeEmpty)
			eventually(t, func() bool { return b.handler.counters.waiting.Load() == 1 })
		})
	})
}

func TestRateLimits(t *testing.T) {
	convey.Convey("Calls above the rates are answered 429 and counted", t, func() {
		b := newBench(t, 1, 1)
		statuses := make(map[string]int)
		for i := range 20 {
			statuses[fmt.Sprint("PUT", b.do("PUT", "/v1/kv/k", "v").status)]++
			statuses[fmt.Sprint("GET", b.do("GET", "/v1/kv/k", "").status)]++
			convey.So(b.handler.counters.snapshot(time.Now()).Writes, convey.ShouldEqual, i+1)
		}
		convey.So(statuses["PUT429"], convey.ShouldBeGreaterThan, 0)
		convey.So(statuses["GET429"], convey.ShouldBeGreaterThan, 0)
	})
}
