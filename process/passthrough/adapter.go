// Package passthrough runs the two roles of a deployment whose flows pass through
// unchanged: the balancer on an entry VM and the agent beside a backend server.
package passthrough

import (
	"context"
	"net/http"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/version/routes"
)

// Item is an entry of the store.
type Item struct {
	// Key is the name of the entry.
	Key string
	// Value is what was written.
	Value []byte
	// Revision is the store's revision of the last change.
	Revision uint64
	// Deleted marks an event that tells of a deletion.
	Deleted bool
}

// MaxTxnEntries is the number of entries that one call to the store may compare or
// write.
const MaxTxnEntries = 32

// Store is the platform's key-value service. The errors have kind NotFound for a
// lease that has ended, Conflict for history that is no longer kept,
// StoreUnavailable and OutcomeUnknown.
type Store interface {
	// List returns all entries below a prefix and a revision that they hold at.
	// With stale the entries may be seconds old, at a tenth of the price.
	List(ctx context.Context, prefix string, stale bool) (items []Item, revision uint64, err error)
	// Watch waits until entries below a prefix change after a revision.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (events []Item, revision uint64, err error)
	// Unchanged tells whether every entry still has its revision; 0 means that it
	// does not exist. At most MaxEntries entries can be asked for.
	Unchanged(ctx context.Context, entries []Item) (bool, error)
	// Grant asks for a lease.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	// Renew prolongs a lease.
	Renew(ctx context.Context, lease uint64) error
	// Put writes all of the entries or none, at most MaxEntries. They live as long as
	// the lease.
	Put(ctx context.Context, entries []Item, lease uint64) error
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
	// ID is the identity of the server, which it may keep over restarts.
	ID string
	// Service and Domain tell whom it serves and where.
	Service, Domain string
	// State is its own judgement.
	State BackendState
	// Slots is the number of requests that it works on at once.
	Slots int
	// ColdRemaining is how long it will stay cold.
	ColdRemaining time.Duration
	// Sequence rises with each heartbeat of one start.
	Sequence uint64
	// StartedAt is the time of its start by its own clock.
	StartedAt time.Time
}

// HeartbeatReceiver takes the heartbeats of the backend server beside an agent. When
// Report returns, the decision on new flows follows the report.
type HeartbeatReceiver interface {
	Heartbeat(report BackendHeartbeat)
	Deregister(id string)
	// Malformed counts and logs a heartbeat that could not be read.
	Malformed(err error)
}

// Adapter translates between the roles and the platform that they run on.
type Adapter struct {
	// Format is the packet format of callers and backend servers.
	Format passthrough.Format
	// Store is the platform's key-value service.
	Store Store
	// ConfigPrefix is where operators write.
	ConfigPrefix string
	// ConfigKeys lists the entries that operators may write for the given failure
	// domains.
	ConfigKeys func(domains []string) []string
	// Decode reads what operators have written. The error has kind InvalidConfig.
	Decode func(items []Item) (*routes.Version, error)
	// Readiness answers the fabric's question for readiness.
	Readiness func(ready func() bool) http.Handler
	// Heartbeats takes heartbeats of backend servers.
	Heartbeats func(reports HeartbeatReceiver) http.Handler
}
