package store

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"bergamotbank/standin/fault"
)

// Outage is a kind of simulated outage.
type Outage string

// The kinds of outages.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageReset resets the connection of each call.
	OutageReset Outage = "refuse"
	// OutageError responds with 500 to each call.
	OutageError Outage = "error"
	// OutageUnresponsive accepts each call and never responds.
	OutageUnresponsive Outage = "silent"
)

// Faults is the set of fault switches of the store. Its zero value means no
// faults.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay is the time before each call is handled.
	Delay fault.Duration `json:"delay"`
	// ResponseLossRate is the share of writes, from 0 to 1, that take effect and
	// whose connection is then reset without a response.
	ResponseLossRate float64 `json:"lost_answers"`
	// ResponseLossPrefix limits ResponseLossRate to keys with this prefix.
	ResponseLossPrefix string `json:"lost_prefix"`
	// StaleReads freezes the content that reads return.
	StaleReads bool `json:"stale_reads"`
	// StallWatches keeps watches open without a response. Watches that waited
	// while it was set remain stalled after it is cleared.
	StallWatches bool `json:"silent_watch"`
}

// faultSampler draws random faults from a fixed seed. It is safe for concurrent
// use.
type faultSampler struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newFaultSampler(seed uint64) *faultSampler {
	return &faultSampler{random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *faultSampler) sample(probability float64) bool {
	if probability <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64() < probability
}

// admit applies the outage, the delay and the rate limits. It reports whether the
// call may proceed; otherwise the call has been completed.
func (h *handler) admit(w http.ResponseWriter, r *http.Request, kind callKind) bool {
	h.counters.calls[kind].Add(1)
	faults := h.faults.Get()
	if faults.Outage != OutageNone {
		h.counters.refused.Add(1)
		h.failCall(w, r, faults.Outage)
		return false
	}
	if !fault.Sleep(r.Context(), faults.Delay.Std()) {
		return false
	}
	limit := h.readLimit
	if kind.writes() {
		limit = h.writeLimit
	}
	if !limit.Allow() {
		h.counters.limited.Add(1)
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return false
	}
	return true
}

func (h *handler) failCall(w http.ResponseWriter, r *http.Request, outage Outage) {
	switch outage {
	case OutageError:
		http.Error(w, "outage", http.StatusInternalServerError)
	case OutageUnresponsive:
		<-r.Context().Done()
	default:
		fault.Abort(w)
	}
}

// loseResponse resets the connection of a write that took effect if a lost response
// is to be simulated. It reports whether it did.
func (h *handler) loseResponse(w http.ResponseWriter, key string) bool {
	faults := h.faults.Get()
	if !strings.HasPrefix(key, faults.ResponseLossPrefix) || !h.sampler.sample(faults.ResponseLossRate) {
		return false
	}
	h.counters.lostResponses.Add(1)
	fault.Abort(w)
	return true
}
