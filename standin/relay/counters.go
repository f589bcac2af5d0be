package relay

import "sync/atomic"

// Counters holds the totals of all pairs.
type Counters struct {
	Datagrams   uint64 `json:"datagrams"`
	Dropped     uint64 `json:"dropped"`
	Bytes       uint64 `json:"bytes"`
	Connections uint64 `json:"connections"`
	// Blackholed is the number of connections and UDP pairs that were blackholed.
	Blackholed uint64 `json:"silenced"`
}

type counters struct {
	datagrams, dropped, bytes, connections, blackholed atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Datagrams:   c.datagrams.Load(),
		Dropped:     c.dropped.Load(),
		Bytes:       c.bytes.Load(),
		Connections: c.connections.Load(),
		Blackholed:  c.blackholed.Load(),
	}
}
