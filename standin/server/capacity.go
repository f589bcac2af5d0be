package server

import "time"

// State is the condition of a backend server.
type State string

// The states of a backend server.
const (
	// StateCold bears only a small load.
	StateCold State = "cold"
	// StateWarm bears as much as it has slots.
	StateWarm State = "warm"
	// StateCrashed has fallen over under load and resets every request. Open
	// streams go on. It comes back cold.
	StateCrashed State = "fallen"
	// StateDraining takes no new work.
	StateDraining State = "draining"
)

// Limits says what a backend server bears.
type Limits struct {
	// Slots is the number of requests that run at the same time when warm.
	Slots int
	// Queue is the number of requests that may wait when warm.
	Queue int
	// ColdSlots and ColdQueue are the same when cold.
	ColdSlots int
	ColdQueue int
	// ColdFor is how long the server stays cold.
	ColdFor time.Duration
	// CrashedFor is how long the server resets requests after it fell over.
	CrashedFor time.Duration
	// ShedAbove is the number of requests inside above which the server sheds
	// load by itself; 0 means that it never does.
	ShedAbove int
}

// admission tells what becomes of a request.
type admission uint8

const (
	// admitRun starts the request.
	admitRun admission = iota
	// admitWait puts the request into the queue.
	admitWait
	// admitShed refuses the request.
	admitShed
	// admitFall makes the server fall over.
	admitFall
	// admitReset finds the server fallen.
	admitReset
)

// capacity decides on requests. It takes the time from outside and is not safe
// for concurrent use.
type capacity struct {
	limits      Limits
	coldUntil   time.Time
	fallenUntil time.Time
	running     int
	waiting     int
}

func newCapacity(limits Limits, now time.Time) *capacity {
	c := &capacity{limits: limits}
	c.chill(now)
	return c
}

// chill makes the server cold from now on.
func (c *capacity) chill(now time.Time) {
	c.coldUntil = now.Add(c.limits.ColdFor)
}

// state returns the state, draining aside.
func (c *capacity) state(now time.Time) State {
	switch {
	case now.Before(c.fallenUntil):
		return StateCrashed
	case now.Before(c.coldUntil):
		return StateCold
	default:
		return StateWarm
	}
}

// arrive decides on a new request.
func (c *capacity) arrive(now time.Time) admission {
	state := c.state(now)
	if state == StateCrashed {
		return admitReset
	}
	if c.limits.ShedAbove > 0 && c.running+c.waiting >= c.limits.ShedAbove {
		return admitShed
	}
	slots, queue := c.room(state)
	switch {
	case c.running < slots && c.waiting == 0:
		c.running++
		return admitRun
	case c.waiting < queue:
		c.waiting++
		return admitWait
	default:
		c.fall(now)
		return admitFall
	}
}

func (c *capacity) room(state State) (slots, queue int) {
	if state == StateCold {
		return c.limits.ColdSlots, c.limits.ColdQueue
	}
	return c.limits.Slots, c.limits.Queue
}

// fall ends everything that runs or waits; the server comes back cold.
func (c *capacity) fall(now time.Time) {
	c.fallenUntil = now.Add(c.limits.CrashedFor)
	c.coldUntil = c.fallenUntil.Add(c.limits.ColdFor)
	c.running = 0
	c.waiting = 0
}

// finish ends a running request and returns how many waiting ones start.
func (c *capacity) finish(now time.Time) int {
	c.running--
	slots, _ := c.room(c.state(now))
	starting := min(c.waiting, max(0, slots-c.running))
	c.waiting -= starting
	c.running += starting
	return starting
}

// giveUp ends a waiting request.
func (c *capacity) giveUp() {
	c.waiting--
}
