// Package handoff decides whether a request that its agent cannot start is handed
// off to a sibling, an agent of the same service, and to which one. It performs no
// I/O; the time and random numbers are passed in.
//
// A request is handed off at most once. The number of hand-offs is limited to a
// share of the requests received, so that they cannot amplify an overload. Only an
// agent whose own backend server accepts no requests may exceed the limit, because
// its hand-offs replace attempts at its own backend server.
package handoff

import "time"

const (
	// MaxHops is the number of times that a request may be handed off.
	MaxHops = 1
	// budgetPerRequest is the part of a hand-off that each received request adds to the
	// budget.
	budgetPerRequest = 0.2
	// budgetBurst is the maximum of the budget.
	budgetBurst = 20.0
	// initialBackoff is how long a sibling is not chosen after a refusal.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff bounds the backoff, which doubles with each consecutive refusal.
	maxBackoff = 2 * time.Second
	// freeSlotsTTL is how long a sibling's reported number of free slots is used.
	freeSlotsTTL = time.Second
	// drainingWeight is the weight of a sibling that accepts no new requests.
	drainingWeight = 0
)

// Peer is a sibling that a request may be handed off to.
type Peer struct {
	// Name is the name of its backend server.
	Name string
	// Weight is its announced weight; with zero it accepts no new requests.
	Weight uint16
}

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Picker chooses siblings. It holds the hand-off budget and the state of each
// sibling. It is not safe for concurrent use.
type Picker struct {
	budget   float64
	siblings map[string]*peerState
}

type peerState struct {
	refusals     int
	backoffUntil time.Time
	freeSlots    int
	reportedAt   time.Time
}

// NewPicker returns a picker with a full budget.
func NewPicker() *Picker {
	return &Picker{budget: budgetBurst, siblings: make(map[string]*peerState)}
}

// RecordRequest adds to the budget for a request received from a caller.
func (p *Picker) RecordRequest() {
	p.budget = min(p.budget+budgetPerRequest, budgetBurst)
}

// Choose returns the sibling to hand a request off to, the better of two chosen at
// random, or false if there is none or the budget is used up. The budget does not
// apply if ownAvailable is false, that is if the agent's own backend server accepts
// no requests.
func (p *Picker) Choose(peers []Peer, ownAvailable bool, now time.Time, random Random) (Peer, bool) {
	if ownAvailable && p.budget < 1 {
		return Peer{}, false
	}
	eligible := p.eligible(peers, now)
	if len(eligible) == 0 {
		return Peer{}, false
	}
	p.budget = max(p.budget-1, 0)
	first := random(len(eligible))
	if len(eligible) == 1 {
		return eligible[first], true
	}
	second := random(len(eligible) - 1)
	if second >= first {
		second++
	}
	return p.better(eligible[first], eligible[second], now), true
}

func (p *Picker) eligible(peers []Peer, now time.Time) []Peer {
	eligible := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		state := p.siblings[peer.Name]
		blocked := state != nil && now.Before(state.backoffUntil)
		if peer.Weight != drainingWeight && !blocked {
			eligible = append(eligible, peer)
		}
	}
	return eligible
}

// better returns the sibling with more free slots, or the one with the larger weight
// if the numbers of free slots are equal or not both known.
func (p *Picker) better(a, b Peer, now time.Time) Peer {
	freeA, knownA := p.freeSlots(a.Name, now)
	freeB, knownB := p.freeSlots(b.Name, now)
	switch {
	case knownA && knownB && freeA != freeB:
		if freeA > freeB {
			return a
		}
		return b
	case b.Weight > a.Weight:
		return b
	default:
		return a
	}
}

func (p *Picker) freeSlots(name string, now time.Time) (int, bool) {
	state := p.siblings[name]
	if state == nil || now.Sub(state.reportedAt) > freeSlotsTTL {
		return 0, false
	}
	return state.freeSlots, true
}

// RecordAccepted records that a sibling accepted a request and reported its number
// of free slots.
func (p *Picker) RecordAccepted(name string, freeSlots int, now time.Time) {
	state := p.state(name)
	state.refusals = 0
	state.backoffUntil = time.Time{}
	state.freeSlots = freeSlots
	state.reportedAt = now
}

// RecordRefused records that a sibling refused a request or could not be reached.
func (p *Picker) RecordRefused(name string, now time.Time) {
	state := p.state(name)
	backoff := min(initialBackoff<<min(state.refusals, 10), maxBackoff)
	state.refusals++
	state.backoffUntil = now.Add(backoff)
	state.freeSlots = 0
	state.reportedAt = now
}

// Retain removes the state of all siblings other than the given ones.
func (p *Picker) Retain(peers []Peer) {
	if len(p.siblings) <= len(peers) {
		return
	}
	present := make(map[string]bool, len(peers))
	for _, peer := range peers {
		present[peer.Name] = true
	}
	for name := range p.siblings {
		if !present[name] {
			delete(p.siblings, name)
		}
	}
}

func (p *Picker) state(name string) *peerState {
	state := p.siblings[name]
	if state == nil {
		state = &peerState{}
		p.siblings[name] = state
	}
	return state
}
