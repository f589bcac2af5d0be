package admission

import "sync/atomic"

type counters struct {
	open     atomic.Int64
	answered atomic.Uint64
	refused  atomic.Uint64
	unknown  atomic.Uint64
	cut      atomic.Uint64
	streams  atomic.Int64
	// handedOff counts the requests given to a sibling.
	handedOff atomic.Uint64
	// replayed counts the repeats answered from the ledger.
	replayed atomic.Uint64
}

// Counters are the totals of a Gate.
type Counters struct {
	// Open is the number of requests that wait, run or stream.
	Open int64 `json:"open"`
	// Streams is the number of open streams.
	Streams int64 `json:"streams"`
	// Relays is the number of relayed connections of a tcp service.
	Relays int64 `json:"relays"`
	// Answered is the number of whole answers.
	Answered uint64 `json:"answered"`
	// Refused is the number of requests refused without having run.
	Refused uint64 `json:"refused"`
	// Unknown is the number of requests with an unknown outcome.
	Unknown uint64 `json:"unknown"`
	// Cut is the number of answers that broke off.
	Cut uint64 `json:"cut"`
	// HandedOff is the number of requests given to a sibling.
	HandedOff uint64 `json:"handed_off"`
	// Replayed is the number of repeats answered from the ledger.
	Replayed uint64 `json:"replayed"`
	// Keys is the number of idempotency keys remembered.
	Keys int `json:"keys"`
	// Slots is the configured number of slots.
	Slots int `json:"slots"`
	// Limit is the present concurrency limit.
	Limit int `json:"limit"`
	// Falls is how often the limit has fallen back to one.
	Falls uint64 `json:"falls"`
	// State is the state of the backend server.
	State string `json:"state"`
}

// Counters returns the totals at this moment.
func (g *Gate) Counters() Counters {
	s := g.seen.Load()
	return Counters{
		Open:      g.counters.open.Load(),
		Streams:   g.counters.streams.Load(),
		Relays:    g.relays.Load(),
		Answered:  g.counters.answered.Load(),
		Refused:   g.counters.refused.Load(),
		Unknown:   g.counters.unknown.Load(),
		Cut:       g.counters.cut.Load(),
		HandedOff: g.counters.handedOff.Load(),
		Replayed:  g.counters.replayed.Load(),
		Keys:      g.keeper.Keys(),
		Slots:     s.slots,
		Limit:     s.limit,
		Falls:     s.falls,
		State:     s.state.String(),
	}
}
