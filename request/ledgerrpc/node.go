// Package ledgerrpc connects the ledgers of the agents of a service: it handles
// claims from peers and sends claims to the replicas of a key.
package ledgerrpc

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

const (
	// updateInterval is the interval between two updates of the members.
	updateInterval = 100 * time.Millisecond
	// minBackfillInterval and maxBackfillInterval limit the time between two
	// attempts to copy the entries of the peers.
	minBackfillInterval = 200 * time.Millisecond
	maxBackfillInterval = 10 * time.Second
	// callTimeout limits one call to a replica.
	callTimeout = 400 * time.Millisecond
	// exportTimeout limits the transfer of all entries of a peer.
	exportTimeout = 5 * time.Second
	// maxIdleConnsPerPeer is the maximum number of idle connections to a peer.
	maxIdleConnsPerPeer = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Peer is another agent of the service.
type Peer struct {
	// Name is the name of its backend server.
	Name string
	// Control is its control address, host:port.
	Control string
	// Draining is true if it has announced its shutdown.
	Draining bool
}

// Options configure a Node.
type Options struct {
	// Service is the name of the service.
	Service string
	// Self is the name of the agent's own backend server.
	Self string
	// PathPrefix is the path prefix of the RPC endpoints.
	PathPrefix string
	// Peers returns the agents that are alive, nil if they are not known yet.
	Peers func() []Peer
	// Now returns the current time; the default is time.Now.
	Now func() time.Time
}

// Node is the part of the ledger that runs on one agent. It is safe for
// concurrent use.
type Node struct {
	options Options
	client  *http.Client

	mu         sync.Mutex // guards the fields below
	membership *ledger.Membership
	replica    *ledger.Replica
	clients    map[string]ledgerpb.Ledger
	// addresses are the control addresses of the clients.
	addresses map[string]string
}

// New returns a node without members and entries.
func New(options Options) *Node {
	if options.Now == nil {
		options.Now = time.Now
	}
	membership := ledger.NewMembership(options.Self)
	return &Node{
		options: options,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerPeer,
			IdleConnTimeout:     idleTimeout,
		}},
		membership: membership,
		replica:    ledger.NewReplica(membership),
		clients:    make(map[string]ledgerpb.Ledger),
		addresses:  make(map[string]string),
	}
}

// Handler returns the HTTP handler for the calls of peers, under PathPrefix.
func (n *Node) Handler() http.Handler {
	return ledgerpb.NewLedgerServer(server{n}, twirp.WithServerPathPrefix(n.options.PathPrefix))
}

// Run keeps the members up to date and backfills the replica until ctx is done.
func (n *Node) Run(ctx context.Context) {
	update := time.NewTicker(updateInterval)
	defer update.Stop()
	interval := minBackfillInterval
	backfill := time.NewTimer(interval)
	defer backfill.Stop()
	defer n.client.CloseIdleConnections()
	n.update(n.options.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-update.C:
			n.update(n.options.Now())
			n.confirm(ctx)
		case <-backfill.C:
			n.backfill(ctx)
			interval = min(2*interval, maxBackfillInterval)
			if !n.Confirmed() {
				interval = minBackfillInterval
			}
			backfill.Reset(interval)
		}
	}
}

// update updates the members and the clients of the peers.
func (n *Node) update(now time.Time) {
	peers := n.options.Peers()
	if peers == nil {
		return
	}
	members := make([]ledger.Member, 0, len(peers))
	for _, p := range peers {
		members = append(members, ledger.Member{Name: p.Name, Draining: p.Draining})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.Update(members, now)
	for _, p := range peers {
		if p.Name != n.options.Self && n.addresses[p.Name] != p.Control {
			n.addresses[p.Name] = p.Control
			n.clients[p.Name] = n.newClient(p.Control)
		}
	}
}

func (n *Node) newClient(control string) ledgerpb.Ledger {
	return ledgerpb.NewLedgerProtobufClient("http://"+control, n.client, twirp.WithClientPathPrefix(n.options.PathPrefix))
}

func (n *Node) claimLocally(c ledger.Claim, now time.Time) ledger.Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Claim(c, now)
}

func (n *Node) releaseLocally(c ledger.Claim, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica.Release(c, now)
}

func (n *Node) completeLocally(c ledger.Claim, r ledger.Result, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.replica.Complete(c, r, now)
}

func (n *Node) members() (members []string, confirmed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Members(), n.membership.Confirmed()
}

func (n *Node) coverage() (ledger.Coverage, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Coverage()
}

func (n *Node) export(now time.Time) (ledger.Coverage, bool, []ledger.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	coverage, ok := n.replica.Coverage()
	return coverage, ok, n.replica.Export(now)
}

// keyReplica is one replica of a key; its client is nil for the agent itself.
type keyReplica struct {
	name   string
	client ledgerpb.Ledger
	self   bool
}

// replicasOf returns the replicas of a key and the number of grants that a claim
// needs.
func (n *Node) replicasOf(key string) ([]keyReplica, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var replicas []keyReplica
	for _, name := range n.membership.Replicas(key) {
		replicas = append(replicas, keyReplica{name: name, client: n.clients[name], self: name == n.options.Self})
	}
	return replicas, n.membership.Quorum(key)
}

// KeyCount returns the number of stored keys.
func (n *Node) KeyCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica.Len()
}

// MemberCount returns the number of members of the service.
func (n *Node) MemberCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.membership.Members())
}

// Confirmed reports whether the members have been merged with those that the
// peers report.
func (n *Node) Confirmed() bool {
	_, confirmed := n.members()
	return confirmed
}

// Backfilled reports whether the agent has copied the entries of its peers.
func (n *Node) Backfilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.membership.Backfilled()
}

// Refresh updates the members immediately.
func (n *Node) Refresh() {
	n.update(n.options.Now())
}
