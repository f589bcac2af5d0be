package store

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"bergamotbank/standin/fault"
)

// Outage is a way in which the service is down.
type Outage string

// The ways of an outage.
const (
	// OutageNone is no outage.
	OutageNone Outage = ""
	// OutageRefuse resets the connection of each call.
	OutageRefuse Outage = "refuse"
	// OutageError answers 500 to each call.
	OutageError Outage = "error"
	// OutageSilent takes each call and never answers.
	OutageSilent Outage = "silent"
)

// Faults is the set of fault switches of the service. Its zero value means that
// nothing is faulty.
type Faults struct {
	Outage Outage `json:"outage"`
	// Delay passes before each call is handled.
	Delay fault.Duration `json:"delay"`
	// LostAnswers is the share of writes that take effect and whose connection
	// is then closed without an answer, from 0 to 1.
	LostAnswers float64 `json:"lost_answers"`
	// LostPrefix limits LostAnswers to keys with this prefix.
	LostPrefix string `json:"lost_prefix"`
	// StaleReads makes reads see the content as it was when this was set.
	StaleReads bool `json:"stale_reads"`
	// SilentWatch keeps watches open for good without an answer. Those that
	// waited while it was set stay silent after it is cleared.
	SilentWatch bool `json:"silent_watch"`
}

// dice draws shares with a fixed seed. It is safe for concurrent use.
type dice struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{random: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

// admit applies outage, slowness and the rate limits. It tells whether the call
// may go on and has ended the call otherwise.
func (h *handler) admit(w http.ResponseWriter, r *http.Request, kind callKind) bool {
	h.counters.calls[kind].Add(1)
	faults := h.faults.Get()
	if faults.Outage != OutageNone {
		h.counters.refused.Add(1)
		h.endInOutage(w, r, faults.Outage)
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

func (h *handler) endInOutage(w http.ResponseWriter, r *http.Request, outage Outage) {
	switch outage {
	case OutageError:
		http.Error(w, "outage", http.StatusInternalServerError)
	case OutageSilent:
		<-r.Context().Done()
	default:
		fault.Abort(w)
	}
}

// loseAnswer closes the connection of a write that took effect, if the fault
// switch says so, and tells whether it did.
func (h *handler) loseAnswer(w http.ResponseWriter, key string) bool {
	faults := h.faults.Get()
	if !strings.HasPrefix(key, faults.LostPrefix) || !h.dice.hit(faults.LostAnswers) {
		return false
	}
	h.counters.lost.Add(1)
	fault.Abort(w)
	return true
}
