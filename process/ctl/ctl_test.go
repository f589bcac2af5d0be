package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/process/ctl"
	"bergamotbank/process/timeline"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

const configText = `
[[service]]
name = "ordering"
address = "198.18.0.10"
port = 80
[[domain]]
name = "junin"
`

// testCluster is a store with a few simulated processes.
type testCluster struct {
	t       *testing.T
	store   *storetest.Server
	mu      sync.Mutex
	peers   []spread.Peer
	drained []string
}

func newTestCluster(t *testing.T) *testCluster {
	cluster := &testCluster{t: t, store: storetest.NewServer()}
	t.Cleanup(cluster.store.Close)
	return cluster
}

func (c *testCluster) knownPeers() []spread.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]spread.Peer{}, c.peers...)
}

// startProcess starts a process with the control endpoints of the daemon. The returned
// function stops it.
func (c *testCluster) startProcess(name string, leaf bool) (stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.t.Fatal(err)
	}
	self := spread.Peer{Name: name, Domain: "junin", Control: netip.MustParseAddrPort(listener.Addr().String())}
	ring := timeline.NewRing(timeline.Options{Process: name, Capacity: 100})
	options := spread.Options{Self: self, Peers: c.knownPeers, Recorder: ring, Tick: 20 * time.Millisecond}
	if !leaf {
		options.Store = store.NewClient(store.Options{Address: c.store.Address()})
		c.mu.Lock()
		c.peers = append(c.peers, self)
		c.mu.Unlock()
	}
	spreader := spread.New(options)
	mux := http.NewServeMux()
	mux.Handle(spreader.Handler())
	mux.Handle(ring.Handler())
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.drained = append(c.drained, name)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = spreader.Run(ctx)
		close(done)
	}()
	stop = sync.OnceFunc(func() {
		cancel()
		<-done
		_ = server.Close()
	})
	c.t.Cleanup(stop)
	return stop
}

// writeDirectory writes the directory of the balancers to the store.
func (c *testCluster) writeDirectory() {
	type entry struct {
		Name    string         `json:"name"`
		Control netip.AddrPort `json:"control"`
	}
	var entries []entry
	for _, p := range c.knownPeers() {
		entries = append(entries, entry{Name: p.Name, Control: p.Control})
	}
	value, err := json.Marshal(entries)
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put("directory/junin", value)
}

// result is the exit code and the output of one run of the program.
type result struct {
	code   int
	stdout string
	stderr string
}

func (c *testCluster) run(stdin string, args ...string) result {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--store", c.store.Address()}, args...)
	code := ctl.Main(c.t.Context(), args, ctl.Streams{In: strings.NewReader(stdin), Out: &stdout, Err: &stderr})
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

func exitCode(kind errkind.Kind) int {
	return kind.Properties().ExitCode
}

func TestCommandsWithoutProcesses(t *testing.T) {
	cluster := newTestCluster(t)
	invalidFile := filepath.Join(t.TempDir(), "invalid.toml")
	convey.Convey("Invalid input is reported with an error and the exit code of its kind", t, func() {
		convey.So(os.WriteFile(invalidFile, []byte(configText+"prot = 1\n[[domain]]\n"), 0o600), convey.ShouldBeNil)
		cases := []struct {
			name string
			args []string
			want errkind.Kind
			text string
		}{
			{"no command", nil, errkind.Usage, "a command is missing"},
			{"unknown command", []string{"destroy"}, errkind.Usage, "destroy"},
			{"invalid balancer address", []string{"--balancer", "here", "status"}, errkind.Usage, "--balancer here"},
			{"missing file", []string{"validate", invalidFile + ".none"}, errkind.NotFound, "invalid.toml.none"},
			{"invalid configuration", []string{"validate", invalidFile}, errkind.InvalidConfig, "invalid.toml: configuration text: line 8: domain.prot: unknown key"},
			{"invalid configuration to apply", []string{"apply", invalidFile}, errkind.InvalidConfig, "line 9: domain.name: missing"},
			{"no configuration to show", []string{"show"}, errkind.NotFound, "no configuration"},
			{"no balancers", []string{"status"}, errkind.NotFound, "no balancer is known"},
			{"unknown server", []string{"drain", "x"}, errkind.NotFound, "no balancer is known"},
			{"no configuration to change", []string{"domain", "out", "junin"}, errkind.NotFound, "no configuration"},
		}
		for _, c := range cases {
			got := cluster.run("", c.args...)
			convey.So(got.stderr, convey.ShouldContainSubstring, c.text)
			convey.So(got.code, convey.ShouldEqual, exitCode(c.want))
		}
		convey.So(cluster.store.Keys("config/"), convey.ShouldBeEmpty)
	})
	convey.Convey("With --json an error is printed as JSON with its problems", t, func() {
		got := cluster.run("port = 1\n", "--json", "validate", "-")
		var output struct {
			Error struct {
				Kind     string
				ExitCode int `json:"exit_code"`
				Problems []struct {
					Line  int
					Field string
				}
			}
		}
		convey.So(json.Unmarshal([]byte(got.stderr), &output), convey.ShouldBeNil)
		convey.So(output.Error.Kind, convey.ShouldEqual, "invalid_config")
		convey.So(output.Error.ExitCode, convey.ShouldEqual, got.code)
		convey.So(output.Error.Problems[0].Field, convey.ShouldEqual, "port")
	})
	convey.Convey("The error names a store that is unreachable", t, func() {
		got := cluster.run(configText, "--store", "127.0.0.1:1", "apply", "-")
		convey.So(got.code, convey.ShouldEqual, exitCode(errkind.StoreUnavailable))
		convey.So(got.stderr, convey.ShouldContainSubstring, "127.0.0.1:1")
	})
	convey.Convey("apply --operation prints whether the operation made a version, made none or may have made one", t, func() {
		cluster := newTestCluster(t)
		apply := func(text string, args ...string) result {
			return cluster.run(text, append(append([]string{"--timeout", "2s", "apply", "--operation", "change-1"}, args...), "-")...)
		}
		got := apply(configText)
		convey.So(got.stdout, convey.ShouldStartWith, "accepted: version 1, operation change-1, ")
		cluster.store.SetFaults(storetest.Faults{Down: true})
		got = apply(configText)
		convey.So(got.code, convey.ShouldEqual, exitCode(errkind.OutcomeUnknown))
		convey.So(got.stdout, convey.ShouldStartWith, "unknown: retry with --operation change-1 ")
		cluster.store.SetFaults(storetest.Faults{})
		convey.So(apply(configText).stdout, convey.ShouldStartWith, "accepted: version 1, operation change-1, ")
		got = cluster.run(configText+"out = true\n", "apply", "--operation", "change-2", "--expect-version", "7", "-")
		convey.So(got.code, convey.ShouldEqual, exitCode(errkind.Conflict))
		convey.So(got.stdout, convey.ShouldStartWith, "refused: nothing was changed")
	})
	convey.Convey("The output of validate, diff, apply, show and version", t, func() {
		convey.So(cluster.run(configText, "validate", "-").stdout, convey.ShouldEqual, "valid: 1 services, 1 failure domains\n")
		convey.So(cluster.run(configText, "diff", "-").stdout, convey.ShouldStartWith, "2 changes relative to version 0\n")
		got := cluster.run(configText, "apply", "-")
		convey.So(got.code, convey.ShouldEqual, 0)
		convey.So(got.stdout, convey.ShouldStartWith, "accepted: version 1, ")
		convey.So(cluster.run(configText, "apply", "-").stdout, convey.ShouldStartWith, "unchanged: version 1, ")
		convey.So(cluster.run("", "show").stdout, convey.ShouldContainSubstring, `name = "ordering"`)
		conflict := cluster.run(configText+"out = true\n", "apply", "--expect-version", "7", "-")
		convey.So(conflict.code, convey.ShouldEqual, exitCode(errkind.Conflict))
		convey.So(conflict.stdout, convey.ShouldContainSubstring, `domain junin: out "false" -> "true"`)
		convey.So(cluster.run("", "version").stdout, convey.ShouldStartWith, "bergamotctl ")
	})
}

func TestCommandsWithRunningProcesses(t *testing.T) {
	cluster := newTestCluster(t)
	cluster.startProcess("balancer-1", false)
	stop := cluster.startProcess("balancer-2", false)
	cluster.startProcess("server-1", true)
	cluster.writeDirectory()
	convey.Convey("apply --wait returns when the version is active on all processes", t, func() {
		got := cluster.run(configText, "--json", "apply", "--wait", "-")
		convey.So(got.stderr, convey.ShouldBeEmpty)
		var output struct {
			Outcome string
			Version uint64
			Offered int
			Active  bool `json:"in_force"`
		}
		convey.So(json.Unmarshal([]byte(got.stdout), &output), convey.ShouldBeNil)
		convey.So(output.Outcome, convey.ShouldEqual, "accepted")
		convey.So(output.Version, convey.ShouldEqual, 1)
		convey.So(output.Offered, convey.ShouldEqual, 2)
		convey.So(output.Active, convey.ShouldBeTrue)
	})
	convey.Convey("The output of domain out, status and drain", t, func() {
		got := cluster.run("", "domain", "out", "junin", "--wait")
		convey.So(got.stdout, convey.ShouldContainSubstring, "active on all processes")
		convey.So(cluster.run("", "domain", "out", "pasco").code, convey.ShouldEqual, exitCode(errkind.NotFound))
		status := cluster.run("", "status")
		convey.So(status.code, convey.ShouldEqual, 0)
		convey.So(strings.Count(status.stdout, "version 2 active 2"), convey.ShouldEqual, 3)
		convey.So(cluster.run("", "drain", "server-1").code, convey.ShouldEqual, 0)
		convey.So(cluster.drained, convey.ShouldResemble, []string{"server-1"})
		convey.So(cluster.run("", "drain", "server-9").code, convey.ShouldEqual, exitCode(errkind.NotFound))
	})
	convey.Convey("timeline shows the events of all processes", t, func() {
		got := cluster.run("", "timeline", "--kind", "version_in_force")
		convey.So(got.stderr, convey.ShouldBeEmpty)
		convey.So(strings.Count(got.stdout, "version_in_force version=2"), convey.ShouldEqual, 3)
	})
	convey.Convey("During a store outage a change is refused and leaves the configuration unchanged", t, func() {
		cluster.store.SetFaults(storetest.Faults{Down: true})
		before := string(cluster.store.Value("config/root"))
		got := cluster.run("", "--balancer", cluster.knownPeers()[0].Control.String(), "domain", "in", "junin")
		convey.So(got.code, convey.ShouldEqual, exitCode(errkind.StoreUnavailable))
		convey.So(got.stdout, convey.ShouldStartWith, "refused: ")
		status := cluster.run("", "--balancer", cluster.knownPeers()[0].Control.String(), "status")
		convey.So(strings.Count(status.stdout, "version 2 active 2"), convey.ShouldEqual, 3)
		convey.So(status.code, convey.ShouldEqual, exitCode(errkind.Partial))
		cluster.store.SetFaults(storetest.Faults{})
		convey.So(string(cluster.store.Value("config/root")), convey.ShouldEqual, before)
	})
	convey.Convey("A process that does not respond is reported", t, func() {
		stop()
		status := cluster.run("", "status")
		convey.So(status.code, convey.ShouldEqual, exitCode(errkind.Partial))
		convey.So(status.stderr, convey.ShouldContainSubstring, "balancer-2")
		got := cluster.run("", "--timeout", "1s", "domain", "in", "junin", "--wait")
		convey.So(got.code, convey.ShouldEqual, exitCode(errkind.NotInForce))
		convey.So(got.stderr, convey.ShouldContainSubstring, "version 3 is accepted but not active on all processes: balancer-2")
	})
}
