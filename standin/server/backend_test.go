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

// bench is a running backend server.
type bench struct {
	*backend
	http *httptest.Server
}

func newBench(t *testing.T, work time.Duration) *bench {
	command := &Command{Name: "s1", Service: "ordering", Slots: 1, Work: work, ColdSlots: 1, ColdSlowdown: 1, Fallen: time.Hour, Connections: 100, Seed: 1}
	b := newBackend(command, zap.NewNop())
	server := httptest.NewUnstartedServer(b.routes())
	server.Config.ConnContext = withRequestCount
	server.Start()
	t.Cleanup(func() {
		b.slots.fall()
		server.Close()
	})
	return &bench{backend: b, http: server}
}

// reply is what a request got. Its status is 0 without a whole answer.
type reply struct {
	status int
	header http.Header
	body   string
}

func (b *bench) do(ctx context.Context, method, path, deadline string) reply {
	request, _ := http.NewRequestWithContext(ctx, method, b.http.URL+path, strings.NewReader("body"))
	request.GetBody = nil
	request.Header.Set(headerKey, "key-1")
	request.Header.Set(headerDeadline, deadline)
	response, err := b.http.Client().Do(request)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}
}

func (b *bench) order() reply {
	return b.do(context.Background(), http.MethodPost, "/orders", "")
}

func (b *bench) outcomes() []Outcome {
	entries, _ := b.executions.after(0)
	outcomes := []Outcome{}
	for _, entry := range entries {
		outcomes = append(outcomes, entry.Outcome)
	}
	return outcomes
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

func TestOrder(t *testing.T) {
	convey.Convey("An order is answered whole and logged under its key", t, func() {
		b := newBench(t, time.Millisecond)
		got := b.order()
		convey.So(got.status, convey.ShouldEqual, 200)
		convey.So(got.header.Get(headerServer), convey.ShouldEqual, "s1")
		convey.So(got.header.Get(headerService), convey.ShouldEqual, "ordering")
		convey.So(got.header.Get(headerChecksum), convey.ShouldEqual, checksum([]byte(got.body)))
		var answer Response
		convey.So(json.Unmarshal([]byte(got.body), &answer), convey.ShouldBeNil)
		convey.So(answer.Key, convey.ShouldEqual, "key-1")
		convey.So(answer.BodyChecksum, convey.ShouldEqual, checksum([]byte("body")))
		entries, _ := b.executions.after(0)
		convey.So(entries, convey.ShouldHaveLength, 1)
		convey.So(entries[0].Key, convey.ShouldEqual, "key-1")
		convey.So(entries[0].Outcome, convey.ShouldEqual, OutcomeFinished)
	})
}

func TestFaultSwitches(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		status int
		ran    []Outcome
	}{
		{"drain", Faults{Drain: true}, 503, []Outcome{}},
		{"shed", Faults{Shed: 1}, 503, []Outcome{}},
		{"reset before the run", Faults{ResetBeforeRead: 1}, 0, []Outcome{}},
		{"reset after the run", Faults{ResetAfterRead: 1}, 0, []Outcome{OutcomeFinished}},
		{"reset in mid answer", Faults{ResetMidResponse: 1}, 0, []Outcome{OutcomeFinished}},
		{"failure", Faults{Fail: 1}, 500, []Outcome{OutcomeFinished}},
		{"reset on reuse", Faults{ResetOnReuse: true}, 200, []Outcome{OutcomeFinished}},
	}
	for _, c := range cases {
		convey.Convey("Fault switch: "+c.name, t, func() {
			b := newBench(t, time.Millisecond)
			b.faults.Set(c.faults)
			convey.So(b.order().status, convey.ShouldEqual, c.status)
			convey.So(b.outcomes(), convey.ShouldResemble, c.ran)
		})
	}
	convey.Convey("Reset on reuse resets the second request of a connection before it runs", t, func() {
		b := newBench(t, time.Millisecond)
		b.faults.Set(Faults{ResetOnReuse: true})
		convey.So(b.order().status, convey.ShouldEqual, 200)
		convey.So(b.order().status, convey.ShouldEqual, 0)
		convey.So(b.outcomes(), convey.ShouldHaveLength, 1)
	})
}

func TestEndsOfRuns(t *testing.T) {
	convey.Convey("Given a server with one slot and a long run", t, func() {
		b := newBench(t, time.Hour)
		convey.Convey("a deadline ends it", func() {
			convey.So(b.do(context.Background(), http.MethodPost, "/orders", "1").status, convey.ShouldEqual, 504)
			convey.So(b.outcomes(), convey.ShouldResemble, []Outcome{OutcomeCanceled})
		})
		convey.Convey("a caller that leaves ends it and frees the slot", func() {
			ctx, cancel := context.WithCancel(context.Background())
			go b.do(ctx, http.MethodPost, "/orders", "")
			eventually(t, func() bool { return b.counts.started.Load() == 1 })
			cancel()
			eventually(t, func() bool { return b.counts.canceled.Load() == 1 })
			eventually(t, func() bool { return b.currentLoad().Running == 0 })
		})
		convey.Convey("one request too many resets all of them", func() {
			first := make(chan reply, 1)
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

func TestHealthMisleads(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		status int
		state  State
	}{
		{"warm", Faults{}, 200, StateWarm},
		{"sudden cold", Faults{Cold: 1}, 200, StateCold},
		{"sudden cold said to be well", Faults{Cold: 1, Health: HealthAlwaysWarm}, 200, StateWarm},
		{"well said to be ill", Faults{Health: HealthAlwaysCrashed}, 503, StateCrashed},
		{"draining", Faults{Drain: true}, 503, StateDraining},
		{"draining said to be well", Faults{Drain: true, Health: HealthAlwaysWarm}, 200, StateWarm},
	}
	for _, c := range cases {
		convey.Convey("Health: "+c.name, t, func() {
			b := newBench(t, time.Millisecond)
			b.slots.capacity.limits.ColdFor = time.Hour
			b.faults.Set(c.faults)
			got := b.do(context.Background(), http.MethodGet, "/health", "")
			convey.So(got.status, convey.ShouldEqual, c.status)
			convey.So(got.body, convey.ShouldContainSubstring, `"state":"`+string(c.state)+`"`)
		})
	}
	convey.Convey("Lag tells what was true before", t, func() {
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
		b := newBench(t, time.Millisecond)
		for _, query := range []string{"", "&chunked=1"} {
			got := b.do(context.Background(), http.MethodGet, "/download?bytes=100001"+query, "")
			convey.So(got.body, convey.ShouldHaveLength, 100001)
		}
		got := b.do(context.Background(), http.MethodGet, "/download?bytes=100001", "")
		convey.So(got.header.Get(headerChecksum), convey.ShouldEqual, checksum([]byte(got.body)))
	})
	convey.Convey("A status stream is gapless and takes no slot", t, func() {
		b := newBench(t, time.Millisecond)
		got := b.do(context.Background(), http.MethodGet, "/status?interval=1ms&limit=3", "")
		lines := strings.Split(strings.TrimSpace(got.body), "\n")
		convey.So(lines, convey.ShouldHaveLength, 3)
		convey.So(lines[2], convey.ShouldStartWith, `{"sequence":3,"server":"s1"`)
		convey.So(b.counts.started.Load(), convey.ShouldEqual, 0)
	})
}

// dialAndRead returns the error of a new connection or of the first read from
// it: a reset can overtake the end of the dial.
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
