// Package lifecycle decides what becomes of a request: Controller admits,
// queues, starts and refuses the requests of one backend server, and Request
// is the state machine of a single one. Both are pure: events and the time come
// from outside, actions are returned.
package lifecycle

import (
	"time"

	"bergamotbank/errkind"
	"bergamotbank/request/limit"
	"bergamotbank/request/queue"
)

const (
	// queuePerSlot is the number of waiting requests per slot.
	queuePerSlot = 8
	// drainGrace is the time in which requests that waited when a drain began may
	// still start.
	drainGrace = 2 * time.Second
)

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionStart lets the request start.
	ActionStart ActionKind = iota
	// ActionRefuse refuses the request, which was not run.
	ActionRefuse
	// ActionAnnounce tells the new state and weight of the backend server.
	ActionAnnounce
)

// Action is what the shell has to do.
type Action struct {
	// Kind tells which of the other fields apply.
	Kind ActionKind
	// ID is the request to start or refuse.
	ID queue.ID
	// Reason is the error kind of a refusal.
	Reason errkind.Kind
	// State is the state to announce.
	State limit.State
	// Weight is the weight to announce.
	Weight uint16
}

// Controller admits the requests of one backend server. It is not safe for
// concurrent use.
type Controller struct {
	limiter     *limit.Limiter
	waiting     *queue.Queue
	connections int
	open        int
	draining    bool
	drainUntil  time.Time

	state  limit.State
	weight uint16
}

// NewController returns a controller for a backend server that counts as cold.
func NewController(slots, connections int, now time.Time) *Controller {
	c := &Controller{
		limiter:     limit.New(slots, now),
		waiting:     queue.New(queuePerSlot * slots),
		connections: connections,
	}
	c.state = c.limiter.State()
	c.weight = c.limiter.Weight()
	return c
}

// Limiter returns the limiter, for reading.
func (c *Controller) Limiter() *limit.Limiter { return c.limiter }

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting.Len() }

// Full tells whether no further request can wait.
func (c *Controller) Full() bool { return c.waiting.Full() }

// Open returns the number of requests that wait, run or stream.
func (c *Controller) Open() int { return c.open }

// Room returns how many further requests could start at once.
func (c *Controller) Room(now time.Time) int {
	if c.draining || c.limiter.InBackoff(now) {
		return 0
	}
	return max(c.limiter.Limit()-c.limiter.InFlight()-c.waiting.Len(), 0)
}

// SetLimits changes the slots and the connection limit.
func (c *Controller) SetLimits(slots, connections int, now time.Time) []Action {
	c.limiter.SetSlots(slots)
	c.waiting.SetCapacity(queuePerSlot * slots)
	c.connections = connections
	return c.settle(now)
}

// Arrive takes a new request: it starts, waits or is refused.
func (c *Controller) Arrive(id queue.ID, deadline time.Time, now time.Time) []Action {
	reason, ok := c.admit(deadline, now)
	if !ok {
		return []Action{{Kind: ActionRefuse, ID: id, Reason: reason}}
	}
	c.open++
	c.waiting.Push(id, deadline)
	return c.settle(now)
}

// ArriveAtOnce takes a request that a sibling has handed on: it starts or is
// refused.
func (c *Controller) ArriveAtOnce(id queue.ID, deadline time.Time, now time.Time) []Action {
	if c.Room(now) == 0 {
		return []Action{{Kind: ActionRefuse, ID: id, Reason: errkind.Overloaded}}
	}
	return c.Arrive(id, deadline, now)
}

func (c *Controller) admit(deadline, now time.Time) (errkind.Kind, bool) {
	switch {
	case c.draining:
		return errkind.Draining, false
	case c.open >= c.connections || c.waiting.Full():
		return errkind.Overloaded, false
	case now.Add(c.expected(deadline)).After(deadline):
		return errkind.DeadlineTooClose, false
	}
	return 0, true
}

// expected returns the time from now to the end of a request that arrives with
// the given deadline.
func (c *Controller) expected(deadline time.Time) time.Duration {
	service := c.limiter.Latency()
	busy := c.limiter.InFlight() + c.waiting.Ahead(deadline) + 1 - c.limiter.Limit()
	if busy <= 0 {
		return c.limiter.LatencyBound()
	}
	wait := service * time.Duration(busy) / time.Duration(c.limiter.Limit())
	return wait + c.limiter.LatencyBound()
}

// Stream notes that a started request streams its answer: it gives its place
// back and stays open.
func (c *Controller) Stream(sample limit.Sample, now time.Time) []Action {
	c.limiter.Finish(sample, now)
	return c.settle(now)
}

// Finish ends a started request with its measurement.
func (c *Controller) Finish(sample limit.Sample, now time.Time) []Action {
	c.limiter.Finish(sample, now)
	c.open--
	return c.settle(now)
}

// FinishUnsent ends a started request that was never sent to the backend server.
func (c *Controller) FinishUnsent(now time.Time) []Action {
	c.limiter.Release()
	c.open--
	return c.settle(now)
}

// FinishStream ends a request that streamed. A cut by the backend server counts
// as a measurement.
func (c *Controller) FinishStream(sample limit.Sample, now time.Time) []Action {
	if sample.Outcome == limit.Reset {
		c.limiter.Observe(sample, now)
	}
	c.open--
	return c.settle(now)
}

// Cancel removes a waiting request, and tells whether it waited.
func (c *Controller) Cancel(id queue.ID, now time.Time) (bool, []Action) {
	if !c.waiting.Remove(id) {
		return false, nil
	}
	c.open--
	return true, c.settle(now)
}

// Drain refuses everything that arrives from now on. Requests that wait already
// may start for a short time more; then they are refused too.
func (c *Controller) Drain(now time.Time) []Action {
	if !c.draining {
		c.draining = true
		c.drainUntil = now.Add(drainGrace)
	}
	c.limiter.Drain()
	return c.settle(now)
}

// Chill takes the backend server for cold again.
func (c *Controller) Chill(now time.Time) []Action {
	c.limiter.MarkCold(now)
	return c.settle(now)
}

// Hint passes on what the health endpoint of the backend server tells.
func (c *Controller) Hint(well bool, now time.Time) []Action {
	c.limiter.UpdateHealth(well, now)
	return c.settle(now)
}

// Tick lets time pass.
func (c *Controller) Tick(now time.Time) []Action {
	c.limiter.Tick(now)
	return c.settle(now)
}

// settle starts what may start, refuses what cannot finish in time, and
// announces a changed state.
func (c *Controller) settle(now time.Time) []Action {
	var actions []Action
	for {
		entry, ok := c.waiting.Peek()
		if !ok {
			break
		}
		if reason, hopeless := c.hopeless(entry, now); hopeless {
			c.waiting.Pop()
			c.open--
			actions = append(actions, Action{Kind: ActionRefuse, ID: entry.ID, Reason: reason})
			continue
		}
		if !c.limiter.TryStart(now) {
			break
		}
		c.waiting.Pop()
		actions = append(actions, Action{Kind: ActionStart, ID: entry.ID})
	}
	return c.announce(actions)
}

func (c *Controller) hopeless(entry queue.Entry, now time.Time) (errkind.Kind, bool) {
	if c.draining && now.After(c.drainUntil) {
		return errkind.Draining, true
	}
	if now.Add(c.limiter.LatencyBound()).After(entry.Deadline) {
		return errkind.DeadlineTooClose, true
	}
	return 0, false
}

func (c *Controller) announce(actions []Action) []Action {
	state, weight := c.limiter.State(), c.limiter.Weight()
	if state == c.state && weight == c.weight {
		return actions
	}
	c.state, c.weight = state, weight
	return append(actions, Action{Kind: ActionAnnounce, State: state, Weight: weight})
}
