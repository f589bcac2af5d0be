// Package admission implements the HTTP proxy and admission control in front of
// one backend server. It queues or refuses callers' requests, sends each at most
// once, to the backend server or to another agent, and reports to the caller
// whether a failed request was run. The decisions are made by the packages
// lifecycle, limit, queue, handoff and ledger, which perform no I/O.
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
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
)

const (
	// defaultSlots applies until SetLimits is called.
	defaultSlots = 1
	// defaultConnections applies until SetLimits is called.
	defaultConnections = 2000
	// defaultTimeout applies until SetLimits is called.
	defaultTimeout = 10 * time.Second
	// probeInterval is the interval between two health probes while requests to a
	// failed backend server are paused.
	probeInterval = 25 * time.Millisecond
	// probeTimeout bounds one health probe.
	probeTimeout = 500 * time.Millisecond
	// healthPath is the path of the health endpoint of a backend server.
	healthPath = "/health"
	// drainPollInterval is the interval between two checks whether a drain has
	// finished.
	drainPollInterval = 10 * time.Millisecond
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
	// FreeSlots is the estimated number of further requests that it can start
	// immediately, or 0 if not known.
	FreeSlots int
}

// Options are the settings of a Gate.
type Options struct {
	// Service is the name of the service.
	Service string
	// Server is the name of the backend server.
	Server string
	// Backend is the address of the backend server.
	Backend netip.AddrPort
	// Recorder records the events of the gate.
	Recorder event.Recorder
	// Siblings returns the live agents of the service, which may include the agent
	// itself. It returns nil while they are not known, and an empty slice if there
	// are none; keyed requests are refused until they are known.
	// An agent that shuts down gracefully, alone or with its failure domain, has to
	// be listed as Draining before it is removed. One that disappears otherwise
	// counts towards the ledger's quorum for as long as it may still be alive on the
	// other side of a network partition.
	Siblings func() []Sibling
	// DependencyHealthy reports whether every service that this one depends on has
	// a healthy backend server, and otherwise names one that has none. It may be
	// nil.
	DependencyHealthy func() (missing string, ok bool)
	// OnState is called when the announced state or weight changes. It must not
	// block. It may be nil.
	OnState func(state limit.State, weight uint16)
}

// Gate admits the requests of one backend server. It is an http.Handler for
// callers' requests, which are served only while Run is running.
type Gate struct {
	options    Options
	engine     *engine
	client     *backend.Client
	buffers    sync.Pool
	requests   atomic.Uint64
	timeout    atomic.Int64
	maxOpen    atomic.Int64
	relays     atomic.Int64
	draining   atomic.Bool
	snapshot   atomic.Pointer[snapshot]
	counters   counters
	picker     *picker
	ledgerNode *ledgerrpc.Node
	clock      func() time.Time
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
	g.snapshot.Store(&snapshot{slots: defaultSlots, limit: 1})
	g.picker = newPicker()
	g.ledgerNode = ledgerrpc.New(ledgerrpc.Options{
		Service:    options.Service,
		Self:       options.Server,
		PathPrefix: ledgerPrefix,
		Peers:      g.ledgerPeers,
		Now:        clock,
	})
	g.engine = newEngine(options, func(s snapshot) { g.snapshot.Store(&s) })
	return g
}

// SetLimits sets the slots and connections of the backend server and the timeout
// of a request. A value below one leaves the previous value unchanged.
func (g *Gate) SetLimits(slots, connections int, timeout time.Duration) {
	if timeout > 0 {
		g.timeout.Store(int64(timeout))
	}
	if connections > 0 {
		g.maxOpen.Store(int64(connections))
	}
	if slots < 1 {
		slots = g.snapshot.Load().slots
	}
	connections = int(g.maxOpen.Load())
	g.engine.post(engineEvent{kind: eventLimits, slots: slots, connections: connections})
}

// MarkCold treats the backend server as cold again, starting with one request at a
// time, as when its failure domain returns to service.
func (g *Gate) MarkCold() {
	g.engine.post(engineEvent{kind: eventMarkCold})
}

// Run runs the engine, the health probes and the ledger until ctx is done.
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
		g.ledgerNode.Run(ctx)
		return nil
	})
	return group.Wait()
}

// ledgerPeers returns the siblings as peers of the ledger, or nil while they are
// not known.
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

// probeHealth probes the health endpoint while requests to the backend server are
// paused. The result helps to decide when requests are sent to it again.
func (g *Gate) probeHealth(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.snapshot.Load().paused {
			g.engine.post(engineEvent{kind: eventHealth, healthy: g.probe(ctx)})
		}
	}
}

// probe reports whether the health endpoint responds with a status below 500. A
// backend server without such an endpoint counts as healthy.
func (g *Gate) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.options.Backend.String()+healthPath, nil)
	if err != nil {
		return false
	}
	response, err := g.client.Do(ctx, req, func() bool { return true })
	if err != nil {
		return false
	}
	defer response.Close()
	return response.Response.StatusCode < http.StatusInternalServerError
}

// Drain refuses new requests and waits until every open request, stream and
// relayed connection has ended. It returns an error of the kind Partial if ctx is
// done first.
func (g *Gate) Drain(ctx context.Context) error {
	g.draining.Store(true)
	g.engine.post(engineEvent{kind: eventDrain})
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		open := g.Open()
		if open == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.Partial, "drain ended with %d requests or connections open", open)
		case <-ticker.C:
		}
	}
}

// Open returns the number of open requests, streams and relayed connections.
func (g *Gate) Open() int {
	return int(g.counters.open.Load() + g.relays.Load())
}

func (g *Gate) nextID() lifecycle.ID {
	return lifecycle.ID(g.requests.Add(1))
}
