// Package ledgerrpc connects the ledgers of the agents of a service: it serves
// the claims of peers and makes claims at the homes of a key.
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
	// updatePeriod is the period at which the members are read.
	updatePeriod = 100 * time.Millisecond
	// minAdoptPause and maxAdoptPause bound the time between two attempts to learn
	// the keys of the peers.
	minAdoptPause = 200 * time.Millisecond
	maxAdoptPause = 10 * time.Second
	// callTimeout bounds one call to a home.
	callTimeout = 400 * time.Millisecond
	// exportTimeout bounds the transfer of all keys from a peer.
	exportTimeout = 5 * time.Second
	// idlePerPeer is the number of idle connections kept to a peer.
	idlePerPeer = 4
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// Peer is another agent of the service.
type Peer struct {
	// Name is the name of its backend server.
	Name string
	// Control is its control address, host:port.
	Control string
	// Draining tells that it has announced its end.
	Draining bool
}

// Options are the settings of a Keeper.
type Options struct {
	// Service is the name of the service.
	Service string
	// Self is the name of the agent's own backend server.
	Self string
	// PathPrefix is the prefix of the paths of the calls.
	PathPrefix string
	// Peers returns the agents that are alive, nil while they are not known.
	Peers func() []Peer
	// Now returns the time; time.Now when not given.
	Now func() time.Time
}

// Node holds the agent's part of the ledger. It is safe for concurrent use.
type Node struct {
	options Options
	client  *http.Client

	mu    sync.Mutex // guards the fields below
	ring  *ledger.Ring
	book  *ledger.Book
	peers map[string]ledgerpb.Ledger
	// addresses are those that peers was built from.
	addresses map[string]string
}

// New returns a keeper that knows nothing yet.
func New(options Options) *Node {
	if options.Now == nil {
		options.Now = time.Now
	}
	ring := ledger.NewRing(options.Self)
	return &Node{
		options: options,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idlePerPeer,
			IdleConnTimeout:     idleTimeout,
		}},
		ring:      ring,
		book:      ledger.NewBook(ring),
		peers:     make(map[string]ledgerpb.Ledger),
		addresses: make(map[string]string),
	}
}

// Handler returns the handler of the calls of peers, under the path prefix.
func (k *Node) Handler() http.Handler {
	return ledgerpb.NewLedgerServer(server{k}, twirp.WithServerPathPrefix(k.options.PathPrefix))
}

// Run follows the members and learns the keys of the peers until ctx ends.
func (k *Node) Run(ctx context.Context) {
	update := time.NewTicker(updatePeriod)
	defer update.Stop()
	pause := minAdoptPause
	adopt := time.NewTimer(pause)
	defer adopt.Stop()
	defer k.client.CloseIdleConnections()
	k.update(k.options.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-update.C:
			k.update(k.options.Now())
			k.confirm(ctx)
		case <-adopt.C:
			k.adopt(ctx)
			pause = min(2*pause, maxAdoptPause)
			if !k.Confirmed() {
				pause = minAdoptPause
			}
			adopt.Reset(pause)
		}
	}
}

// update reads the members.
func (k *Node) update(now time.Time) {
	peers := k.options.Peers()
	if peers == nil {
		return
	}
	members := make([]ledger.Member, 0, len(peers))
	for _, p := range peers {
		members = append(members, ledger.Member{Name: p.Name, Leaving: p.Draining})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring.Update(members, now)
	for _, p := range peers {
		if p.Name != k.options.Self && k.addresses[p.Name] != p.Control {
			k.addresses[p.Name] = p.Control
			k.peers[p.Name] = k.dial(p.Control)
		}
	}
}

func (k *Node) dial(control string) ledgerpb.Ledger {
	return ledgerpb.NewLedgerProtobufClient("http://"+control, k.client, twirp.WithClientPathPrefix(k.options.PathPrefix))
}

func (k *Node) claimLocally(c ledger.Claim, now time.Time) ledger.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Claim(c, now)
}

func (k *Node) releaseLocally(c ledger.Claim, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Release(c, now)
}

func (k *Node) completeLocally(c ledger.Claim, r ledger.Result, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Complete(c, r, now)
}

func (k *Node) members() (members []string, confirmed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ring.Members(), k.ring.Confirmed()
}

func (k *Node) statement() (ledger.Statement, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.VouchesSince()
}

func (k *Node) export(now time.Time) (ledger.Statement, bool, []ledger.Entry) {
	k.mu.Lock()
	defer k.mu.Unlock()
	statement, ok := k.book.VouchesSince()
	return statement, ok, k.book.Export(now)
}

// home is one home of a key; its client is nil for the agent itself.
type home struct {
	name   string
	client ledgerpb.Ledger
	self   bool
}

// homes returns the homes of a key and the number of grants that a claim needs.
func (k *Node) homes(key string) ([]home, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []home
	for _, name := range k.ring.Homes(key) {
		list = append(list, home{name: name, client: k.peers[name], self: name == k.options.Self})
	}
	return list, k.ring.Quorum(key)
}

// Keys returns the number of keys remembered.
func (k *Node) Keys() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Len()
}

// Members returns the number of members of the service as the ledger counts
// them.
func (k *Node) Members() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.ring.Members())
}

// Confirmed tells whether the agent counts the members as its peers do.
func (k *Node) Confirmed() bool {
	_, confirmed := k.members()
	return confirmed
}

// Backfilled tells whether the agent has learned the keys of its peers.
func (k *Node) Backfilled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ring.Adopted()
}

// Refresh reads the members at once.
func (k *Node) Refresh() {
	k.update(k.options.Now())
}
