// Package admission is the shell around the pure request packages: it takes
// callers' requests, asks the engine whether they may start, sends each to the
// backend server once and tells the caller the truth about the outcome.
package admission

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/backend"
	"bergamotbank/request/ledgerrpc"
	"bergamotbank/request/limit"
	"bergamotbank/request/queue"
)

const (
	// defaultSlots holds until SetLimits is called.
	defaultSlots = 1
	// defaultConnections holds until SetLimits is called.
	defaultConnections = 2000
	// defaultTimeout holds until SetLimits is called.
	defaultTimeout = 10 * time.Second
	// probePeriod is the period of health probes while a backend server that has
	// failed is not used.
	probePeriod = 25 * time.Millisecond
	// probeTimeout bounds one health probe.
	probeTimeout = 500 * time.Millisecond
	// healthPath is the path of the health endpoint of a backend server.
	healthPath = "/health"
	// drainPoll is the period of the check whether a drain has finished.
	drainPoll = 10 * time.Millisecond
)

// Sibling is another agent of the same service.
type Sibling struct {
	// Server is the name of its backend server.
	Server string
	// Control is its control address.
	Control netip.AddrPort
	// State is the announced state of its backend server.
	State limit.State
	// Weight is the announced weight, 0 to limit.FullWeight.
	Weight uint16
	// Room is how many further requests it is thought to take at once; 0 when not
	// known.
	Room int
}

// Options are the settings of a Gate.
type Options struct {
	// Service is the name of the service.
	Service string
	// Server is the name of the backend server.
	Server string
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Recorder takes the events for the time line.
	Recorder event.Recorder
	// Siblings returns the agents of the service that are alive. It returns nil
	// while that is not known yet, and an empty slice when there are none; keyed
	// requests are refused until it is known. The agent itself may be among them.
	// An agent that leaves by plan, also with its failure domain, has to be seen
	// as Draining before it vanishes: one that vanishes otherwise counts for the
	// majorities of the ledger as long as it may be alive behind a cut.
	Siblings func() []Sibling
	// DependencyHealthy tells whether every service that this one depends on has a
	// healthy backend server, or names one that has none. It may be nil.
	DependencyHealthy func() (missing string, ok bool)
	// OnState is told each change of the state and weight to announce. It must not
	// block. It may be nil.
	OnState func(state limit.State, weight uint16)
}

// Gate admits the requests of one backend server. It is an http.Handler for
// callers' requests. Run must be running for it to serve.
type Gate struct {
	options  Options
	engine   *engine
	client   *backend.Client
	buffers  sync.Pool
	requests atomic.Uint64
	timeout  atomic.Int64
	maxOpen  atomic.Int64
	relays   atomic.Int64
	draining atomic.Bool
	seen     atomic.Pointer[snapshot]
	counters counters
	picker   *picker
	keeper   *ledgerrpc.Node
	clock    func() time.Time
}

// New returns a gate. Until SetLimits is called it admits one request at a time.
func New(options Options) *Gate {
	return newGate(options, time.Now)
}

// newGate returns a gate whose ledger reads the time from clock.
func newGate(options Options, clock func() time.Time) *Gate {
	if options.Recorder == nil {
		options.Recorder = event.Discard{}
	}
	g := &Gate{
		options: options,
		clock:   clock,
		client:  backend.NewClient(options.Backend.String()),
	}
	g.buffers.New = func() any { return new([copyBufferSize]byte) }
	g.timeout.Store(int64(defaultTimeout))
	g.maxOpen.Store(defaultConnections)
	g.seen.Store(&snapshot{slots: defaultSlots, limit: 1})
	g.picker = newPicker()
	g.keeper = ledgerrpc.New(ledgerrpc.Options{
		Service:    options.Service,
		Self:       options.Server,
		PathPrefix: ledgerPrefix,
		Peers:      g.ledgerPeers,
		Now:        clock,
	})
	g.engine = newEngine(options, func(s snapshot) { g.seen.Store(&s) })
	return g
}

// SetLimits sets the slots and connections of the backend server and the timeout
// of a request. Values below one leave the former value.
func (g *Gate) SetLimits(slots, connections int, timeout time.Duration) {
	if timeout > 0 {
		g.timeout.Store(int64(timeout))
	}
	if connections > 0 {
		g.maxOpen.Store(int64(connections))
	}
	if slots < 1 {
		slots = g.seen.Load().slots
	}
	connections = int(g.maxOpen.Load())
	g.engine.post(engineEvent{kind: eventLimits, slots: slots, connections: connections})
}

// MarkCold takes the backend server for cold again: it begins with one request at a
// time, as after its failure domain was out.
func (g *Gate) MarkCold() {
	g.engine.post(engineEvent{kind: eventChill})
}

// Run runs the engine and its timers until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		g.engine.run(ctx)
		return nil
	})
	group.Go(func() error {
		g.probeHealth(ctx)
		return nil
	})
	group.Go(func() error {
		g.keeper.Run(ctx)
		return nil
	})
	return group.Wait()
}

// ledgerPeers returns the siblings as the ledger sees them.
func (g *Gate) ledgerPeers() []ledgerrpc.Peer {
	siblings := g.siblings()
	if siblings == nil {
		return nil
	}
	peers := make([]ledgerrpc.Peer, 0, len(siblings))
	for _, s := range siblings {
		peers = append(peers, ledgerrpc.Peer{
			Name:     s.Server,
			Control:  s.Control.String(),
			Draining: s.State == limit.Draining,
		})
	}
	return peers
}

// probeHealth asks the health endpoint of a backend server that has failed, as a
// hint whether it can be tried again.
func (g *Gate) probeHealth(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.seen.Load().paused {
			g.engine.post(engineEvent{kind: eventHint, well: g.well(ctx)})
		}
	}
}

// well tells whether the health endpoint answers and is not ill. A backend server
// without such an endpoint counts as well.
func (g *Gate) well(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.options.Backend.String()+healthPath, nil)
	if err != nil {
		return false
	}
	answer, err := g.client.Do(ctx, req, func() bool { return true })
	if err != nil {
		return false
	}
	defer answer.Close()
	return answer.Response.StatusCode < http.StatusInternalServerError
}

// Drain refuses new work and waits until every open request, stream and relayed
// connection has ended. It returns an error of the kind Partial when ctx ends
// first.
func (g *Gate) Drain(ctx context.Context) error {
	g.draining.Store(true)
	g.engine.post(engineEvent{kind: eventDrain})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		open := g.Open()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Partial, "drain ended with %d requests open", open)
		case <-ticker.C:
		}
	}
}

// Open returns the number of requests, streams and relayed connections that are
// open.
func (g *Gate) Open() int {
	return int(g.counters.open.Load() + g.relays.Load())
}

func (g *Gate) nextID() queue.ID {
	return queue.ID(g.requests.Add(1))
}
