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

const text = `
[[service]]
name = "ordering"
address = "198.18.0.10"
port = 80
[[domain]]
name = "junin"
`

// world is a store with a few processes.
type world struct {
	t       *testing.T
	store   *storetest.Server
	mu      sync.Mutex
	peers   []spread.Peer
	drained []string
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, store: storetest.NewServer()}
	t.Cleanup(w.store.Close)
	return w
}

func (w *world) known() []spread.Peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]spread.Peer{}, w.peers...)
}

// start adds a process with the endpoints of the daemon and returns how to stop
// it.
func (w *world) start(name string, leaf bool) (stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	self := spread.Peer{Name: name, Domain: "junin", Control: netip.MustParseAddrPort(listener.Addr().String())}
	ring := timeline.NewRing(timeline.Options{Process: name, Capacity: 100})
	options := spread.Options{Self: self, Peers: w.known, Recorder: ring, Tick: 20 * time.Millisecond}
	if !leaf {
		options.Store = store.NewClient(store.Options{Address: w.store.Address()})
		w.mu.Lock()
		w.peers = append(w.peers, self)
		w.mu.Unlock()
	}
	spreader := spread.New(options)
	mux := http.NewServeMux()
	mux.Handle(spreader.Handler())
	mux.Handle(ring.Handler())
	mux.HandleFunc("POST /drain", func(http.ResponseWriter, *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.drained = append(w.drained, name)
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
	w.t.Cleanup(stop)
	return stop
}

// writeDirectory lists the balancers in the store.
func (w *world) writeDirectory() {
	type entry struct {
		Name    string         `json:"name"`
		Control netip.AddrPort `json:"control"`
	}
	var entries []entry
	for _, p := range w.known() {
		entries = append(entries, entry{Name: p.Name, Control: p.Control})
	}
	value, err := json.Marshal(entries)
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put("directory/junin", value)
}

// result is what one run of the program left.
type result struct {
	code   int
	stdout string
	stderr string
}

func (w *world) run(stdin string, args ...string) result {
	var stdout, stderr bytes.Buffer
	args = append([]string{"--store", w.store.Address()}, args...)
	code := ctl.Main(w.t.Context(), args, ctl.Streams{In: strings.NewReader(stdin), Out: &stdout, Err: &stderr})
	return result{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

func code(kind errkind.Kind) int {
	return kind.Properties().ExitCode
}

func TestCommandsWithoutAFleet(t *testing.T) {
	w := newWorld(t)
	broken := filepath.Join(t.TempDir(), "broken.toml")
	convey.Convey("Bad input gets a clear error and its exit code", t, func() {
		convey.So(os.WriteFile(broken, []byte(text+"prot = 1\n[[domain]]\n"), 0o600), convey.ShouldBeNil)
		cases := []struct {
			name string
			args []string
			want errkind.Kind
			text string
		}{
			{"no command", nil, errkind.Usage, "a command is missing"},
			{"unknown command", []string{"destroy"}, errkind.Usage, "destroy"},
			{"bad balancer", []string{"--balancer", "here", "status"}, errkind.Usage, "--balancer here"},
			{"missing file", []string{"validate", broken + ".none"}, errkind.NotFound, "broken.toml.none"},
			{"broken text", []string{"validate", broken}, errkind.InvalidConfig, "broken.toml: configuration text: line 8: domain.prot: unknown key"},
			{"broken text to apply", []string{"apply", broken}, errkind.InvalidConfig, "line 9: domain.name: missing"},
			{"nothing to show", []string{"show"}, errkind.NotFound, "no configuration"},
			{"no fleet", []string{"status"}, errkind.NotFound, "no balancer is known"},
			{"no such server", []string{"drain", "x"}, errkind.NotFound, "no balancer is known"},
			{"no configuration yet", []string{"domain", "out", "junin"}, errkind.NotFound, "no configuration"},
		}
		for _, c := range cases {
			got := w.run("", c.args...)
			convey.So(got.stderr, convey.ShouldContainSubstring, c.text)
			convey.So(got.code, convey.ShouldEqual, code(c.want))
		}
		convey.So(w.store.Keys("config/"), convey.ShouldBeEmpty)
	})
	convey.Convey("With --json an error is JSON with its problems", t, func() {
		got := w.run("port = 1\n", "--json", "validate", "-")
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
	convey.Convey("A store that is down is named", t, func() {
		got := w.run(text, "--store", "127.0.0.1:1", "apply", "-")
		convey.So(got.code, convey.ShouldEqual, code(errkind.StoreUnavailable))
		convey.So(got.stderr, convey.ShouldContainSubstring, "127.0.0.1:1")
	})
	convey.Convey("validate, diff, apply, show and version", t, func() {
		convey.So(w.run(text, "validate", "-").stdout, convey.ShouldEqual, "valid: 1 services, 1 failure domains\n")
		convey.So(w.run(text, "diff", "-").stdout, convey.ShouldStartWith, "2 changes against version 0\n")
		got := w.run(text, "apply", "-")
		convey.So(got.code, convey.ShouldEqual, 0)
		convey.So(got.stdout, convey.ShouldStartWith, "accepted: version 1, ")
		convey.So(w.run(text, "apply", "-").stdout, convey.ShouldStartWith, "unchanged: version 1, ")
		convey.So(w.run("", "show").stdout, convey.ShouldContainSubstring, `name = "ordering"`)
		conflict := w.run(text+"out = true\n", "apply", "--expect-version", "7", "-")
		convey.So(conflict.code, convey.ShouldEqual, code(errkind.Conflict))
		convey.So(conflict.stdout, convey.ShouldContainSubstring, `domain junin: out "false" -> "true"`)
		convey.So(w.run("", "version").stdout, convey.ShouldStartWith, "bergamotctl ")
	})
}

func TestCommandsWithAFleet(t *testing.T) {
	w := newWorld(t)
	w.start("balancer-1", false)
	stop := w.start("balancer-2", false)
	w.start("server-1", true)
	w.writeDirectory()
	convey.Convey("apply --wait returns when the version is in force everywhere", t, func() {
		got := w.run(text, "--json", "apply", "--wait", "-")
		convey.So(got.stderr, convey.ShouldBeEmpty)
		var output struct {
			Outcome string
			Version uint64
			Offered int
			InForce bool `json:"in_force"`
		}
		convey.So(json.Unmarshal([]byte(got.stdout), &output), convey.ShouldBeNil)
		convey.So(output.Outcome, convey.ShouldEqual, "accepted")
		convey.So(output.Version, convey.ShouldEqual, 1)
		convey.So(output.Offered, convey.ShouldEqual, 2)
		convey.So(output.InForce, convey.ShouldBeTrue)
	})
	convey.Convey("domain out, status, drain", t, func() {
		got := w.run("", "domain", "out", "junin", "--wait")
		convey.So(got.stdout, convey.ShouldContainSubstring, "in force everywhere")
		convey.So(w.run("", "domain", "out", "pasco").code, convey.ShouldEqual, code(errkind.NotFound))
		status := w.run("", "status")
		convey.So(status.code, convey.ShouldEqual, 0)
		convey.So(strings.Count(status.stdout, "version 2 in force 2"), convey.ShouldEqual, 3)
		convey.So(w.run("", "drain", "server-1").code, convey.ShouldEqual, 0)
		convey.So(w.drained, convey.ShouldResemble, []string{"server-1"})
		convey.So(w.run("", "drain", "server-9").code, convey.ShouldEqual, code(errkind.NotFound))
	})
	convey.Convey("timeline shows the events of all processes", t, func() {
		got := w.run("", "timeline", "--kind", "version_in_force")
		convey.So(got.stderr, convey.ShouldBeEmpty)
		convey.So(strings.Count(got.stdout, "version_in_force version=2"), convey.ShouldEqual, 3)
	})
	convey.Convey("During an outage nothing is accepted, and that is true", t, func() {
		w.store.SetFaults(storetest.Faults{Down: true})
		before := string(w.store.Value("config/root"))
		got := w.run("", "--balancer", w.known()[0].Control.String(), "domain", "in", "junin")
		convey.So(got.code, convey.ShouldEqual, code(errkind.StoreUnavailable))
		convey.So(got.stdout, convey.ShouldStartWith, "refused: ")
		status := w.run("", "--balancer", w.known()[0].Control.String(), "status")
		convey.So(strings.Count(status.stdout, "version 2 in force 2"), convey.ShouldEqual, 3)
		convey.So(status.code, convey.ShouldEqual, code(errkind.Partial))
		w.store.SetFaults(storetest.Faults{})
		convey.So(string(w.store.Value("config/root")), convey.ShouldEqual, before)
	})
	convey.Convey("A process that does not answer is named", t, func() {
		stop()
		status := w.run("", "status")
		convey.So(status.code, convey.ShouldEqual, code(errkind.Partial))
		convey.So(status.stderr, convey.ShouldContainSubstring, "balancer-2")
		got := w.run("", "--timeout", "1s", "domain", "in", "junin", "--wait")
		convey.So(got.code, convey.ShouldEqual, code(errkind.NotInForce))
		convey.So(got.stderr, convey.ShouldContainSubstring, "version 3 is accepted but not in force everywhere: balancer-2")
	})
}
