// Package spread distributes each accepted configuration version to all
// processes. A process never goes back to a lower version.
//
// Two processes of each failure domain, chosen by rendezvous hashing over the
// live peers, watch the store. All others learn versions by gossip: a process
// that learns a version notifies a few random peers and its leaves, and every
// process queries a random peer periodically. A version therefore reaches all
// processes once a single one has it, whether the store is available or not.
// Peers also exchange the time of the latest known contact with the store; when
// it is too long ago, processes that do not watch the store read it themselves,
// at random times.
//
// A starting process queries the store and several peers and applies the highest
// version. It is ready once one of them has confirmed which version is current.
// The same holds after a pause. A process that reaches neither the store nor any
// peer keeps its active version, records an event and reports the state in its
// status; if it is starting, it has no version and does not become ready.
//
// The protocol logic is in the state machine type machine, which does no I/O;
// Spreader performs its actions.
package spread

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bergamotbank/event"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
	"bergamotbank/version/store"
)

// Peer is a process that takes part in the distribution of versions.
type Peer struct {
	// Name identifies the process.
	Name string
	// Domain is its failure domain.
	Domain string
	// Control is its control address.
	Control netip.AddrPort
}

// Options configures a Spreader.
type Options struct {
	// Self is this process.
	Self Peer
	// Store is the client of the store. If nil, the process is a leaf, which
	// learns from Peers only.
	Store *store.Client
	// Peers returns the live processes to learn from: for a leaf, its home
	// balancers.
	Peers func() []Peer
	// Recorder receives the events; nil discards them.
	Recorder event.Recorder
	// Apply makes a version active. It is called from one goroutine, with
	// increasing versions; a version that is superseded before its turn is
	// skipped.
	Apply func(config.Snapshot)
	// Tick is the interval between two calls of the state machine's periodic
	// work; 0 means DefaultTick.
	Tick time.Duration
	// Random is the source of the random choices, which no other goroutine may use while
	// the Spreader runs; nil means one with a random seed.
	Random *rand.Rand
}

// DefaultTick is the default of Options.Tick.
const DefaultTick = 250 * time.Millisecond

// inputQueueSize is the capacity of the queue of inputs to the state machine.
const inputQueueSize = 256

// Spreader keeps a process at the latest version. It is safe for concurrent
// use.
type Spreader struct {
	options Options
	machine *machine
	client  *peerClient
	leaves  *leafTable

	// inputs queues inputs for the goroutine that owns the state machine.
	inputs        chan func(now time.Time) []action
	current       atomic.Pointer[publish.Version]
	activeVersion atomic.Uint64
	status        atomic.Pointer[machineStatus]
	pendingApply  chan publish.Version
	running       sync.WaitGroup
	cancelWatch   context.CancelFunc
}

// New returns a Spreader; Run starts it.
func New(options Options) *Spreader {
	if options.Recorder == nil {
		options.Recorder = event.Discard{}
	}
	if options.Apply == nil {
		options.Apply = func(config.Snapshot) {}
	}
	if options.Tick == 0 {
		options.Tick = DefaultTick
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	s := &Spreader{
		options: options,
		machine: newMachine(machineOptions{
			self:   options.Self,
			leaf:   options.Store == nil,
			random: options.Random,
		}),
		client:       newPeerClient(options.Self, options.Store == nil),
		leaves:       newLeafTable(),
		inputs:       make(chan func(time.Time) []action, inputQueueSize),
		pendingApply: make(chan publish.Version, 1),
	}
	s.current.Store(&publish.Version{})
	s.status.Store(&machineStatus{})
	return s
}

// Current returns the highest version received, which is active or about to be.
// Its Version is 0 if there is none yet.
func (s *Spreader) Current() config.Snapshot {
	return s.current.Load().Snapshot()
}

// ActiveVersion returns the version that was last passed to Apply.
func (s *Spreader) ActiveVersion() uint64 {
	return s.activeVersion.Load()
}

// Ready reports whether the process has an active version and has synchronized
// since its start, that is, the store or a synchronized peer has responded and the
// startup queries are complete.
func (s *Spreader) Ready() bool {
	return s.status.Load().synchronized && s.ActiveVersion() > 0
}

// ObserveVersion informs the Spreader that a peer holds a version; a newer
// version is fetched from it. It does not block.
func (s *Spreader) ObserveVersion(version uint64, from Peer) {
	if version <= s.current.Load().Root.Version {
		return
	}
	s.tryEnqueue(func(now time.Time) []action { return s.machine.handlePeerVersion(now, from, version) })
}

// Handler returns the path prefix and handler of the Twirp service.
func (s *Spreader) Handler() (pathPrefix string, handler http.Handler) {
	server := spreadpb.NewSpreadServer(&service{spreader: s})
	return server.PathPrefix(), server
}

// Run runs the Spreader until ctx is done, and returns nil.
func (s *Spreader) Run(ctx context.Context) error {
	s.running.Go(func() { s.applyLoop(ctx) })
	s.loop(ctx)
	s.stopWatch()
	s.running.Wait()
	s.client.close()
	return nil
}

// loop runs the state machine; no other goroutine may use it.
func (s *Spreader) loop(ctx context.Context) {
	ticker := time.NewTicker(s.options.Tick)
	defer ticker.Stop()
	s.step(ctx, s.tick)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.step(ctx, s.tick)
		case input := <-s.inputs:
			s.step(ctx, input)
		}
	}
}

func (s *Spreader) step(ctx context.Context, input func(time.Time) []action) {
	actions := input(time.Now())
	status := s.machine.status(time.Now())
	s.status.Store(&status)
	for _, a := range actions {
		s.perform(ctx, a)
	}
}

func (s *Spreader) tick(now time.Time) []action {
	var contact time.Time
	if s.options.Store != nil {
		contact = s.options.Store.LastContact()
	}
	return s.machine.tick(now, s.options.Peers(), contact)
}

// tryEnqueue queues an input and drops it if the queue is full; the periodic
// queries make up for dropped inputs.
func (s *Spreader) tryEnqueue(input func(time.Time) []action) {
	select {
	case s.inputs <- input:
	default:
	}
}

// enqueue queues an input, and blocks while the queue is full.
func (s *Spreader) enqueue(ctx context.Context, input func(time.Time) []action) {
	select {
	case s.inputs <- input:
	case <-ctx.Done():
	}
}
