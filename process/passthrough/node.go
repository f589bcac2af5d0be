package passthrough

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/process/duty"
	"bergamotbank/process/metrics"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/version/routes"
)

const (
	// tickInterval is the pace of heartbeats, registrations and judgements.
	tickInterval = 50 * time.Millisecond
	// watchersPerDomain is the number of processes of a failure domain that follow
	// the store; the others hear of changes in heartbeats.
	watchersPerDomain = 2
	// watchGrace is how long after its start a process that has a version does not
	// follow the store: all that start together would, and each watch is a priced
	// call. Members and the comparison of versions tell of changes meanwhile.
	watchGrace = 1500 * time.Millisecond
	// sweepInterval is the pace of forgetting flows.
	sweepInterval = time.Second
	// headerTimeout and idleTimeout bound the connections of the HTTP servers.
	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
)

// node holds what both roles share: the socket between processes, the members,
// the orders and the directory.
type node struct {
	settings  settings.Settings
	reload    Reload
	adapter   Adapter
	store     *measuredStore
	logger    *zap.Logger
	clock     clock
	run       uint64
	role      roster.Role
	peer      *datagram.Conn
	orders    *orders
	directory *directory

	// mu guards everything below and what the role adds.
	mu      sync.Mutex
	sender  *sender
	roster  *roster.Roster
	version *routes.Version
	// heartbeat is the interval of the backend server's heartbeats.
	heartbeat time.Duration
}

// newNode opens the peer socket. role describes the process for its heartbeats
// and is called with mu held.
func newNode(role roster.Role, s settings.Settings, logger *zap.Logger, adapter Adapter, reload Reload) (*node, error) {
	store := newMeasuredStore(adapter.Store)
	adapter.Store = store
	n := &node{role: role, settings: s, reload: reload, adapter: adapter, store: store, logger: logger, clock: newClock(), run: uint64(time.Now().UnixNano())}
	var err error
	if n.peer, err = listenDatagrams(s.Passthrough.Peer); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"passthrough.peer\"")
	}
	n.sender = newSender(n.peer)
	n.heartbeat = time.Duration(s.Passthrough.Heartbeat)
	n.directory = newDirectory(n)
	return n, nil
}

// nodeMetrics is what both roles publish of themselves.
type nodeMetrics struct {
	Revision       uint64  `json:"revision"`
	ConfirmedAgeMs float64 `json:"confirmed_age_ms"`
	Members        int     `json:"members"`
	Reachable      int     `json:"members_reachable"`
	Malformed      uint64  `json:"datagrams_malformed"`
	SendFailures   uint64  `json:"send_failures"`
	Stalls         uint64  `json:"own_stalls"`
}

// publish makes the metrics of both roles visible.
func (n *node) publish() {
	metrics.Publish("node", func() any { return n.metrics() })
	metrics.Publish("store", func() any { return n.store.metrics() })
}

func (n *node) metrics() nodeMetrics {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := nodeMetrics{
		Revision:       n.revision(),
		ConfirmedAgeMs: float64(n.orders.confirmedAge()) / float64(time.Millisecond),
		Malformed:      n.roster.Malformed(),
		SendFailures:   n.sender.failed,
		Stalls:         n.roster.Stalls(),
	}
	for _, status := range n.roster.Members() {
		m.Members++
		if status.Reachable {
			m.Reachable++
		}
	}
	return m
}

// revision returns the revision in force, 0 for none; it runs with mu held.
func (n *node) revision() uint64 {
	if n.version == nil {
		return 0
	}
	return n.version.Revision
}

// self returns the address of this process for its peers.
func (n *node) self() passthrough.Endpoint {
	return passthrough.EndpointOf(n.settings.Passthrough.Peer)
}

// greet adds an address to the members to be greeted.
func (n *node) greet(peer passthrough.Endpoint, role roster.Role) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Add(peer, role)
}

// greetSeeds adds the seeds, which name addresses of another port on the VMs of
// balancers; all VMs use the same ports.
func (n *node) greetSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		n.greet(passthrough.EndpointOf(seed).WithPort(n.settings.Passthrough.Peer.Port()), roster.Balancer)
	}
}

// member describes the process for its heartbeats.
func (n *node) member() roster.Member {
	m := roster.Member{Name: n.settings.Name, Domain: n.settings.Domain, Role: n.role, Peer: n.self(), Run: n.run}
	if n.version != nil {
		m.Version = n.version.Revision
		m.ConfirmedAge = n.orders.confirmedAge()
	}
	return m
}

// watches tells whether this process follows the store's changes: the first two
// balancers of each failure domain do, and every process of a domain where none
// can be reached. A process that has just started does not know its members yet.
func (n *node) watches() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clock.now() < watchGrace {
		return false
	}
	ahead := 0
	for _, status := range n.roster.Members() {
		if status.Role == roster.Balancer && status.Reachable && status.Domain == n.settings.Domain &&
			(n.role == roster.Agent || status.Name < n.settings.Name) {
			ahead++
		}
	}
	if n.role == roster.Agent {
		return ahead == 0
	}
	return ahead < watchersPerDomain
}

// announce sends a heartbeat to all members at once.
func (n *node) announce() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Announce(n.clock.now())
	n.sender.flush()
}

// handle calls each for every datagram of a batch, with mu held, and sends what
// comes of them.
func (n *node) handle(r *datagram.Reader, count int, each func(b []byte, now time.Duration)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.now()
	for i := range count {
		if b := r.Datagram(i); len(b) > 0 {
			each(b, now)
		}
	}
	n.roster.NotifyChanges()
	n.sender.flush()
}

// control handles a datagram between processes that carries no packet.
func (n *node) control(b []byte, now time.Duration) {
	switch passthrough.Kind(b[0]) {
	case passthrough.Hello:
		n.roster.HandleHeartbeat(b, now)
	case passthrough.CompactHeartbeat:
		n.roster.HandleCompactHeartbeat(b, now)
	case passthrough.Introduction:
		n.roster.HandleIntroduction(b)
	default:
	}
}

// logMember logs a change of what the process believes of a member.
func (n *node) logMember(m roster.Member, change string, silence time.Duration) {
	n.logger.Info("member "+change, zap.String("member", m.Name), zap.Stringer("peer", m.Peer), zap.String("domain", m.Domain),
		zap.Uint64("run", m.Run), zap.Duration("silence", silence))
}

// duties are what both roles do: fromPeers takes datagrams of other processes, work is
// what is due at a tick, ready answers the fabric's question for readiness.
func (n *node) duties(fromPeers func(*datagram.Reader, int), work func(now time.Duration), ready func() bool) []duty.Task {
	return []duty.Task{
		func(ctx context.Context) error { return receive(ctx, n.peer, fromPeers) },
		func(ctx context.Context) error { return n.tick(ctx, work) },
		n.orders.watch,
		n.orders.follow,
		n.orders.poll,
		n.directory.announce,
		n.directory.read,
		n.followSettings,
		n.serve(n.settings.Passthrough.Readiness, n.adapter.Readiness(ready)),
		n.serve(n.settings.Passthrough.Metrics, metricsHandler()),
	}
}

// tick calls work at the pace of tickInterval until ctx ends.
func (n *node) tick(ctx context.Context, work func(now time.Duration)) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.mu.Lock()
		now := n.clock.now()
		n.roster.Tick(now)
		work(now)
		n.sender.flush()
		n.mu.Unlock()
	}
}

// peerHandler serves other processes and operators. flows gives the open flows of an
// agent; nil for none.
func (n *node) peerHandler(flows http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+ConfigPath, n.orders)
	if flows != nil {
		mux.Handle("GET "+FlowsPath, flows)
	}
	return mux
}

// metricsHandler serves the metrics.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// serve returns a duty that serves HTTP at an address.
func (n *node) serve(addr netip.AddrPort, handler http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "listen at %s", addr)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); ctx.Err() == nil {
			return errkind.Wrap(err, errkind.Internal, "serve at %s", addr)
		}
		return nil
	}
}
