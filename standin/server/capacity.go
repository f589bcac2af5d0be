package server

import "time"

// State is the state of a backend server.
type State string

// The states of a backend server.
const (
	// StateCold has a reduced capacity.
	StateCold State = "cold"
	// StateWarm has the full capacity.
	StateWarm State = "warm"
	// StateCrashed has crashed under overload and resets every request. Open
	// streams continue. The server restarts cold.
	StateCrashed State = "fallen"
	// StateDraining accepts no new requests.
	StateDraining State = "draining"
)

// Limits holds the capacity limits of a backend server.
type Limits struct {
	// Slots is the maximum number of requests that run concurrently when warm.
	Slots int
	// Queue is the maximum number of requests that wait when warm.
	Queue int
	// ColdSlots and ColdQueue are the same limits when cold.
	ColdSlots int
	ColdQueue int
	// ColdFor is how long the server stays cold.
	ColdFor time.Duration
	// CrashedFor is how long the server resets requests after a crash.
	CrashedFor time.Duration
	// ShedAbove is the number of running and waiting requests from which on the
	// server rejects new ones; 0 means that it never sheds load.
	ShedAbove int
}

// admission is the admission decision for a request.
type admission uint8

const (
	// admitRun starts the request.
	admitRun admission = iota
	// admitWait queues the request.
	admitWait
	// admitShed rejects the request.
	admitShed
	// admitCrash makes the server crash.
	admitCrash
	// admitReset resets the request because the server has crashed.
	admitReset
)

// capacity decides on the admission of requests. The time is passed in. It is not
// safe for concurrent use.
type capacity struct {
	limits       Limits
	coldUntil    time.Time
	crashedUntil time.Time
	running      int
	waiting      int
}

func newCapacity(limits Limits, now time.Time) *capacity {
	c := &capacity{limits: limits}
	c.markCold(now)
	return c
}

// markCold makes the server cold from now on.
func (c *capacity) markCold(now time.Time) {
	c.coldUntil = now.Add(c.limits.ColdFor)
}

// state returns the state, disregarding draining.
func (c *capacity) state(now time.Time) State {
	switch {
	case now.Before(c.crashedUntil):
		return StateCrashed
	case now.Before(c.coldUntil):
		return StateCold
	default:
		return StateWarm
	}
}

// admit decides on a new request.
func (c *capacity) admit(now time.Time) admission {
	state := c.state(now)
	if state == StateCrashed {
		return admitReset
	}
	if c.limits.ShedAbove > 0 && c.running+c.waiting >= c.limits.ShedAbove {
		return admitShed
	}
	slots, queue := c.limitsIn(state)
	switch {
	case c.running < slots && c.waiting == 0:
		c.running++
		return admitRun
	case c.waiting < queue:
		c.waiting++
		return admitWait
	default:
		c.crash(now)
		return admitCrash
	}
}

func (c *capacity) limitsIn(state State) (slots, queue int) {
	if state == StateCold {
		return c.limits.ColdSlots, c.limits.ColdQueue
	}
	return c.limits.Slots, c.limits.Queue
}

// crash drops all running and waiting requests. The server restarts cold.
func (c *capacity) crash(now time.Time) {
	c.crashedUntil = now.Add(c.limits.CrashedFor)
	c.coldUntil = c.crashedUntil.Add(c.limits.ColdFor)
	c.running = 0
	c.waiting = 0
}

// finish ends a running request and returns how many waiting requests start.
func (c *capacity) finish(now time.Time) int {
	c.running--
	slots, _ := c.limitsIn(c.state(now))
	starting := min(c.waiting, max(0, slots-c.running))
	c.waiting -= starting
	c.running += starting
	return starting
}

// cancelWaiting removes a waiting request.
func (c *capacity) cancelWaiting() {
	c.waiting--
}
