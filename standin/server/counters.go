package server

import "sync/atomic"

// Counters holds the counters of a backend server.
type Counters struct {
	Started  uint64 `json:"started"`
	Finished uint64 `json:"finished"`
	Canceled uint64 `json:"canceled"`
	Shed     uint64 `json:"shed"`
	Refused  uint64 `json:"refused_draining"`
	Resets   uint64 `json:"resets"`
	// CrashesCold and CrashesWarm count the crashes of the server in each state.
	CrashesCold uint64 `json:"falls_cold"`
	CrashesWarm uint64 `json:"falls_warm"`
	// PeakCold and PeakWarm are the largest numbers of running and waiting requests,
	// including one that made the server crash or shed load.
	PeakCold int64 `json:"peak_cold"`
	PeakWarm int64 `json:"peak_warm"`
	// Streams is the number of open status streams.
	Streams int64 `json:"streams"`
	// Connections is the number of open connections.
	Connections int64 `json:"connections"`
	// RefusedConnections counts the connections reset because of the limit.
	RefusedConnections uint64 `json:"refused_connections"`
}

type counters struct {
	started, finished, canceled atomic.Uint64
	shed, refused, resets       atomic.Uint64
	crashesCold, crashesWarm    atomic.Uint64
	peakCold, peakWarm          atomic.Int64
	streams, connections        atomic.Int64
	refusedConnections          atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Started:            c.started.Load(),
		Finished:           c.finished.Load(),
		Canceled:           c.canceled.Load(),
		Shed:               c.shed.Load(),
		Refused:            c.refused.Load(),
		Resets:             c.resets.Load(),
		CrashesCold:        c.crashesCold.Load(),
		CrashesWarm:        c.crashesWarm.Load(),
		PeakCold:           c.peakCold.Load(),
		PeakWarm:           c.peakWarm.Load(),
		Streams:            c.streams.Load(),
		Connections:        c.connections.Load(),
		RefusedConnections: c.refusedConnections.Load(),
	}
}

// observeLoad updates the peak load. Calls must be serialized.
func (c *counters) observeLoad(offered int, cold bool) {
	peak := &c.peakWarm
	if cold {
		peak = &c.peakCold
	}
	if int64(offered) > peak.Load() {
		peak.Store(int64(offered))
	}
}
