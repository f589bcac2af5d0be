// Package link holds what the stand-ins for networks share: how packets on a link
// are delayed, lost, duplicated and reordered, and the queue of delayed packets.
package link

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotbank/standin/fault"
)

// defaultReorderDelay is the additional delay of packets that others overtake
// when the link does not say.
const defaultReorderDelay = 5 * time.Millisecond

// Link is the behaviour of the network from one failure domain to another.
type Link struct {
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Both makes the link hold in the other direction too.
	Both bool `toml:"both" json:"both"`
	// Delay is the one-way delay.
	Delay fault.Duration `toml:"delay" json:"delay"`
	// Variation is the largest addition to Delay. It does not change the order
	// of packets between two addresses.
	Variation fault.Duration `toml:"variation" json:"variation"`
	// Loss, Duplicate and Reorder are shares of packets from 0 to 1.
	Loss      float64 `toml:"loss" json:"loss"`
	Duplicate float64 `toml:"duplicate" json:"duplicate"`
	Reorder   float64 `toml:"reorder" json:"reorder"`
	// ReorderDelay is the additional delay of packets that others overtake.
	ReorderDelay fault.Duration `toml:"reorder_delay" json:"reorder_delay"`
	// Cut drops every packet.
	Cut bool `toml:"cut" json:"cut"`
}

// Pair is a sender and a receiver.
type Pair struct {
	From netip.AddrPort `toml:"from" json:"from"`
	To   netip.AddrPort `toml:"to" json:"to"`
}

// Schedule draws the delays of packets. It keeps the order of packets between
// two addresses but for those that are drawn for reordering. It is not safe for
// concurrent use.
type Schedule struct {
	random *rand.Rand
	last   map[Pair]time.Time
}

// NewSchedule returns a schedule that draws with the seed.
func NewSchedule(seed uint64) *Schedule {
	return &Schedule{random: rand.New(rand.NewPCG(seed, seed+1)), last: make(map[Pair]time.Time)}
}

// Hit draws with the given share.
func (s *Schedule) Hit(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// Due returns when a packet arrives. A zero time means at once.
func (s *Schedule) Due(link *Link, pair Pair, now time.Time) time.Time {
	if link.Delay == 0 && link.Variation == 0 && link.Reorder == 0 {
		return time.Time{}
	}
	due := now.Add(link.Delay.Std())
	if link.Variation > 0 {
		due = due.Add(time.Duration(s.random.Int64N(int64(link.Variation))))
	}
	if s.Hit(link.Reorder) {
		return due.Add(reorderDelay(link))
	}
	if last := s.last[pair]; due.Before(last) {
		due = last
	}
	s.last[pair] = due
	return due
}

func reorderDelay(link *Link) time.Duration {
	if link.ReorderDelay > 0 {
		return link.ReorderDelay.Std()
	}
	return defaultReorderDelay
}
