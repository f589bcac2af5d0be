package server

import (
	"math/rand/v2"
	"sync"

	"bergamotbank/standin/fault"
)

// HealthOverride determines how the health endpoint misreports the state.
type HealthOverride string

// The health overrides.
const (
	// HealthActual reports the actual state.
	HealthActual HealthOverride = ""
	// HealthAlwaysWarm always reports warm.
	HealthAlwaysWarm HealthOverride = "well"
	// HealthAlwaysCrashed always reports crashed.
	HealthAlwaysCrashed HealthOverride = "ill"
)

// Faults is the set of fault switches of a backend server. The zero value injects
// no fault. Shares are in the range 0 to 1.
type Faults struct {
	// Cold makes the server cold again each time the number increases.
	Cold int `json:"cold"`
	// Drain rejects new requests with 503 and lets running ones finish.
	Drain bool `json:"drain"`
	// Shed is the share of requests rejected with 503 and Retry-After.
	Shed float64 `json:"shed"`
	// ResetBeforeRead is the share of requests whose connection is reset before the
	// execution.
	ResetBeforeRead float64 `json:"reset_before_read"`
	// ResetAfterRead is the share reset after the execution, before the first byte
	// of the response.
	ResetAfterRead float64 `json:"reset_after_read"`
	// ResetMidResponse is the share reset in the middle of the response.
	ResetMidResponse float64 `json:"reset_mid_answer"`
	// Fail is the share of requests that get a 500 response after the execution.
	Fail float64 `json:"fail"`
	// Delay is the delay between the execution and the response.
	Delay fault.Duration `json:"delay"`
	// ResetOnReuse resets a connection when a second request arrives on it, before
	// the execution.
	ResetOnReuse bool `json:"reset_on_reuse"`
	// Health overrides the state that /health and /load report.
	Health HealthOverride `json:"health"`
	// HealthLag makes /health and /load report the load of that long ago.
	HealthLag fault.Duration `json:"health_lag"`
	// LoadFactor multiplies the reported numbers of requests; 0 means 1.
	LoadFactor float64 `json:"load_factor"`
}

// randomSource is a seeded source of random numbers. It is safe for concurrent use.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{rng: rand.New(rand.NewPCG(seed, seed))}
}

// chance returns true with the probability share.
func (r *randomSource) chance(share float64) bool {
	return share > 0 && r.uniform() < share
}

// uniform returns a random number in the range 0 to 1.
func (r *randomSource) uniform() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.Float64()
}
