// Package link provides what the network simulators share: link impairments (delay,
// loss, duplication and reordering of packets) and the queue of delayed packets.
package link

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"bergamotbank/standin/fault"
)

// defaultReorderDelay is the additional delay of reordered packets if the link
// does not set one.
const defaultReorderDelay = 5 * time.Millisecond

// Link describes the network from one failure domain to another.
type Link struct {
	From string `toml:"from" json:"from"`
	To   string `toml:"to" json:"to"`
	// Both applies the link to the opposite direction too.
	Both bool `toml:"both" json:"both"`
	// Delay is the one-way delay.
	Delay fault.Duration `toml:"delay" json:"delay"`
	// Jitter is the largest random addition to Delay. It does not reorder packets
	// between two addresses.
	Jitter fault.Duration `toml:"variation" json:"variation"`
	// LossRate, DuplicateRate and ReorderRate are shares of packets from 0 to 1.
	LossRate      float64 `toml:"loss" json:"loss"`
	DuplicateRate float64 `toml:"duplicate" json:"duplicate"`
	ReorderRate   float64 `toml:"reorder" json:"reorder"`
	// ReorderDelay is the additional delay of reordered packets.
	ReorderDelay fault.Duration `toml:"reorder_delay" json:"reorder_delay"`
	// Cut drops every packet.
	Cut bool `toml:"cut" json:"cut"`
}

// Pair is a sender and a receiver.
type Pair struct {
	From netip.AddrPort `toml:"from" json:"from"`
	To   netip.AddrPort `toml:"to" json:"to"`
}

// Schedule computes the random delays of packets. It keeps the order of packets
// between two addresses, except for packets that are chosen for reordering. It is
// not safe for concurrent use.
type Schedule struct {
	random  *rand.Rand
	lastDue map[Pair]time.Time
}

// NewSchedule returns a schedule whose random source has the given seed.
func NewSchedule(seed uint64) *Schedule {
	return &Schedule{random: rand.New(rand.NewPCG(seed, seed+1)), lastDue: make(map[Pair]time.Time)}
}

// Sample returns true with the given probability.
func (s *Schedule) Sample(probability float64) bool {
	return probability > 0 && s.random.Float64() < probability
}

// Due returns the arrival time of a packet. The zero time means without delay.
func (s *Schedule) Due(link *Link, pair Pair, now time.Time) time.Time {
	if link.Delay == 0 && link.Jitter == 0 && link.ReorderRate == 0 {
		return time.Time{}
	}
	due := now.Add(link.Delay.Std())
	if link.Jitter > 0 {
		due = due.Add(time.Duration(s.random.Int64N(int64(link.Jitter))))
	}
	if s.Sample(link.ReorderRate) {
		return due.Add(reorderDelay(link))
	}
	if last := s.lastDue[pair]; due.Before(last) {
		due = last
	}
	s.lastDue[pair] = due
	return due
}

func reorderDelay(link *Link) time.Duration {
	if link.ReorderDelay > 0 {
		return link.ReorderDelay.Std()
	}
	return defaultReorderDelay
}
