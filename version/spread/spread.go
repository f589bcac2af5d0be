// Package spread brings each accepted configuration version to every process. A
// process never goes back to a lower version.
//
// Two processes of each failure domain, chosen by rendezvous hashing over the
// peers known to be alive, watch the store. All others learn from their peers:
// whoever learns a version tells a few random peers, and its leaves, and every
// process asks a random peer regularly. So a version reaches everyone once a
// single process has it, whether the store answers or not. Peers also tell how
// long ago anyone heard from the store; when that is too long, processes that do
// not watch it read it themselves, spread over time.
//
// A process that starts asks the store and several peers, and puts the highest
// version in force; it is ready once one of them knew what is current. The same
// holds after a pause. A process that reaches neither store nor peers keeps its
// version in force, records that, and shows it in its status; one that starts so
// has no version and is never ready.
//
// The decisions are those of machine, which does no I/O; Spreader carries its
// actions out.
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

// Peer is one process that takes part in spreading.
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
	// Store is the client of the store; nil makes the process a leaf, which
	// learns from Peers only.
	Store *store.Client
	// Peers returns the live processes to learn from; a leaf returns its homes.
	Peers func() []Peer
	// Recorder takes the events; nil drops them.
	Recorder event.Recorder
	// Apply puts a version in force. It is called from one goroutine, with
	// rising versions; versions that are overtaken are left out.
	Apply func(config.Snapshot)
	// Tick is the time between two rounds of regular work; 0 stands for
	// DefaultTick.
	Tick time.Duration
}

// DefaultTick is the time between two rounds of regular work.
const DefaultTick = 250 * time.Millisecond

// eventQueue is the number of events that wait for the machine.
const eventQueue = 256

// Spreader keeps one process at the latest version. It is safe for concurrent
// use.
type Spreader struct {
	options Options
	machine *machine
	client  *peerClient
	leaves  *leafTable

	// events carries functions to the goroutine that owns the machine.
	events  chan func(now time.Time) []action
	current atomic.Pointer[publish.Version]
	inForce atomic.Uint64
	state   atomic.Pointer[machineStatus]
	apply   chan publish.Version
	running sync.WaitGroup
	watch   context.CancelFunc
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
	s := &Spreader{
		options: options,
		machine: newMachine(machineOptions{
			self:   options.Self,
			leaf:   options.Store == nil,
			random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		client: newPeerClient(options.Self, options.Store == nil),
		leaves: newLeafTable(),
		events: make(chan func(time.Time) []action, eventQueue),
		apply:  make(chan publish.Version, 1),
	}
	s.current.Store(&publish.Version{})
	s.state.Store(&machineStatus{})
	return s
}

// Current returns the highest version learned, in force or about to be; its
// Version is 0 when there is none yet.
func (s *Spreader) Current() config.Snapshot {
	return s.current.Load().Snapshot()
}

// ActiveVersion returns the version that Apply has put in force last.
func (s *Spreader) ActiveVersion() uint64 {
	return s.inForce.Load()
}

// Ready tells whether the process has put a version in force after it heard
// from the store, or from a peer that had, and from several peers since its
// start.
func (s *Spreader) Ready() bool {
	return s.state.Load().synchronized && s.ActiveVersion() > 0
}

// ObserveVersion tells that a peer was seen at a version; a newer one is fetched. It does
// not block.
func (s *Spreader) ObserveVersion(version uint64, from Peer) {
	if version <= s.current.Load().Root.Version {
		return
	}
	s.offer(func(now time.Time) []action { return s.machine.hinted(now, from, version) })
}

// Handler returns the path prefix and handler of the twirp service.
func (s *Spreader) Handler() (pathPrefix string, handler http.Handler) {
	server := spreadpb.NewSpreadServer(&service{spreader: s})
	return server.PathPrefix(), server
}

// Run works until ctx ends and returns nil then.
func (s *Spreader) Run(ctx context.Context) error {
	s.running.Go(func() { s.applyLoop(ctx) })
	s.loop(ctx)
	s.stopWatch()
	s.running.Wait()
	s.client.close()
	return nil
}

// loop owns the machine.
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
		case input := <-s.events:
			s.step(ctx, input)
		}
	}
}

func (s *Spreader) step(ctx context.Context, input func(time.Time) []action) {
	actions := input(time.Now())
	status := s.machine.status(time.Now())
	s.state.Store(&status)
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

// offer queues an event and drops it when the queue is full; the regular
// exchange makes up for it.
func (s *Spreader) offer(input func(time.Time) []action) {
	select {
	case s.events <- input:
	default:
	}
}

// deliver queues an event and waits for room.
func (s *Spreader) deliver(ctx context.Context, input func(time.Time) []action) {
	select {
	case s.events <- input:
	case <-ctx.Done():
	}
}
