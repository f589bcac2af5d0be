package store

import (
	"sync/atomic"
	"time"
)

// Counters holds the numbers of calls by kind. A watch counts as one call however
// long it waits.
type Counters struct {
	Reads    uint64 `json:"reads"`
	Watches  uint64 `json:"watches"`
	Writes   uint64 `json:"writes"`
	Sessions uint64 `json:"sessions"`
	Txns     uint64 `json:"txns"`
	// Limited is the number of calls rejected with status 429.
	Limited uint64 `json:"limited"`
	// Refused is the number of calls that failed because of a simulated outage.
	Refused uint64 `json:"refused"`
	// LostResponses is the number of writes that took effect without a response.
	LostResponses uint64 `json:"lost"`
	// Conflicts is the number of writes whose condition did not hold.
	Conflicts uint64 `json:"conflicts"`
	// BytesIn and BytesOut are the sizes of values written and read.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
	// Waiting is the current number of waiting watches.
	Waiting int64 `json:"waiting"`
	// UptimeSeconds is the time since the start of the service.
	UptimeSeconds float64 `json:"uptime_seconds"`
}

type counters struct {
	started       time.Time
	calls         [callKindCount]atomic.Uint64
	limited       atomic.Uint64
	refused       atomic.Uint64
	lostResponses atomic.Uint64
	conflicts     atomic.Uint64
	bytesIn       atomic.Uint64
	bytesOut      atomic.Uint64
	waiting       atomic.Int64
}

func (c *counters) snapshot(now time.Time) Counters {
	return Counters{
		Reads:         c.calls[callRead].Load(),
		Watches:       c.calls[callWatch].Load(),
		Writes:        c.calls[callWrite].Load(),
		Sessions:      c.calls[callSession].Load(),
		Txns:          c.calls[callTxn].Load(),
		Limited:       c.limited.Load(),
		Refused:       c.refused.Load(),
		LostResponses: c.lostResponses.Load(),
		Conflicts:     c.conflicts.Load(),
		BytesIn:       c.bytesIn.Load(),
		BytesOut:      c.bytesOut.Load(),
		Waiting:       c.waiting.Load(),
		UptimeSeconds: now.Sub(c.started).Seconds(),
	}
}

// callKind is the kind of a call for the counters and the rate limits.
type callKind uint8

const (
	callRead callKind = iota
	callWatch
	callWrite
	callSession
	callTxn

	callKindCount
)

// writes reports whether the call counts towards the rate limit of writes.
func (k callKind) writes() bool {
	return k == callWrite || k == callSession || k == callTxn
}
