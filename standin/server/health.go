package server

import (
	"context"
	"net/http"
	"sync"
	"time"

	"bergamotbank/standin/fault"
)

const (
	// samplePeriod is the time between two samples of the load.
	samplePeriod = 50 * time.Millisecond
	// maxSamples bounds the samples kept and so the largest lag.
	maxSamples = 12000
)

// Load is what /health and /load tell.
type Load struct {
	State       State `json:"state"`
	Slots       int   `json:"slots"`
	Running     int   `json:"running"`
	Waiting     int   `json:"waiting"`
	Connections int64 `json:"connections"`
	Streams     int64 `json:"streams"`
}

// LoadSample is the true load of a backend server at a moment, as
// GET /fault/history returns it.
type LoadSample struct {
	At time.Time `json:"at"`
	Load
	// Peak is the largest number of requests since the sample before, with one
	// that made the server fall over or shed.
	Peak int `json:"peak"`
	// Capacity is the number of requests that may be inside in this state.
	Capacity int `json:"bears"`
}

// History is the answer of GET /fault/history.
type History struct {
	Server  string       `json:"server"`
	Service string       `json:"service"`
	Samples []LoadSample `json:"samples"`
}

// loadHistory keeps samples, so that the endpoints can lag.
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

// at returns the newest sample that is not younger than moment.
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

// sample keeps the load until ctx ends.
func (b *backend) sample(ctx context.Context) {
	for fault.Sleep(ctx, samplePeriod) {
		peak, bears := b.slots.takePeak()
		b.history.add(LoadSample{At: time.Now(), Load: b.currentLoad(), Peak: peak, Capacity: bears})
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

// toldLoad returns what the endpoints tell, after lag and misleading.
func (b *backend) toldLoad() Load {
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

// health answers 200 while the server is cold or warm and 503 while it drains or
// has fallen over.
func (b *backend) health(w http.ResponseWriter, _ *http.Request) {
	load := b.toldLoad()
	if load.State == StateDraining || load.State == StateCrashed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fault.WriteJSON(w, load)
}

// load answers with the load.
func (b *backend) load(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, b.toldLoad())
}

// serveHistory answers with the samples that are kept.
func (b *backend) serveHistory(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, History{
		Server:  b.command.Name,
		Service: b.command.Service,
		Samples: b.history.all(),
	})
}
