package relay

import "sync/atomic"

// Counters counts what the relay did over all pairs.
type Counters struct {
	Datagrams   uint64 `json:"datagrams"`
	Dropped     uint64 `json:"dropped"`
	Bytes       uint64 `json:"bytes"`
	Connections uint64 `json:"connections"`
	// Silenced is the number of connections and UDP pairs that went silent.
	Silenced uint64 `json:"silenced"`
}

type counters struct {
	datagrams, dropped, bytes, connections, silenced atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Datagrams:   c.datagrams.Load(),
		Dropped:     c.dropped.Load(),
		Bytes:       c.bytes.Load(),
		Connections: c.connections.Load(),
		Silenced:    c.silenced.Load(),
	}
}
