package server

import (
	"math/rand/v2"
	"sync"

	"bergamotbank/standin/fault"
)

// HealthOverride is a way in which the health endpoint misleads.
type HealthOverride string

// The ways in which the health endpoint misleads.
const (
	// HealthActual does not mislead.
	HealthActual HealthOverride = ""
	// HealthAlwaysWarm always says warm.
	HealthAlwaysWarm HealthOverride = "well"
	// HealthAlwaysCrashed always says that the server is not well.
	HealthAlwaysCrashed HealthOverride = "ill"
)

// Faults is the set of fault switches of a backend server. Its zero value means
// that nothing is faulty. Shares are from 0 to 1.
type Faults struct {
	// Cold makes the server cold again each time the number grows.
	Cold int `json:"cold"`
	// Drain refuses new work with 503 and lets open work end.
	Drain bool `json:"drain"`
	// Shed is the share of requests refused with 503 and Retry-After.
	Shed float64 `json:"shed"`
	// ResetBeforeRead is the share of connections reset before the request runs.
	ResetBeforeRead float64 `json:"reset_before_read"`
	// ResetAfterRead is the share reset after the run, before the first byte of
	// the answer.
	ResetAfterRead float64 `json:"reset_after_read"`
	// ResetMidResponse is the share reset in the middle of the answer.
	ResetMidResponse float64 `json:"reset_mid_answer"`
	// Fail is the share of requests that are answered 500 after the run.
	Fail float64 `json:"fail"`
	// Delay passes before each answer, after the run.
	Delay fault.Duration `json:"delay"`
	// ResetOnReuse resets a connection when a second request comes on it,
	// before it runs.
	ResetOnReuse bool `json:"reset_on_reuse"`
	// Health makes /health mislead.
	Health HealthOverride `json:"health"`
	// HealthLag makes /health and /load answer with what was true that long ago.
	HealthLag fault.Duration `json:"health_lag"`
	// LoadFactor multiplies what /load tells; 0 counts as 1.
	LoadFactor float64 `json:"load_factor"`
}

// dice draws shares and work times with a fixed seed. It is safe for concurrent
// use.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, seed))}
}

// hit draws with the given share.
func (d *dice) hit(share float64) bool {
	return share > 0 && d.draw() < share
}

// draw returns a number from 0 to 1.
func (d *dice) draw() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64()
}
