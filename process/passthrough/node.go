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
	"bergamotbank/process/metrics"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/process/taskgroup"
	"bergamotbank/version/routes"
)

const (
	// tickInterval is the resolution of heartbeats, flow registrations and failure
	// detection.
	tickInterval = 50 * time.Millisecond
	// watchersPerDomain is the number of processes of a failure domain that watch the
	// store; the others learn of changes from heartbeats.
	watchersPerDomain = 2
	// watchStartDelay is the time after its start for which a process that has a version
	// does not watch the store: otherwise all processes that start together would, and
	// each watch is a billed call. Meanwhile heartbeats and the periodic comparison with
	// the store reveal new versions.
	watchStartDelay = 1500 * time.Millisecond
	// sweepInterval is the time between removals of expired flows.
	sweepInterval = time.Second
	// headerTimeout and idleTimeout limit the connections of the HTTP servers.
	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
)

// node is the common part of balancer and agent: the peer socket, the members, the
// operator configuration and the directory.
type node struct {
	settings  settings.Settings
	reload    Reload
	adapter   Adapter
	store     *storeClient
	backoff   *storeBackoff
	logger    *zap.Logger
	clock     clock
	runID     uint64
	role      roster.Role
	peer      *datagram.Conn
	config    *configSync
	directory *directory
	// vmChecks holds an element for each check of a VM in progress.
	vmChecks chan struct{}

	// mu guards the fields below and those that Balancer and Agent add.
	mu      sync.Mutex
	sender  *sender
	roster  *roster.Roster
	version *routes.Version
	// heartbeatInterval is the interval of the backend server's heartbeats.
	heartbeatInterval time.Duration
}

// newNode opens the peer socket. The caller sets the configuration and the roster.
func newNode(role roster.Role, s settings.Settings, logger *zap.Logger, adapter Adapter, reload Reload) (*node, error) {
	n := &node{role: role, settings: s, reload: reload, logger: logger, clock: newClock(), runID: uint64(time.Now().UnixNano()), vmChecks: make(chan struct{}, maxVMChecks)}
	n.backoff = newStoreBackoff(n.clock, n.storeRetryDelays)
	n.store = newStoreClient(adapter.Store, n.backoff, logger)
	n.adapter = adapter
	var err error
	if n.peer, err = listenDatagrams(s.Passthrough.Peer); err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "field \"passthrough.peer\"")
	}
	n.sender = newSender(n.peer)
	n.heartbeatInterval = time.Duration(s.Passthrough.Heartbeat)
	n.directory = newDirectory(n)
	return n, nil
}

// nodeMetrics are the metrics that balancer and agent have in common.
type nodeMetrics struct {
	Era            uint64  `json:"era"`
	Revision       uint64  `json:"revision"`
	HeldEntries    int     `json:"held_entries"`
	ConfirmedAgeMs float64 `json:"confirmed_age_ms"`
	Members        int     `json:"members"`
	Reachable      int     `json:"members_reachable"`
	Malformed      uint64  `json:"datagrams_malformed"`
	SendFailures   uint64  `json:"send_failures"`
	Stalls         uint64  `json:"own_stalls"`
	Isolated       bool    `json:"isolated"`
	Unshared       uint64  `json:"suspicions_not_shared"`
}

// publishMetrics publishes the metrics that balancer and agent have in common.
func (n *node) publishMetrics() {
	metrics.Publish("node", func() any { return n.metrics() })
	metrics.Publish("store", func() any { return n.store.metrics() })
}

func (n *node) metrics() nodeMetrics {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := nodeMetrics{
		Era:            n.revision().Era,
		Revision:       n.revision().Index,
		HeldEntries:    n.config.heldEntries(),
		ConfirmedAgeMs: float64(n.config.confirmedAge()) / float64(time.Millisecond),
		Malformed:      n.roster.Malformed(),
		SendFailures:   n.sender.failed,
		Stalls:         n.roster.Stalls(),
		Isolated:       n.roster.Isolated(n.clock.now()),
		Unshared:       n.roster.UnsharedSuspicions(),
	}
	for status := range n.roster.Members() {
		m.Members++
		if status.Reachable {
			m.Reachable++
		}
	}
	return m
}

// revision returns the active revision, the zero value for none. The caller holds mu.
func (n *node) revision() routes.Revision {
	if n.version == nil {
		return routes.Revision{}
	}
	return n.version.Revision
}

// self returns the peer address that this process announces.
func (n *node) self() passthrough.Endpoint {
	return passthrough.EndpointOf(n.settings.Passthrough.AnnouncedPeer())
}

// addPeer adds an address to which heartbeats are sent.
func (n *node) addPeer(peer passthrough.Endpoint, role roster.Role) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Add(peer, role)
}

// updateDirectory passes a read of the directory to the roster.
func (n *node) updateDirectory(entries []roster.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.UpdateDirectory(entries, n.clock.now())
}

// addSeeds adds the peer addresses of the seeds. A seed is the control address of a
// balancer; its peer address is the same IP address with the port that this process
// announces, since all VMs use the same ports.
func (n *node) addSeeds(seeds []netip.AddrPort) {
	for _, seed := range seeds {
		n.addPeer(passthrough.EndpointOf(seed).WithPort(n.self().Port()), roster.Balancer)
	}
}

// member returns the description of the process for heartbeats. The caller holds mu.
func (n *node) member() roster.Member {
	m := roster.Member{Name: n.settings.Name, Domain: n.settings.Domain, Role: n.role, Peer: n.self(), Run: n.runID}
	if n.version != nil {
		m.Version, m.Held = n.version.Revision, n.version.Held
		m.ConfirmedAge = n.config.confirmedAge()
	}
	return m
}

// shouldWatch reports whether this process watches the store. The watchers of a failure
// domain are its first watchersPerDomain reachable balancers by name, or all its agents if
// it has no reachable balancer. A process that has just started does not watch, since it
// does not know the members yet.
func (n *node) shouldWatch() bool {
	if n.clock.now() < watchStartDelay {
		return false
	}
	return n.isProber() || (n.role == roster.Agent && n.balancersAhead() == 0)
}

// isProber reports whether this process probes a store that does not respond: the first
// watchersPerDomain reachable balancers of a failure domain do.
func (n *node) isProber() bool {
	return n.role == roster.Balancer && n.balancersAhead() < watchersPerDomain
}

// storeRetryDelays returns the limits of the delay between calls to a store that does not
// respond.
func (n *node) storeRetryDelays() retryDelays {
	switch {
	case n.isProber():
		return retryDelays{minRetryDelay, maxProbeDelay}
	case n.balancersAhead() == 0:
		return retryDelays{minRetryDelay, maxRetryDelay}
	}
	return retryDelays{minWokenDelay, maxWokenDelay}
}

// balancersAhead returns the number of reachable balancers of the own failure domain whose
// names precede that of this process; for an agent, all of them.
func (n *node) balancersAhead() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	ahead := 0
	for status := range n.roster.Members() {
		if status.Role == roster.Balancer && status.Reachable && status.Domain == n.settings.Domain &&
			(n.role == roster.Agent || status.Name < n.settings.Name) {
			ahead++
		}
	}
	return ahead
}

// noteNewerVersion handles a heartbeat of a member with a newer version.
func (n *node) noteNewerVersion(m roster.Member) {
	n.store.eras.observe(m.Version.Era)
	n.backoff.confirmed(m.ConfirmedAge)
	n.config.announced.add(m)
}

// noteConfirmed handles a heartbeat that confirms the active version.
func (n *node) noteConfirmed(age time.Duration) {
	n.backoff.confirmed(age)
	n.config.confirm(age)
}

// announce immediately sends a heartbeat to all members.
func (n *node) announce() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.roster.Announce(n.clock.now())
	n.sender.flush()
}

// handleBatch calls each for every datagram of a batch, with mu held, and sends the
// resulting datagrams.
func (n *node) handleBatch(r *datagram.Reader, count int, each func(b []byte, now time.Duration)) {
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

// handleControl handles a datagram between processes that carries no packet.
func (n *node) handleControl(b []byte, now time.Duration) {
	switch passthrough.Kind(b[0]) {
	case passthrough.Hello:
		n.roster.HandleHeartbeat(b, now)
	case passthrough.CompactHeartbeat:
		n.roster.HandleCompactHeartbeat(b, now)
	case passthrough.Introduction:
		n.roster.HandleIntroduction(b)
	case passthrough.Suspicion:
		n.roster.HandleSuspicion(b, now)
	case passthrough.ViewRequest:
		n.roster.HandleViewRequest(b)
	case passthrough.View:
		n.roster.HandleView(b)
	case passthrough.Marker:
		n.roster.HandleMarker(b, now)
	default:
	}
}

// tasks returns the tasks that balancer and agent have in common. handlePeers receives
// datagrams of other processes, onTick is called at each tick, and ready is the result of
// the readiness probe.
func (n *node) tasks(handlePeers func(*datagram.Reader, int), onTick func(now time.Duration), ready func() bool) []taskgroup.Task {
	return []taskgroup.Task{
		func(ctx context.Context) error { return receive(ctx, n.peer, handlePeers) },
		func(ctx context.Context) error { return n.tick(ctx, onTick) },
		n.config.watch,
		n.config.fetchNewer,
		n.config.poll,
		n.directory.maintainEntry,
		n.directory.poll,
		n.watchSettings,
		n.serve(n.settings.Passthrough.Readiness, n.adapter.Readiness(ready)),
		n.serve(n.settings.Passthrough.Metrics, metricsHandler()),
	}
}

// tick calls onTick every tickInterval until ctx is canceled.
func (n *node) tick(ctx context.Context, onTick func(now time.Duration)) error {
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
		onTick(now)
		n.sender.flush()
		n.mu.Unlock()
	}
}

// peerHandler returns the handler of requests from other processes and operators. flows
// serves the open flows of an agent; nil for none.
func (n *node) peerHandler(flows http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+ConfigPath, n.config)
	if flows != nil {
		mux.Handle("GET "+FlowsPath, flows)
	}
	return mux
}

// metricsHandler returns the handler that serves the metrics.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// serve returns a task that serves HTTP at an address.
func (n *node) serve(addr netip.AddrPort, handler http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", addr.String())
		if err != nil {
			return errkind.Wrap(err, errkind.InvalidSettings, "listen on %s", addr)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); ctx.Err() == nil {
			return errkind.Wrap(err, errkind.Internal, "serve on %s", addr)
		}
		return nil
	}
}
