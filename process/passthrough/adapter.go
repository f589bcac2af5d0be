// Package passthrough implements the two roles of a deployment that forwards the packets
// of flows unchanged: the balancer on a VM of its own and the agent on the VM of a
// backend server.
package passthrough

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/version/routes"
)

// Item is an entry of the store.
type Item struct {
	// Key is the name of the entry.
	Key string
	// Value is the stored value.
	Value []byte
	// Revision is the revision of the store at which the entry last changed.
	routes.Revision
	// Lease is the lease with which the entry ends, 0 for none.
	Lease uint64
	// Deleted is true in a watch event that reports a deletion.
	Deleted bool
}

// MaxTxnEntries is the maximum number of entries that one call to the store may compare
// or write.
const MaxTxnEntries = 32

// Page is a part of the entries with a prefix, in the order of their keys.
type Page struct {
	Items []Item
	// Revision is the revision of the store when it read the entries.
	Revision routes.Revision
	// More is true if entries with greater keys follow.
	More bool
}

// Lease is a lease of the store, with which entries end.
type Lease struct {
	ID uint64
	// Duration is the duration that the store granted.
	Duration time.Duration
	// Era is the era in which the store granted the lease.
	Era uint64
}

// Store is the platform's key-value service. It may be restored from an older copy: what it
// acknowledged since is then lost, and the era of its responses is higher. Its errors have
// kind NotFound for a lease that has expired, Conflict for a watch from a revision whose
// history the store does not have, StoreUnavailable or OutcomeUnknown.
type Store interface {
	// List returns entries with a prefix and keys after the given one. A stale read may be
	// seconds old and costs a tenth of a consistent one.
	List(ctx context.Context, prefix, after string, stale bool) (Page, error)
	// Watch waits, at most for the given time, until entries with a prefix change after an
	// index of the store.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Item, revision routes.Revision, err error)
	// Unchanged reports whether every entry still has its index, and the era in which the
	// store compared them; 0 means that the entry does not exist. It takes at most
	// MaxTxnEntries entries.
	Unchanged(ctx context.Context, entries []Item) (unchanged bool, era uint64, err error)
	// Grant requests a lease.
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew renews a lease and returns the era in which the store did.
	Renew(ctx context.Context, lease uint64) (era uint64, err error)
	// Put writes at most MaxTxnEntries entries in one transaction and returns the era in
	// which the store did. The store deletes them when the lease expires.
	Put(ctx context.Context, entries []Item, lease uint64) (era uint64, err error)
	// Delete removes an entry.
	Delete(ctx context.Context, key string) error
}

// BackendState is the state that a backend server reports.
type BackendState uint8

// The states that a backend server reports.
const (
	BackendReady BackendState = iota + 1
	BackendDraining
)

// BackendHeartbeat is a heartbeat of a backend server.
type BackendHeartbeat struct {
	// ID identifies the server. It may stay the same across restarts.
	ID string
	// Service is the service of the server, Domain its failure domain.
	Service, Domain string
	// Address is the address at which the server receives packets.
	Address netip.AddrPort
	// State is the state that the server reports.
	State BackendState
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// ColdRemaining is the remaining time in the cold state, in which the server gets
	// few new flows.
	ColdRemaining time.Duration
	// Sequence increases with each heartbeat and starts over when the server restarts.
	Sequence uint64
	// StartedAt is the start time of the server by its own clock.
	StartedAt time.Time
}

// HeartbeatReceiver receives the heartbeats of an agent's backend server.
type HeartbeatReceiver interface {
	// Heartbeat applies a heartbeat: when it returns nil, decisions on new flows use it, or
	// a later one of the same server. Otherwise the heartbeat must not be confirmed. The
	// error has kind WrongService if it is not from the agent's backend server, or Conflict
	// if another server has replaced its sender.
	Heartbeat(heartbeat BackendHeartbeat) error
	// Deregister handles the announcement that the server is about to stop.
	Deregister(id string)
	// Malformed counts and logs a heartbeat that could not be parsed.
	Malformed(err error)
}

// Adapter connects the balancer and the agent to the platform that they run on.
type Adapter struct {
	// Format is the packet format of callers and backend servers.
	Format passthrough.Format
	// Store is the platform's key-value service.
	Store Store
	// ConfigPrefix is the key prefix of the operator configuration in the store.
	ConfigPrefix string
	// ConfigKey is the key of the entry whose versions operators number. The numbers increase
	// for good, also if the store was restored from an older copy.
	ConfigKey string
	// ConfigKeys returns the keys that operators may write for the given failure
	// domains.
	ConfigKeys func(domains []string) []string
	// Decode parses the operator configuration. The error has kind InvalidConfig.
	Decode func(items []Item) (*routes.Version, error)
	// Readiness returns the handler of the fabric's readiness probe.
	Readiness func(ready func() bool) http.Handler
	// Heartbeats returns the handler that receives the heartbeats of backend servers.
	Heartbeats func(receiver HeartbeatReceiver) http.Handler
}
