// Package handoff decides whether a request that its agent cannot start is handed
// to a sibling, and to which one. It is pure: time and randomness come from
// outside.
//
// A request is handed on at most once. Hand-offs are paid from a budget that is a
// share of the requests received, so that they cannot multiply an overload; only
// an agent whose own backend server takes nothing at all may exceed it, since
// its hand-offs take the place of its own tries.
package handoff

import "time"

const (
	// MaxHops is the number of times that a request may be handed on.
	MaxHops = 1
	// budgetShare is the part of a hand-off that each received request pays for.
	budgetShare = 0.2
	// budgetBurst is the largest number of hand-offs that can be saved up.
	budgetBurst = 20.0
	// refusalPenalty is how long a sibling that refused is left alone.
	refusalPenalty = 100 * time.Millisecond
	// maxPenalty bounds the time that a sibling is left alone after several
	// refusals in a row.
	maxPenalty = 2 * time.Second
	// roomFresh is how long a sibling's report of its room is believed.
	roomFresh = time.Second
	// draining is the weight of a sibling that takes no new work.
	draining = 0
)

// Peer is a sibling that a request may be handed to.
type Peer struct {
	// Name is the name of its backend server.
	Name string
	// Weight is its announced weight; zero takes no new work.
	Weight uint16
}

// Random returns a number from 0 to n-1.
type Random func(n int) int

// Picker holds the budget and what is known of the siblings. It is not safe for
// concurrent use.
type Picker struct {
	budget float64
	known  map[string]*peerState
}

type peerState struct {
	refusals     int
	blockedUntil time.Time
	room         int
	roomAt       time.Time
}

// NewPicker returns a picker with a full budget.
func NewPicker() *Picker {
	return &Picker{budget: budgetBurst, known: make(map[string]*peerState)}
}

// RecordRequest pays a share into the budget for a request received from a caller.
func (p *Picker) RecordRequest() {
	p.budget = min(p.budget+budgetShare, budgetBurst)
}

// Choose returns the sibling to hand a request to: the better of two chosen at
// random. It tells false when there is none or the budget is spent. An agent
// whose own backend server takes nothing sets own to false.
func (p *Picker) Choose(peers []Peer, own bool, now time.Time, random Random) (Peer, bool) {
	if own && p.budget < 1 {
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
		state := p.known[peer.Name]
		blocked := state != nil && now.Before(state.blockedUntil)
		if peer.Weight != draining && !blocked {
			eligible = append(eligible, peer)
		}
	}
	return eligible
}

// better prefers the sibling with more room as reported lately, then the one with
// the larger weight.
func (p *Picker) better(a, b Peer, now time.Time) Peer {
	roomA, knownA := p.room(a.Name, now)
	roomB, knownB := p.room(b.Name, now)
	switch {
	case knownA && knownB && roomA != roomB:
		if roomA > roomB {
			return a
		}
		return b
	case b.Weight > a.Weight:
		return b
	default:
		return a
	}
}

func (p *Picker) room(name string, now time.Time) (int, bool) {
	state := p.known[name]
	if state == nil || now.Sub(state.roomAt) > roomFresh {
		return 0, false
	}
	return state.room, true
}

// RecordAccepted notes that a sibling took a request and reported its room.
func (p *Picker) RecordAccepted(name string, room int, now time.Time) {
	state := p.state(name)
	state.refusals = 0
	state.blockedUntil = time.Time{}
	state.room = room
	state.roomAt = now
}

// RecordRefused notes that a sibling refused a request or could not be reached.
func (p *Picker) RecordRefused(name string, now time.Time) {
	state := p.state(name)
	penalty := min(refusalPenalty<<min(state.refusals, 10), maxPenalty)
	state.refusals++
	state.blockedUntil = now.Add(penalty)
	state.room = 0
	state.roomAt = now
}

// Retain forgets every sibling that is not among the given ones.
func (p *Picker) Retain(peers []Peer) {
	if len(p.known) <= len(peers) {
		return
	}
	present := make(map[string]bool, len(peers))
	for _, peer := range peers {
		present[peer.Name] = true
	}
	for name := range p.known {
		if !present[name] {
			delete(p.known, name)
		}
	}
}

func (p *Picker) state(name string) *peerState {
	state := p.known[name]
	if state == nil {
		state = &peerState{}
		p.known[name] = state
	}
	return state
}
