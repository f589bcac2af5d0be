package fleet_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/fleet"
)

// Durations of the load and of the waits between changes.
const (
	loadDuration      = 12 * time.Second
	stabilizationTime = 2 * time.Second
	freezeDuration    = 5 * time.Second
)

func TestFlowsSurviveChangesOfBalancers(t *testing.T) {
	t.Parallel()
	convey.Convey("Flows survive a balancer that is killed, one that joins and one that shuts down", t, func() {
		f := startSmallFleet(t)
		callers := startLoad(t, f, loadDuration)
		time.Sleep(stabilizationTime)
		killed := f.Balancers()[0]
		f.Process(killed.Name).Kill()
		_, err := f.AddBalancer(t.Context(), killed.Domain)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(stabilizationTime)
		convey.So(f.RemoveBalancer(t.Context(), f.Balancers()[1].Name), convey.ShouldBeNil)
		shouldBeUnaffected(callers.wait())
		convey.So(duplicateExecutions(t, f), convey.ShouldEqual, 0)
	})
}

func TestFlowsSurviveAFrozenBalancer(t *testing.T) {
	t.Parallel()
	convey.Convey("Flows survive a balancer that is frozen and resumes with an old view", t, func() {
		f := startSmallFleet(t)
		callers := startLoad(t, f, loadDuration)
		time.Sleep(stabilizationTime)
		frozen := f.Process(f.Balancers()[0].Name)
		frozen.Freeze()
		_, err := f.RunCtl(t.Context(), "drain", f.Servers("ordering")[0].Name)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(freezeDuration)
		frozen.Resume()
		shouldBeUnaffected(callers.wait())
		convey.So(duplicateExecutions(t, f), convey.ShouldEqual, 0)
	})
}

func TestStreamSurvivesReplacedAgents(t *testing.T) {
	t.Parallel()
	convey.Convey("One stream survives ten planned replacements of the other agents", t, func() {
		f := startSmallFleet(t)
		callers := startLoad(t, f, loadDuration, "--streams", "1", "--orders-per-second", "1")
		time.Sleep(stabilizationTime)
		holder := holderOfStream(t, f)
		for range 5 {
			replaceOtherAgents(t, f, holder)
		}
		report := callers.wait()
		convey.So(report.Totals.BrokenFlows, convey.ShouldEqual, 0)
		convey.So(report.Status.Answered, convey.ShouldEqual, 1)
		convey.So(report.Status.Lines, convey.ShouldBeGreaterThan, 20)
		convey.So(duplicateExecutions(t, f), convey.ShouldEqual, 0)
	})
}

func TestDomainOutGetsNoPackets(t *testing.T) {
	t.Parallel()
	convey.Convey("A failure domain that is out of service sends and receives nothing, even during a store outage", t, func() {
		f := startSmallFleet(t)
		startLoad(t, f, 2*loadDuration)
		time.Sleep(stabilizationTime)
		_, err := f.RunCtl(t.Context(), "domain", "out", outDomain)
		convey.So(err, convey.ShouldBeNil)
		convey.So(f.SetFault(t.Context(), f.Store(), `{"outage": "refuse"}`), convey.ShouldBeNil)
		time.Sleep(activationTime)
		before := packetsOfDomain(t, f)
		time.Sleep(stabilizationTime)
		convey.So(packetsOfDomain(t, f), convey.ShouldResemble, before)
		convey.So(fabricSendsToDomain(t, f, outDomain), convey.ShouldBeFalse)
		convey.So(f.SetFault(t.Context(), f.Store(), `{}`), convey.ShouldBeNil)
		_, err = f.RunCtl(t.Context(), "domain", "in", outDomain)
		convey.So(err, convey.ShouldBeNil)
		waitUntil(t, "packets reach the domain again", func() bool {
			return packetsOfDomain(t, f) != before
		})
	})
}

// activationTime is the time within which a version is active in all processes.
const activationTime = 3 * time.Second

// packetCounts holds the packet counters of the agents of a failure domain.
type packetCounts struct {
	Delivered uint64
	Sent      uint64
}

// endpointMetrics is the part of an agent's metrics with the packet counters.
type endpointMetrics struct {
	Endpoint packetCounts `json:"endpoint"`
}

// outDomain is the failure domain that tests take out of service.
const outDomain = "pasco"

// packetsOfDomain returns the sum of the packet counters of the agents in outDomain.
func packetsOfDomain(tb testing.TB, f *fleet.Fleet) packetCounts {
	tb.Helper()
	var total packetCounts
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

// fabricSendsToDomain reports whether the fabric considers a balancer of a failure
// domain alive, and so sends packets to it.
func fabricSendsToDomain(t *testing.T, f *fleet.Fleet, domain string) bool {
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

// waitUntil waits until condition is true.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(endTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// gateMetrics is the part of an agent's metrics with the number of its streams.
type gateMetrics struct {
	Gate struct {
		Streams int `json:"streams"`
	} `json:"gate"`
}

// holderOfStream returns the name of the server with the only open stream.
func holderOfStream(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	for _, vm := range f.Servers("ordering") {
		var metrics gateMetrics
		convey.So(f.ReadJSON(t.Context(), vm.Control, "/debug/vars", &metrics), convey.ShouldBeNil)
		if metrics.Gate.Streams > 0 {
			return vm.Name
		}
	}
	t.Fatal("no agent holds the stream")
	return ""
}

// replaceOtherAgents replaces the agents of all servers of the service except the
// holder's.
func replaceOtherAgents(t *testing.T, f *fleet.Fleet, holder string) {
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
	convey.Convey("Orders retried with the same key are executed at most once when an agent is killed", t, func() {
		f := startSmallFleet(t)
		callers := startLoad(t, f, loadDuration, "--orders-per-second", "40")
		time.Sleep(stabilizationTime)
		killed := f.Servers("ordering")[0]
		f.Process(killed.AgentName()).Kill()
		time.Sleep(stabilizationTime)
		convey.So(f.StartAgent(killed), convey.ShouldBeNil)
		report := callers.wait()
		convey.So(report.Totals.WrongService, convey.ShouldEqual, 0)
		convey.So(report.Totals.MismatchedResponses, convey.ShouldEqual, 0)
		convey.So(duplicateExecutions(t, f), convey.ShouldEqual, 0)
	})
}

func TestGracefulShutdownExitsWithoutError(t *testing.T) {
	t.Parallel()
	convey.Convey("A balancer and an agent exit with code 0 after SIGTERM", t, func() {
		f := startSmallFleet(t)
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
	convey.Convey("Downloads to slow callers complete although their packets are spread over all balancers", t, func() {
		f := startSmallFleet(t)
		catalogue := f.ServiceAddress("catalogue").String()
		callers := startLoad(t, f, loadDuration,
			"--downloads", "http://"+catalogue+"/download?bytes=2000000",
			"--downloads-per-second", "5", "--download-rate", "400000", "--download-timeout", "20s")
		report := callers.wait()
		shouldBeUnaffected(report)
		convey.So(report.Downloads.Timeout, convey.ShouldEqual, 0)
		convey.So(report.Downloads.Answered, convey.ShouldBeGreaterThan, 0)
	})
}

// relayServiceConfig adds a tcp service to the configuration text.
const relayServiceConfig = `
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
	convey.Convey("A tcp service relays flows, even while a balancer is removed", t, func() {
		layout := fleet.Layout{Domains: []fleet.DomainLayout{
			{Name: "junin", Balancers: 2, Servers: []fleet.ServerGroup{{Service: "relay", Count: 2}}},
		}}
		f, err := fleet.Start(t.Context(), fleet.Options{
			Binaries: binaries, Directory: t.TempDir(), Layout: layout,
			Config: append(andesConfig(t), relayServiceConfig...), ServiceTime: time.Millisecond, ColdDuration: time.Millisecond,
		})
		convey.So(err, convey.ShouldBeNil)
		t.Cleanup(f.Close)
		report := filepath.Join(t.TempDir(), "report.json")
		process, err := f.StartCaller("--echo", f.ServiceAddress("relay").String(), "--echo-flows", "20",
			"--status-interval", "100ms", "--duration", "8s", "--report", report)
		convey.So(err, convey.ShouldBeNil)
		time.Sleep(stabilizationTime)
		convey.So(f.RemoveBalancer(t.Context(), f.Balancers()[0].Name), convey.ShouldBeNil)
		result := (&load{t: t, process: process, reportPath: report}).readReport()
		convey.So(result.Totals.BrokenFlows, convey.ShouldEqual, 0)
		convey.So(result.Echo.Answered, convey.ShouldEqual, 20)
		convey.So(result.Echo.Lines, convey.ShouldBeGreaterThan, 100)
	})
}
