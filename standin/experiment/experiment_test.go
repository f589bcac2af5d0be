package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
	"bergamotbank/standin/server"
)

func request(key string, outcomes ...caller.Outcome) caller.RequestEntry {
	return caller.RequestEntry{Key: key, Keyed: true, Request: key, Outcomes: outcomes}
}

func withAttemptNotRun(entry caller.RequestEntry, guarantees ...bool) caller.RequestEntry {
	entry.AttemptNotRun = guarantees
	return entry
}

func duplicated(entry caller.RequestEntry) caller.RequestEntry {
	entry.Duplicated = true
	return entry
}

func TestJoin(t *testing.T) {
	logs := []*server.ExecutionLog{
		{Executions: []server.Execution{{Key: "k", Request: "k-0"}}},
		{Executions: []server.Execution{{Key: "k", Request: "k-1"}, {Key: "once", Request: "once-1"}}},
		{Executions: []server.Execution{{Key: "first", Request: "first-0"}}},
	}
	cases := []struct {
		name    string
		request caller.RequestEntry
		want    JoinResult
	}{
		{"executed once after a correct refusal", request("once", caller.OutcomeNotRun, caller.OutcomeAnswered), JoinResult{}},
		{"executed twice", request("k", caller.OutcomeUnknown, caller.OutcomeAnswered), JoinResult{ExecutedTwice: []string{"k"}}},
		{
			"refused and executed twice", request("k", caller.OutcomeNotRun, caller.OutcomeAnswered),
			JoinResult{ExecutedTwice: []string{"k"}, FalseNotRun: []string{"k-0"}},
		},
		{"refused after its execution", request("once", caller.OutcomeNotConnected, caller.OutcomeUnknown, caller.OutcomeNotRun), JoinResult{FalseNotRun: []string{"once-1"}}},
		{"executed by an attempt concurrent with a refused one", duplicated(request("first", caller.OutcomeAnswered, caller.OutcomeNotRun)), JoinResult{}},
		{"executed by an attempt before a refused one", request("first", caller.OutcomeAnswered, caller.OutcomeNotRun), JoinResult{FalseNotRun: []string{"first-0"}}},
		{"refused after one of two concurrent attempts was executed", duplicated(request("once", caller.OutcomeUnknown, caller.OutcomeUnknown, caller.OutcomeNotRun)), JoinResult{FalseNotRun: []string{"once-1"}}},
		{"executed by an attempt with the guarantee not-run", withAttemptNotRun(request("once", caller.OutcomeUnknown, caller.OutcomeUnknown), false, true), JoinResult{FalseNotRun: []string{"once-1"}}},
		{"executed by an attempt while another one has the guarantee not-run", withAttemptNotRun(request("once", caller.OutcomeUnknown, caller.OutcomeUnknown), true, false), JoinResult{}},
		{"refused and not executed", request("none", caller.OutcomeNotRun), JoinResult{}},
		{"answered and not executed", request("none", caller.OutcomeAnswered), JoinResult{AnsweredNotExecuted: []string{"none"}}},
		{"unknown and not executed", request("none", caller.OutcomeUnknown), JoinResult{}},
	}
	for _, c := range cases {
		convey.Convey("A request "+c.name, t, func() {
			got := Join([]caller.RequestEntry{c.request}, logs)
			convey.So(got.ExecutedTwice, convey.ShouldResemble, append([]string{}, c.want.ExecutedTwice...))
			convey.So(got.FalseNotRun, convey.ShouldResemble, append([]string{}, c.want.FalseNotRun...))
			convey.So(got.AnsweredNotExecuted, convey.ShouldResemble, append([]string{}, c.want.AnsweredNotExecuted...))
			convey.So(got.Requests, convey.ShouldEqual, 1)
			convey.So(got.Executions, convey.ShouldEqual, 4)
		})
	}
}

func TestLoadRatios(t *testing.T) {
	convey.Convey("The load is divided by the capacity of the server, separately for each state", t, func() {
		start := time.Unix(1000, 0)
		sample := func(second int, state server.State, peak, capacity int) server.LoadSample {
			return server.LoadSample{
				At:   start.Add(time.Duration(second) * time.Second),
				Load: server.Load{State: state}, Peak: peak, Capacity: capacity,
			}
		}
		var report ServerReport
		report.addRatios(server.History{Server: "s1", Samples: []server.LoadSample{
			sample(-1, server.StateCold, 9, 1), sample(0, server.StateCold, 1, 2),
			sample(1, server.StateWarm, 6, 6), sample(2, server.StateWarm, 3, 6),
		}}, start)
		convey.So(report.MaxColdRatio, convey.ShouldEqual, 0.5)
		convey.So(report.MaxWarmRatio, convey.ShouldEqual, 1)
		convey.So(report.ratios.Points, convey.ShouldHaveLength, 3)
	})
}

// lastHost is the number of loopback addresses that tests have used.
var lastHost atomic.Uint32

// freePort returns a UDP and TCP port on a loopback address that no other test
// uses, so that a socket bound to port 0 elsewhere cannot take it.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	host := lastHost.Add(1)
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(180 + pid>>8%32), byte(pid), byte(host)})
	return netip.AddrPortFrom(ip, 7000)
}

// startServer runs a backend server until the test ends and returns its address.
func startServer(t *testing.T) string {
	t.Helper()
	address := freePort(t)
	command := &server.Command{
		Listen: address, Name: "s1", Service: "ordering", Protocol: "request", Slots: 100, ColdSlots: 1,
		Connections: 1000, Work: time.Millisecond, ColdSlowdown: 1, CrashDuration: time.Second, Seed: 1,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- command.Run(ctx, zap.NewNop()) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for range 1000 {
		conn, err := net.Dial("tcp", address.String())
		if err == nil {
			conn.Close()
			return address.String()
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("server did not start listening in time")
	return ""
}

func runPlan(t *testing.T, plan string) (*Report, error) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "plan.toml")
	if err := os.WriteFile(path, []byte(plan), 0o600); err != nil {
		t.Fatal(err)
	}
	command := &Command{Plan: path, Out: filepath.Join(dir, "out")}
	runErr := command.Run(context.Background(), zap.NewNop())
	text, err := os.ReadFile(filepath.Join(command.Out, "report.json"))
	if err != nil {
		return nil, runErr
	}
	var report Report
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"plot.svg", "load.svg"} {
		if _, err := os.Stat(filepath.Join(command.Out, name)); err != nil {
			t.Fatal(err)
		}
	}
	return &report, runErr
}

const planText = `
name = "test"
servers = ["http://%[1]s"]
[[caller]]
name = "orders"
args = "--duration 500ms --orders http://%[1]s/orders --orders-per-second 100 --repeat unknown"
[[step]]
name = "change"
at = "0s"
url = "http://%[1]s/fault"
body = '%[2]s'
`

func TestExperiment(t *testing.T) {
	convey.Convey("An experiment without faults has no violations", t, func() {
		report, err := runPlan(t, fmt.Sprintf(planText, startServer(t), "{}"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(report.Violations, convey.ShouldBeEmpty)
		convey.So(report.Joined.Executions, convey.ShouldEqual, report.Totals.Responses)
		convey.So(report.Joined.Executions, convey.ShouldEqual, report.Joined.Requests)
		convey.So(report.Servers, convey.ShouldHaveLength, 1)
		convey.So(report.Servers[0].Counters.Finished, convey.ShouldEqual, report.Totals.Responses)
	})
	convey.Convey("Requests that were executed twice are detected", t, func() {
		report, err := runPlan(t, fmt.Sprintf(planText, startServer(t), `{"reset_after_read":0.5}`))
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Partial)
		convey.So(report.Joined.ExecutedTwice, convey.ShouldNotBeEmpty)
		convey.So(report.Joined.FalseNotRun, convey.ShouldBeEmpty)
	})
	convey.Convey("A failed step and a missing log are violations", t, func() {
		address := startServer(t)
		report, err := runPlan(t, fmt.Sprintf(planText, address, `{"x":1}`)+
			"\n[[step]]\nat = \"0s\"\nurl = \"http://127.0.0.1:1/\"\n")
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Partial)
		convey.So(report.Violations, convey.ShouldResemble, []string{"2 steps failed"})
	})
	convey.Convey("An invalid plan returns an error", t, func() {
		for _, plan := range []string{
			"x = 1", "[[caller]]\nargs = \"\"", "[[step]]\nat = \"1s\"",
			"[[caller]]\nname = \"a\"\nargs = \"--nonsense\"", "[[step]]\nat = \"soon\"\nurl = \"x\"",
		} {
			_, err := runPlan(t, plan)
			convey.So(errkind.Of(err), convey.ShouldEqual, errkind.InvalidSettings)
		}
	})
}
