package timeline

import (
	"sync"
	"time"
)

// counterBits is the number of low bits of a Stamp that hold the logical counter.
const counterBits = 16

// maxDrift is the maximum time by which the stamp of a message may be ahead of the
// local clock. A stamp further ahead is ignored, so that one wrong clock does not
// advance those of all processes.
const maxDrift = time.Minute

// Stamp is a timestamp of a hybrid logical clock: Unix milliseconds in the upper 48
// bits, a counter in the lower 16. The stamp of a cause is lower than that of its
// effect.
type Stamp uint64

// StampAt returns the lowest stamp with the given time.
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

// NewClock returns a clock that reads the physical time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Next returns a stamp greater than all stamps returned or observed before.
func (c *Clock) Next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, StampAt(c.now()))
	return c.last
}

// Stamp returns Next in the form used in messages.
func (c *Clock) Stamp() uint64 {
	return uint64(c.Next())
}

// Observe processes the stamp of a received message, so that later stamps are greater.
func (c *Clock) Observe(stamp uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if Stamp(stamp) > StampAt(c.now().Add(maxDrift)) {
		return
	}
	c.last = max(c.last, Stamp(stamp))
}
