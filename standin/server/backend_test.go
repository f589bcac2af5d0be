package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
)

// testServer is a running backend server.
type testServer struct {
	*backend
	http *httptest.Server
}

func newTestServer(t *testing.T, work time.Duration) *testServer {
	command := &Command{Name: "s1", Service: "ordering", Slots: 1, Work: work, ColdSlots: 1, ColdSlowdown: 1, CrashDuration: time.Hour, Connections: 100, Seed: 1}
	b := newBackend(command, zap.NewNop())
	server := httptest.NewUnstartedServer(b.routes())
	server.Config.ConnContext = withRequestCount
	server.Start()
	t.Cleanup(func() {
		b.slots.crash()
		server.Close()
	})
	return &testServer{backend: b, http: server}
}

// testResponse is the response to a request. Its status is 0 if there was no
// complete response.
type testResponse struct {
	status int
	header http.Header
	body   string
}

func (b *testServer) do(ctx context.Context, method, path, deadline string) testResponse {
	request, _ := http.NewRequestWithContext(ctx, method, b.http.URL+path, strings.NewReader("body"))
	request.GetBody = nil
	request.Header.Set(headerKey, "key-1")
	request.Header.Set(headerDeadline, deadline)
	response, err := b.http.Client().Do(request)
	if err != nil {
		return testResponse{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return testResponse{}
	}
	return testResponse{status: response.StatusCode, header: response.Header, body: string(text)}
}

func (b *testServer) order() testResponse {
	return b.do(context.Background(), http.MethodPost, "/orders", "")
}

func (b *testServer) outcomes() []Outcome {
	entries, _ := b.executions.after(0)
	outcomes := []Outcome{}
	for _, entry := range entries {
		outcomes = append(outcomes, entry.Outcome)
	}
	return outcomes
}

// eventually waits until condition returns true.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition was not met in time")
}

func TestOrder(t *testing.T) {
	convey.Convey("An order gets a complete response and is logged under its key", t, func() {
		b := newTestServer(t, time.Millisecond)
		got := b.order()
		convey.So(got.status, convey.ShouldEqual, 200)
		convey.So(got.header.Get(headerServer), convey.ShouldEqual, "s1")
		convey.So(got.header.Get(headerService), convey.ShouldEqual, "ordering")
		convey.So(got.header.Get(headerChecksum), convey.ShouldEqual, checksum([]byte(got.body)))
		var response Response
		convey.So(json.Unmarshal([]byte(got.body), &response), convey.ShouldBeNil)
		convey.So(response.Key, convey.ShouldEqual, "key-1")
		convey.So(response.BodyChecksum, convey.ShouldEqual, checksum([]byte("body")))
		entries, _ := b.executions.after(0)
		convey.So(entries, convey.ShouldHaveLength, 1)
		convey.So(entries[0].Key, convey.ShouldEqual, "key-1")
		convey.So(entries[0].Outcome, convey.ShouldEqual, OutcomeFinished)
	})
}

func TestFaultSwitches(t *testing.T) {
	cases := []struct {
		name     string
		faults   Faults
		status   int
		executed []Outcome
	}{
		{"drain", Faults{Drain: true}, 503, []Outcome{}},
		{"shed", Faults{Shed: 1}, 503, []Outcome{}},
		{"reset before the execution", Faults{ResetBeforeRead: 1}, 0, []Outcome{}},
		{"reset after the execution", Faults{ResetAfterRead: 1}, 0, []Outcome{OutcomeFinished}},
		{"reset in the middle of the response", Faults{ResetMidResponse: 1}, 0, []Outcome{OutcomeFinished}},
		{"failure", Faults{Fail: 1}, 500, []Outcome{OutcomeFinished}},
		{"reset on reuse", Faults{ResetOnReuse: true}, 200, []Outcome{OutcomeFinished}},
	}
	for _, c := range cases {
		convey.Convey("Fault switch: "+c.name, t, func() {
			b := newTestServer(t, time.Millisecond)
			b.faults.Set(c.faults)
			convey.So(b.order().status, convey.ShouldEqual, c.status)
			convey.So(b.outcomes(), convey.ShouldResemble, c.executed)
		})
	}
	convey.Convey("Reset on reuse resets the second request of a connection before its execution", t, func() {
		b := newTestServer(t, time.Millisecond)
		b.faults.Set(Faults{ResetOnReuse: true})
		convey.So(b.order().status, convey.ShouldEqual, 200)
		convey.So(b.order().status, convey.ShouldEqual, 0)
		convey.So(b.outcomes(), convey.ShouldHaveLength, 1)
	})
}

func TestExecutionOutcomes(t *testing.T) {
	convey.Convey("Given a server with one slot and a long execution", t, func() {
		b := newTestServer(t, time.Hour)
		convey.Convey("a deadline cancels it", func() {
			convey.So(b.do(context.Background(), http.MethodPost, "/orders", "1").status, convey.ShouldEqual, 504)
			convey.So(b.outcomes(), convey.ShouldResemble, []Outcome{OutcomeCanceled})
		})
		convey.Convey("a caller that disconnects cancels it and frees the slot", func() {
			ctx, cancel := context.WithCancel(context.Background())
			go b.do(ctx, http.MethodPost, "/orders", "")
			eventually(t, func() bool { return b.counts.started.Load() == 1 })
			cancel()
			eventually(t, func() bool { return b.counts.canceled.Load() == 1 })
			eventually(t, func() bool { return b.currentLoad().Running == 0 })
		})
		convey.Convey("one request above the capacity resets all of them", func() {
			first := make(chan testResponse, 1)
			go func() { first <- b.order() }()
			eventually(t, func() bool { return b.counts.started.Load() == 1 })
			convey.So(b.order().status, convey.ShouldEqual, 0)
			convey.So((<-first).status, convey.ShouldEqual, 0)
			convey.So(b.outcomes(), convey.ShouldResemble, []Outcome{OutcomeAborted})
			convey.So(b.counts.peakWarm.Load(), convey.ShouldEqual, 2)
			convey.So(b.order().status, convey.ShouldEqual, 0)
			convey.So(b.do(context.Background(), http.MethodGet, "/status?limit=1", "").status, convey.ShouldEqual, 0)
			convey.So(b.do(context.Background(), http.MethodGet, "/health", "").status, convey.ShouldEqual, 503)
		})
	})
}

func TestHealthOverrides(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		status int
		state  State
	}{
		{"warm", Faults{}, 200, StateWarm},
		{"marked cold", Faults{Cold: 1}, 200, StateCold},
		{"marked cold, reported as warm", Faults{Cold: 1, Health: HealthAlwaysWarm}, 200, StateWarm},
		{"warm, reported as crashed", Faults{Health: HealthAlwaysCrashed}, 503, StateCrashed},
		{"draining", Faults{Drain: true}, 503, StateDraining},
		{"draining, reported as warm", Faults{Drain: true, Health: HealthAlwaysWarm}, 200, StateWarm},
	}
	for _, c := range cases {
		convey.Convey("Health: "+c.name, t, func() {
			b := newTestServer(t, time.Millisecond)
			b.slots.capacity.limits.ColdFor = time.Hour
			b.faults.Set(c.faults)
			got := b.do(context.Background(), http.MethodGet, "/health", "")
			convey.So(got.status, convey.ShouldEqual, c.status)
			convey.So(got.body, convey.ShouldContainSubstring, `"state":"`+string(c.state)+`"`)
		})
	}
	convey.Convey("Lag reports an earlier load", t, func() {
		history := &loadHistory{}
		history.add(LoadSample{At: start, Load: Load{Running: 1}})
		history.add(LoadSample{At: start.Add(time.Second), Load: Load{Running: 2}})
		load, ok := history.at(start.Add(999 * time.Millisecond))
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(load.Running, convey.ShouldEqual, 1)
	})
}

func TestReads(t *testing.T) {
	convey.Convey("Downloads carry their checksum as header or trailer", t, func() {
		b := newTestServer(t, time.Millisecond)
		for _, query := range []string{"", "&chunked=1"} {
			got := b.do(context.Background(), http.MethodGet, "/download?bytes=100001"+query, "")
			convey.So(got.body, convey.ShouldHaveLength, 100001)
		}
		got := b.do(context.Background(), http.MethodGet, "/download?bytes=100001", "")
		convey.So(got.header.Get(headerChecksum), convey.ShouldEqual, checksum([]byte(got.body)))
	})
	convey.Convey("A status stream has consecutive sequence numbers and takes no slot", t, func() {
		b := newTestServer(t, time.Millisecond)
		got := b.do(context.Background(), http.MethodGet, "/status?interval=1ms&limit=3", "")
		lines := strings.Split(strings.TrimSpace(got.body), "\n")
		convey.So(lines, convey.ShouldHaveLength, 3)
		convey.So(lines[2], convey.ShouldStartWith, `{"sequence":3,"server":"s1"`)
		convey.So(b.counts.started.Load(), convey.ShouldEqual, 0)
	})
}

// dialAndRead returns the error of dialing a new connection or of the first read
// from it, since a reset can arrive before the dial has returned.
func dialAndRead(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = conn.Read(make([]byte, 1))
	return err
}

func TestConnectionLimit(t *testing.T) {
	convey.Convey("Connections above the limit are reset", t, func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		counts := &counters{}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- serveEcho(ctx, &limitedListener{Listener: inner, limit: 1, counts: counts}) }()
		first, err := net.Dial("tcp", inner.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer first.Close()
		eventually(t, func() bool { return counts.connections.Load() == 1 })
		convey.So(errors.Is(dialAndRead(inner.Addr().String()), syscall.ECONNRESET), convey.ShouldBeTrue)
		_, _ = first.Write([]byte("x"))
		got := make([]byte, 1)
		_, err = io.ReadFull(first, got)
		convey.So(err, convey.ShouldBeNil)
		cancel()
		convey.So(<-done, convey.ShouldBeNil)
	})
}
