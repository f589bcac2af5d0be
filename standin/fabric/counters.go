package fabric

import "sync/atomic"

// Counters holds the numbers of packets by verdict.
type Counters struct {
	Forwarded          uint64 `json:"forwarded"`
	Malformed          uint64 `json:"malformed"`
	NoBalancer         uint64 `json:"no_balancer"`
	UnknownDestination uint64 `json:"unknown_destination"`
	Blocked            uint64 `json:"blocked"`
	Cut                uint64 `json:"cut"`
	Lost               uint64 `json:"lost"`
	Overflow           uint64 `json:"overflow"`
	Duplicated         uint64 `json:"duplicated"`
	Mirrored           uint64 `json:"forked"`
	WriteErrors        uint64 `json:"write_errors"`
}

type counters struct {
	verdicts    [verdictCount]atomic.Uint64
	duplicated  atomic.Uint64
	mirrored    atomic.Uint64
	writeErrors atomic.Uint64
}

func (c *counters) add(v verdict) {
	c.verdicts[v].Add(1)
}

func (c *counters) snapshot() Counters {
	return Counters{
		Forwarded:          c.verdicts[verdictForward].Load(),
		Malformed:          c.verdicts[verdictMalformed].Load(),
		NoBalancer:         c.verdicts[verdictNoBalancer].Load(),
		UnknownDestination: c.verdicts[verdictUnknownDestination].Load(),
		Blocked:            c.verdicts[verdictBlocked].Load(),
		Cut:                c.verdicts[verdictCut].Load(),
		Lost:               c.verdicts[verdictLost].Load(),
		Overflow:           c.verdicts[verdictOverflow].Load(),
		Duplicated:         c.duplicated.Load(),
		Mirrored:           c.mirrored.Load(),
		WriteErrors:        c.writeErrors.Load(),
	}
}
