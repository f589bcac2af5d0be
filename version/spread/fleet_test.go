package spread_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/event"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

// waitTimeout is the timeout of eventually.
const waitTimeout = 20 * time.Second

// testSeed returns the seed of the random choices of all processes, which the environment
// variable SPREAD_SEED replaces.
func testSeed() uint64 {
	seed, _ := strconv.ParseUint(cmp.Or(os.Getenv("SPREAD_SEED"), "1"), 10, 64)
	return seed
}

// process is a Spreader that serves on a loopback address.
type process struct {
	peer     spread.Peer
	spreader *spread.Spreader
	client   *store.Client
	cancel   context.CancelFunc
	done     chan struct{}
	server   *http.Server

	mu          sync.Mutex
	applied     []uint64
	activatedAt map[uint64]time.Time
	events      []event.Event
}

// Record implements event.Recorder.
func (p *process) Record(e event.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = append(p.events, e)
}

func (p *process) apply(s config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applied = append(p.applied, s.Version)
	p.activatedAt[s.Version] = time.Now()
}

func (p *process) versions() []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]uint64{}, p.applied...)
}

func (p *process) sawEvent(kind event.Kind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

func (p *process) stop() {
	p.cancel()
	<-p.done
	_ = p.server.Close()
}

// fleet is a set of processes that are peers of each other.
type fleet struct {
	t         testing.TB
	store     *storetest.Server
	network   network
	mu        sync.Mutex
	processes []*process
}

func newFleet(t testing.TB) *fleet {
	f := &fleet{t: t, store: storetest.NewServer()}
	t.Cleanup(func() {
		for _, p := range f.all() {
			p.stop()
		}
		f.store.Close()
	})
	return f
}

func (f *fleet) all() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*process{}, f.processes...)
}

func (f *fleet) peers() []spread.Peer {
	var peers []spread.Peer
	for _, p := range f.all() {
		peers = append(peers, p.peer)
	}
	return peers
}

// start adds a process; peers returns its peers.
func (f *fleet) start(name, domain string, leaf bool, peers func() []spread.Peer) *process {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{
		peer: spread.Peer{Name: name, Domain: domain, Control: netip.MustParseAddrPort(socket.Addr().String())},
		done: make(chan struct{}), activatedAt: make(map[uint64]time.Time),
	}
	if !leaf {
		p.client = store.NewClient(store.Options{Address: f.store.Address(), Recorder: p, Timeout: time.Second})
	}
	p.spreader = spread.New(spread.Options{
		Self: p.peer, Store: p.client, Peers: peers, Recorder: p, Apply: p.apply, Tick: 20 * time.Millisecond,
		Random: rand.New(rand.NewPCG(testSeed(), xxhash.Sum64String(name))),
	})
	mux := http.NewServeMux()
	mux.Handle(p.spreader.Handler())
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = p.server.Serve(listener{socket, &f.network}) }()
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	if !leaf {
		f.mu.Lock()
		f.processes = append(f.processes, p)
		f.mu.Unlock()
	}
	go func() {
		_ = p.spreader.Run(ctx)
		close(p.done)
	}()
	if leaf {
		f.t.Cleanup(p.stop)
	}
	return p
}

// remove stops a process and removes it from the fleet.
func (f *fleet) remove(p *process) {
	f.mu.Lock()
	var kept []*process
	for _, other := range f.processes {
		if other != p {
			kept = append(kept, other)
		}
	}
	f.processes = kept
	f.mu.Unlock()
	p.stop()
}

// startMany adds a number of processes to each failure domain.
func (f *fleet) startMany(domains, each int) {
	for d := range domains {
		for i := range each {
			f.start(fmt.Sprintf("balancer-%d-%d", d, i), fmt.Sprintf("domain-%d", d), false, f.peers)
		}
	}
}

// startWithDelayedPeers adds processes that discover each other a delay after their
// start, as with the membership protocol.
func (f *fleet) startWithDelayedPeers(domains, each int, delay time.Duration) {
	var all atomic.Pointer[[]spread.Peer]
	all.Store(&[]spread.Peer{})
	peers := func() []spread.Peer { return *all.Load() }
	for d := range domains {
		for i := range each {
			f.start(fmt.Sprintf("balancer-%d-%d", d, i), fmt.Sprintf("domain-%d", d), false, peers)
		}
	}
	time.Sleep(delay)
	known := f.peers()
	all.Store(&known)
}

// watchers returns the processes that watch the store.
func (f *fleet) watchers() []*process {
	f.t.Helper()
	var watchers []*process
	for _, p := range f.all() {
		report, err := spread.NewOperatorClient().Report(f.t.Context(), p.peer.Control)
		if err != nil {
			f.t.Fatal(err)
		}
		if report.Self.Watching {
			watchers = append(watchers, p)
		}
	}
	return watchers
}

// testConfig returns a configuration whose content depends on n.
func testConfig(t testing.TB, n int) *config.Config {
	c, err := config.Parse(fmt.Appendf(nil, `
[[service]]
name = "ordering"
address = "198.18.0.10"
port = %d
[[service]]
name = "catalogue"
address = "198.18.0.11"
port = 80
[[domain]]
name = "domain-0"
out = %t
`, 1000+n, n%2 == 1))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// manyServices returns a configuration with count services. The first has the given
// port.
func manyServices(t testing.TB, count, port int) *config.Config {
	var document []byte
	for i := range count {
		document = fmt.Appendf(document, "[[service]]\nname = \"service-%d\"\naddress = \"198.18.%d.%d\"\nport = %d\n", i, i/250, i%250+1, port)
		port = 80
	}
	c, err := config.Parse(document)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// publishTestConfig publishes the configuration testConfig(n).
func (f *fleet) publishTestConfig(n int) publish.Result {
	f.t.Helper()
	return f.publishConfig(testConfig(f.t, n))
}

func (f *fleet) publishConfig(c *config.Config) publish.Result {
	f.t.Helper()
	client := store.NewClient(store.Options{Address: f.store.Address()})
	defer client.Close()
	result, err := publish.New(client).Publish(f.t.Context(), publish.Request{Config: c})
	if err != nil {
		f.t.Fatal(err)
	}
	return result
}

// eventually waits until a condition is true.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", waitTimeout, description)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// allActive returns a condition that reports whether a version is active in all
// processes.
func (f *fleet) allActive(version uint64) func() bool {
	return func() bool {
		for _, p := range f.all() {
			if p.spreader.ActiveVersion() != version {
				return false
			}
		}
		return true
	}
}
