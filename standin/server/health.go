package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bergamotbank/standin/fault"
)

const (
	// sampleInterval is the interval between samples of the load.
	sampleInterval = 50 * time.Millisecond
	// maxSamples is the maximum number of samples kept. It limits the health lag.
	maxSamples = 12000
)

// Load is the load as reported by /health and /load.
type Load struct {
	State       State `json:"state"`
	Slots       int   `json:"slots"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Connections int64 `json:"connections"`
	Streams     int64 `json:"streams"`
}

// LoadSample is the actual load of a backend server at a point in time, as returned
// by GET /fault/history.
type LoadSample struct {
	At time.Time `json:"at"`
	Load
	// Peak is the largest number of running and waiting requests since the previous
	// sample, including one that made the server crash or shed load.
	Peak int `json:"peak"`
	// Capacity is the maximum number of running and waiting requests in this state.
	Capacity int `json:"bears"`
}

// History is the response of GET /fault/history.
type History struct {
	Server  string       `json:"server"`
	Service string       `json:"service"`
	Samples []LoadSample `json:"samples"`
}

// loadHistory keeps load samples for /fault/history and for the health lag.
type loadHistory struct {
	mu      sync.Mutex
	samples []LoadSample
}

func (h *loadHistory) add(sample LoadSample) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples = append(h.samples, sample)
	if len(h.samples) > maxSamples {
		h.samples = h.samples[1:]
	}
}

// at returns the load of the newest sample that is not later than moment.
func (h *loadHistory) at(moment time.Time) (Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].At.After(moment) {
			return h.samples[i].Load, true
		}
	}
	return Load{}, false
}

// all returns a copy of the samples.
func (h *loadHistory) all() []LoadSample {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]LoadSample{}, h.samples...)
}

// sampleLoad samples the load until ctx is canceled.
func (b *backend) sampleLoad(ctx context.Context) {
	for fault.Sleep(ctx, sampleInterval) {
		peak, capacity := b.slots.resetPeak()
		b.history.add(LoadSample{At: time.Now(), Load: b.currentLoad(), Peak: peak, Capacity: capacity})
	}
}

func (b *backend) currentLoad() Load {
	state, running, waiting := b.slots.load()
	if b.faults.Get().Drain {
		state = StateDraining
	}
	return Load{
		State:       state,
		Slots:       b.command.Slots,
		Running:     running,
		Waiting:     waiting,
		Connections: b.counts.connections.Load(),
		Streams:     b.counts.streams.Load(),
	}
}

// reportedLoad returns the load that the endpoints report, with lag and overrides
// applied.
func (b *backend) reportedLoad() Load {
	faults := b.faults.Get()
	load := b.currentLoad()
	if faults.HealthLag > 0 {
		if old, ok := b.history.at(time.Now().Add(-faults.HealthLag.Std())); ok {
			load = old
		}
	}
	if faults.LoadFactor > 0 {
		load.Running = int(float64(load.Running) * faults.LoadFactor)
		load.Waiting = int(float64(load.Waiting) * faults.LoadFactor)
	}
	switch faults.Health {
	case HealthAlwaysWarm:
		load.State = StateWarm
	case HealthAlwaysCrashed:
		load.State = StateCrashed
	case HealthActual:
	}
	return load
}

// serveHealth responds with 200 if the reported state is cold or warm, and with 503
// if it is draining or crashed.
func (b *backend) serveHealth(w http.ResponseWriter, _ *http.Request) {
	load := b.reportedLoad()
	if load.State == StateDraining || load.State == StateCrashed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fault.WriteJSON(w, load)
}

// serveLoad writes the reported load.
func (b *backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, b.reportedLoad())
}

// serveHistory writes the kept samples.
func (b *backend) serveHistory(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, History{
		Server:  b.command.Name,
		Service: b.command.Service,
		Samples: b.history.all(),
	})
}
