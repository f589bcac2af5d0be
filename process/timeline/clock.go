package timeline

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a stamp that count events within one
// millisecond.
const counterBits = 16

// maxDrift is the largest time by which the stamp of a message may be ahead of
// the own clock; a stamp further ahead is not taken in.
const maxDrift = time.Minute

// Stamp is a hybrid logical clock reading: Unix milliseconds in the upper 48
// bits, a counter in the lower 16. A cause has a lower stamp than its effect.
type Stamp uint64

// StampAt returns the lowest stamp of a time.
func StampAt(t time.Time) Stamp {
	return Stamp(uint64(t.UnixMilli()) << counterBits)
}

// Time returns the physical part of the stamp.
func (s Stamp) Time() time.Time {
	return time.UnixMilli(int64(s >> counterBits))
}

// Counter returns the logical part of the stamp.
func (s Stamp) Counter() uint16 {
	return uint16(s)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over a source of physical time.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp above all stamps returned or observed before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, StampAt(c.now()))
	return c.last
}

// Stamp returns Next as the number that messages carry.
func (c *Clock) Stamp() uint64 {
	return uint64(c.Next())
}

// Observe takes in the stamp of a message, so that later stamps are above it.
func (c *Clock) Observe(stamp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Stamp(stamp) > StampAt(c.now().Add(maxDrift)) {
		return
	}
	c.last = max(c.last, Stamp(stamp))
}
