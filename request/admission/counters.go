package admission

import "sync/atomic"

type counters struct {
	open     atomic.Int64
	answered atomic.Uint64
	refused  atomic.Uint64
	unknown  atomic.Uint64
	aborted  atomic.Uint64
	streams  atomic.Int64
	// handedOff counts the requests handed off to a sibling.
	handedOff atomic.Uint64
	// replayed counts the retries answered from the ledger.
	replayed atomic.Uint64
}

// Counters are the totals of a Gate.
type Counters struct {
	// Open is the number of requests that are queued, running or streaming.
	Open int64 `json:"open"`
	// Streams is the number of open streams.
	Streams int64 `json:"streams"`
	// Relays is the number of relayed connections of a TCP service.
	Relays int64 `json:"relays"`
	// Answered is the number of complete responses.
	Answered uint64 `json:"answered"`
	// Refused is the number of requests refused without being run.
	Refused uint64 `json:"refused"`
	// Unknown is the number of requests with an unknown outcome.
	Unknown uint64 `json:"unknown"`
	// Aborted is the number of responses that were aborted after they had begun.
	Aborted uint64 `json:"cut"`
	// HandedOff is the number of requests handed off to a sibling.
	HandedOff uint64 `json:"handed_off"`
	// Replayed is the number of retries answered from the ledger.
	Replayed uint64 `json:"replayed"`
	// Keys is the number of idempotency keys stored.
	Keys int `json:"keys"`
	// Slots is the configured number of slots.
	Slots int `json:"slots"`
	// Limit is the current concurrency limit.
	Limit int `json:"limit"`
	// LimitResets is the number of times that the limit was reset to one.
	LimitResets uint64 `json:"falls"`
	// State is the state of the backend server.
	State string `json:"state"`
}

// Counters returns the current totals.
func (g *Gate) Counters() Counters {
	s := g.snapshot.Load()
	return Counters{
		Open:        g.counters.open.Load(),
		Streams:     g.counters.streams.Load(),
		Relays:      g.relays.Load(),
		Answered:    g.counters.answered.Load(),
		Refused:     g.counters.refused.Load(),
		Unknown:     g.counters.unknown.Load(),
		Aborted:     g.counters.aborted.Load(),
		HandedOff:   g.counters.handedOff.Load(),
		Replayed:    g.counters.replayed.Load(),
		Keys:        g.ledgerNode.KeyCount(),
		Slots:       s.slots,
		Limit:       s.limit,
		LimitResets: s.limitResets,
		State:       s.state.String(),
	}
}
