package fabric

import "sync/atomic"

// Counters counts what became of packets.
type Counters struct {
	Forwarded   uint64 `json:"forwarded"`
	Malformed   uint64 `json:"malformed"`
	NoBalancer  uint64 `json:"no_balancer"`
	Unknown     uint64 `json:"unknown_destination"`
	Blocked     uint64 `json:"blocked"`
	Cut         uint64 `json:"cut"`
	Lost        uint64 `json:"lost"`
	Overflow    uint64 `json:"overflow"`
	Duplicated  uint64 `json:"duplicated"`
	Forked      uint64 `json:"forked"`
	WriteErrors uint64 `json:"write_errors"`
}

type counters struct {
	verdicts    [verdictCount]atomic.Uint64
	duplicated  atomic.Uint64
	forked      atomic.Uint64
	writeErrors atomic.Uint64
}

func (c *counters) add(v verdict) {
	c.verdicts[v].Add(1)
}

func (c *counters) snapshot() Counters {
	return Counters{
		Forwarded:   c.verdicts[verdictForward].Load(),
		Malformed:   c.verdicts[verdictMalformed].Load(),
		NoBalancer:  c.verdicts[verdictNoBalancer].Load(),
		Unknown:     c.verdicts[verdictUnknown].Load(),
		Blocked:     c.verdicts[verdictBlocked].Load(),
		Cut:         c.verdicts[verdictCut].Load(),
		Lost:        c.verdicts[verdictLost].Load(),
		Overflow:    c.verdicts[verdictOverflow].Load(),
		Duplicated:  c.duplicated.Load(),
		Forked:      c.forked.Load(),
		WriteErrors: c.writeErrors.Load(),
	}
}
