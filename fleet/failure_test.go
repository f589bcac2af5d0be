package fleet_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/fleet"
)

// Lengths of the runs of callers and of the waits between changes.
const (
	runTime   = 12 * time.Second
	settle    = 2 * time.Second
	frozenFor = 5 * time.Second
)

func TestFlowsSurviveChangesOfBalancers(t *testing.T) {
	t.Parallel()
	convey.Convey("Flows survive a balancer that is killed, one that joins and one that stops", t, func() {
		f := startSmall(t)
		callers := startLoad(t, f, runTime)
		time.Sleep(settle)
		killed := f.Balancers()[0]
		f.Process(killed.Name).Kill()
		_, err := f.AddBalancer(t.Context(), killed.Domain)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(settle)
		convey.So(f.RemoveBalancer(t.Context(), f.Balancers()[1].Name), convey.ShouldBeNil)
		shouldBeUnharmed(callers.end())
		convey.So(duplicateRuns(t, f), convey.ShouldEqual, 0)
	})
}

func TestFlowsSurviveAFrozenBalancer(t *testing.T) {
	t.Parallel()
	convey.Convey("Flows survive a balancer that is paused and resumes with an old view", t, func() {
		f := startSmall(t)
		callers := startLoad(t, f, runTime)
		time.Sleep(settle)
		paused := f.Process(f.Balancers()[0].Name)
		paused.Freeze()
		_, err := f.Ctl(t.Context(), "drain", f.Servers("ordering")[0].Name)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(frozenFor)
		paused.Resume()
		shouldBeUnharmed(callers.end())
		convey.So(duplicateRuns(t, f), convey.ShouldEqual, 0)
	})
}

func TestFlowsSurviveReplacedAgents(t *testing.T) {
	t.Parallel()
	convey.Convey("One stream outlives ten planned changes of the other servers", t, func() {
		f := startSmall(t)
		callers := startLoad(t, f, runTime, "--streams", "1", "--orders-per-second", "1")
		time.Sleep(settle)
		holder := holderOfStream(t, f)
		for range 5 {
			replaceOthers(t, f, holder)
		}
		report := callers.end()
		convey.So(report.Totals.BrokenFlows, convey.ShouldEqual, 0)
		convey.So(report.Status.Answered, convey.ShouldEqual, 1)
		convey.So(report.Status.Lines, convey.ShouldBeGreaterThan, 20)
		convey.So(duplicateRuns(t, f), convey.ShouldEqual, 0)
	})
}

func TestDomainOutGetsNoPackets(t *testing.T) {
	t.Parallel()
	convey.Convey("A failure domain that is taken out sends and gets nothing, also during a store outage", t, func() {
		f := startSmall(t)
		startLoad(t, f, 2*runTime)
		time.Sleep(settle)
		_, err := f.Ctl(t.Context(), "domain", "out", outDomain)
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.SetFault(t.Context(), f.Store(), `{"outage": "refuse"}`), convey.ShouldBeNil)
		time.Sleep(inForceTime)
		before := packetsOfDomain(t, f)
		time.Sleep(settle)
		convey.So(packetsOfDomain(t, f), convey.ShouldResemble, before)
		convey.So(fabricSendsTo(t, f, outDomain), convey.ShouldBeFalse)
		convey.So(f.SetFault(t.Context(), f.Store(), `{}`), convey.ShouldBeNil)
		_, err = f.Ctl(t.Context(), "domain", "in", outDomain)
		convey.So(err, convey.ShouldBeNil)
		waitUntil(t, "packets reach the domain again", func() bool {
			return packetsOfDomain(t, f) != before
		})
	})
}

// inForceTime is the time within which a version is in force everywhere.
const inForceTime = 3 * time.Second

// packets counts the packets of the agents of a failure domain.
type packets struct {
	Delivered uint64
	Sent      uint64
}

// endpointMetrics is the part of an agent's metrics that counts packets.
type endpointMetrics struct {
	Endpoint packets `json:"endpoint"`
}

// outDomain is the failure domain that tests take out.
const outDomain = "pasco"

// packetsOfDomain adds up the counters of the agents of the failure domain that
// is taken out.
func packetsOfDomain(tb testing.TB, f *fleet.Fleet) packets {
	tb.Helper()
	var total packets
	for _, vm := range f.Servers("") {
		if vm.Domain != outDomain {
			continue
		}
		var metrics endpointMetrics
		if err := f.ReadJSON(tb.Context(), vm.Control, "/debug/vars", &metrics); err != nil {
			tb.Fatal(err)
		}
		total.Delivered += metrics.Endpoint.Delivered
		total.Sent += metrics.Endpoint.Sent
	}
	return total
}

// fabricSendsTo tells whether the fabric takes a balancer of a failure domain
// for alive, and so sends packets to it.
func fabricSendsTo(t *testing.T, f *fleet.Fleet, domain string) bool {
	t.Helper()
	balancers, err := f.FabricBalancers(t.Context())
	convey.So(err, convey.ShouldBeNil)
	for _, vm := range f.Balancers() {
		for _, status := range balancers {
			if vm.Domain == domain && vm.Name == status.Name && status.Alive {
				return true
			}
		}
	}
	return false
}

// waitUntil waits until condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(endTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// agentGate is the part of an agent's metrics that tells of its streams.
type agentGate struct {
	Gate struct {
		Streams int `json:"streams"`
	} `json:"gate"`
}

// holderOfStream returns the name of the server with the only open stream.
func holderOfStream(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	for _, vm := range f.Servers("ordering") {
		var metrics agentGate
		convey.So(f.ReadJSON(t.Context(), vm.Control, "/debug/vars", &metrics), convey.ShouldBeNil)
		if metrics.Gate.Streams > 0 {
			return vm.Name
		}
	}
	t.Fatal("no agent holds the stream")
	return ""
}

// replaceOthers replaces the agent of each server of the service but one.
func replaceOthers(t *testing.T, f *fleet.Fleet, holder string) {
	t.Helper()
	for _, vm := range f.Servers("ordering") {
		if vm.Name == holder {
			continue
		}
		convey.So(f.Process(vm.AgentName()).Stop(), convey.ShouldBeNil)
		convey.So(f.StartAgent(vm), convey.ShouldBeNil)
	}
}

func TestAtMostOnceWhenAnAgentIsKilled(t *testing.T) {
	t.Parallel()
	convey.Convey("Orders repeated under their key run at most once though an agent dies", t, func() {
		f := startSmall(t)
		callers := startLoad(t, f, runTime, "--orders-per-second", "40")
		time.Sleep(settle)
		victim := f.Servers("ordering")[0]
		f.Process(victim.AgentName()).Kill()
		time.Sleep(settle)
		convey.So(f.StartAgent(victim), convey.ShouldBeNil)
		report := callers.end()
		convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
		convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
		convey.So(duplicateRuns(t, f), convey.ShouldEqual, 0)
	})
}

func TestPlannedStopEndsWithoutError(t *testing.T) {
	t.Parallel()
	convey.Convey("A balancer and an agent end with exit code 0 after SIGTERM", t, func() {
		f := startSmall(t)
		balancer := f.Process(f.Balancers()[0].Name)
		agent := f.Process(f.Servers("catalogue")[0].AgentName())
		convey.So(balancer.Stop(), convey.ShouldBeNil)
		convey.So(agent.Stop(), convey.ShouldBeNil)
		convey.So(balancer.Wait(), convey.ShouldBeNil)
		convey.So(agent.Wait(), convey.ShouldBeNil)
	})
}

func TestSlowDownloadsFinish(t *testing.T) {
	t.Parallel()
	convey.Convey("Downloads to slow callers end whole though their packets are sprayed", t, func() {
		f := startSmall(t)
		catalogue := f.ServiceAddress("catalogue").String()
		callers := startLoad(t, f, runTime,
			"--downloads", "http://"+catalogue+"/download?bytes=2000000",
			"--downloads-per-second", "5", "--download-rate", "400000", "--download-timeout", "20s")
		report := callers.end()
		shouldBeUnharmed(report)
		convey.So(report.Downloads.Timeout, convey.ShouldEqual, 0)
		convey.So(report.Downloads.Answered, convey.ShouldBeGreaterThan, 0)
	})
}

// relayText adds a tcp service to the operators' text.
const relayText = `
[[service]]
name = "relay"
address = "198.18.0.30"
port = 7000
protocol = "tcp"
slots = 2
connections = 100
`

func TestTCPService(t *testing.T) {
	t.Parallel()
	convey.Convey("A tcp service relays flows, also while a balancer is replaced", t, func() {
		layout := fleet.Layout{Domains: []fleet.DomainLayout{
			{Name: "junin", Balancers: 2, Servers: []fleet.ServerGroup{{Service: "relay", Count: 2}}},
		}}
		f, err := fleet.Start(t.Context(), fleet.Options{
			Binaries: binaries, Directory: t.TempDir(), Layout: layout,
			Config: append(andesText(t), relayText...), Work: time.Millisecond, Cold: time.Millisecond,
		})
		convey.So(err, convey.ShouldBeNil)
		t.Cleanup(f.Close)
		report := filepath.Join(t.TempDir(), "report.json")
		process, err := f.Caller("--echo", f.ServiceAddress("relay").String(), "--echo-flows", "20",
			"--status-interval", "100ms", "--duration", "8s", "--report", report)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(settle)
		convey.So(f.RemoveBalancer(t.Context(), f.Balancers()[0].Name), convey.ShouldBeNil)
		result := (&load{t: t, process: process, report: report}).read()
		convey.So(result.Totals.BrokenFlows, convey.ShouldEqual, 0)
		convey.So(result.Echo.Answered, convey.ShouldEqual, 20)
		convey.So(result.Echo.Lines, convey.ShouldBeGreaterThan, 100)
	})
}
