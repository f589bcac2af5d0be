// Package lifecycle implements the state machines of requests: Controller admits,
// queues, starts and refuses the requests of one backend server, and Request is the
// state machine of a single request. Both perform no I/O: events and the time are
// passed in, and the resulting actions are returned.
package lifecycle

import (
	"time"

	"bergamotbank/errkind"
	"bergamotbank/queue"
	"bergamotbank/request/limit"
)

const (
	// queuePerSlot is the capacity of the queue per slot.
	queuePerSlot = 8
	// drainGrace is how long after the beginning of a drain queued requests may still
	// start.
	drainGrace = 2 * time.Second
)

// ID identifies a request.
type ID uint64

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionStart lets the request start.
	ActionStart ActionKind = iota
	// ActionRefuse refuses the request, which was not run.
	ActionRefuse
	// ActionAnnounce announces the new state and weight of the backend server.
	ActionAnnounce
)

// Action is a result of an event, to be carried out by the user of a Controller.
type Action struct {
	// Kind determines which of the other fields apply.
	Kind ActionKind
	// ID is the request to start or refuse.
	ID ID
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
	waiting     *queue.Queue[ID, time.Time]
	connections int
	open        int
	draining    bool
	drainUntil  time.Time

	announcedState  limit.State
	announcedWeight uint16
}

// NewController returns a controller for a backend server in the cold state.
func NewController(slots, connections int, now time.Time) *Controller {
	c := &Controller{
		limiter:     limit.New(slots, now),
		waiting:     queue.New[ID](queuePerSlot*slots, time.Time.Compare),
		connections: connections,
	}
	c.announcedState = c.limiter.State()
	c.announcedWeight = c.limiter.Weight()
	return c
}

// Limiter returns the limiter, which must only be read.
func (c *Controller) Limiter() *limit.Limiter { return c.limiter }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int { return c.waiting.Len() }

// Full reports whether the queue is full.
func (c *Controller) Full() bool { return c.waiting.Full() }

// Open returns the number of requests that are queued, running or streaming.
func (c *Controller) Open() int { return c.open }

// FreeSlots returns the number of further requests that could start immediately.
func (c *Controller) FreeSlots(now time.Time) int {
	if c.draining || c.limiter.InBackoff(now) {
		return 0
	}
	return max(c.limiter.Limit()-c.limiter.InFlight()-c.waiting.Len(), 0)
}

// SetLimits sets the number of slots and the connection limit.
func (c *Controller) SetLimits(slots, connections int, now time.Time) []Action {
	c.limiter.SetSlots(slots)
	c.waiting.SetCapacity(queuePerSlot * slots)
	c.connections = connections
	return c.dispatch(now)
}

// Arrive handles a new request, which starts, is queued, or is refused.
func (c *Controller) Arrive(id ID, deadline time.Time, now time.Time) []Action {
	reason, ok := c.admit(deadline, now)
	if !ok {
		return []Action{{Kind: ActionRefuse, ID: id, Reason: reason}}
	}
	c.open++
	c.waiting.Push(id, deadline)
	return c.dispatch(now)
}

// ArriveWithoutQueueing handles a request that a sibling has handed off, which starts
// immediately or is refused.
func (c *Controller) ArriveWithoutQueueing(id ID, deadline time.Time, now time.Time) []Action {
	if c.FreeSlots(now) == 0 {
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
	case now.Add(c.expectedDuration(deadline)).After(deadline):
		return errkind.DeadlineTooClose, false
	}
	return 0, true
}

// expectedDuration returns an upper estimate of the time from arrival to response of
// a new request with the given deadline.
func (c *Controller) expectedDuration(deadline time.Time) time.Duration {
	service := c.limiter.Latency()
	busy := c.limiter.InFlight() + c.waiting.Ahead(deadline) + 1 - c.limiter.Limit()
	if busy <= 0 {
		return c.limiter.LatencyBound()
	}
	wait := service * time.Duration(busy) / time.Duration(c.limiter.Limit())
	return wait + c.limiter.LatencyBound()
}

// StartStream handles a started request whose response has become a stream. The
// request releases its slot and stays open.
func (c *Controller) StartStream(sample limit.Sample, now time.Time) []Action {
	c.limiter.Finish(sample, now)
	return c.dispatch(now)
}

// Finish ends a started request and records its measurement.
func (c *Controller) Finish(sample limit.Sample, now time.Time) []Action {
	c.limiter.Finish(sample, now)
	c.open--
	return c.dispatch(now)
}

// FinishUnsent ends a started request that was never sent to the backend server.
func (c *Controller) FinishUnsent(now time.Time) []Action {
	c.limiter.Release()
	c.open--
	return c.dispatch(now)
}

// FinishStream ends a streaming request. The measurement is recorded only if the
// backend server reset the connection.
func (c *Controller) FinishStream(sample limit.Sample, now time.Time) []Action {
	if sample.Outcome == limit.Reset {
		c.limiter.Observe(sample, now)
	}
	c.open--
	return c.dispatch(now)
}

// Cancel removes a request from the queue and reports whether it was queued.
func (c *Controller) Cancel(id ID, now time.Time) (bool, []Action) {
	if !c.waiting.Remove(id) {
		return false, nil
	}
	c.open--
	return true, c.dispatch(now)
}

// Drain refuses all requests that arrive from now on. Requests already queued may
// still start for the time of drainGrace and are then refused, too.
func (c *Controller) Drain(now time.Time) []Action {
	if !c.draining {
		c.draining = true
		c.drainUntil = now.Add(drainGrace)
	}
	c.limiter.Drain()
	return c.dispatch(now)
}

// MarkCold treats the backend server as cold again.
func (c *Controller) MarkCold(now time.Time) []Action {
	c.limiter.MarkCold(now)
	return c.dispatch(now)
}

// UpdateHealth records whether the health endpoint of the backend server reports it
// as healthy.
func (c *Controller) UpdateHealth(healthy bool, now time.Time) []Action {
	c.limiter.UpdateHealth(healthy, now)
	return c.dispatch(now)
}

// Tick handles timeouts. It has to be called regularly.
func (c *Controller) Tick(now time.Time) []Action {
	c.limiter.Tick(now)
	return c.dispatch(now)
}

// dispatch starts queued requests within the limit, refuses those that cannot
// finish in time, and announces a changed state.
func (c *Controller) dispatch(now time.Time) []Action {
	var actions []Action
	for {
		entry, ok := c.waiting.Peek()
		if !ok {
			break
		}
		if reason, refuse := c.refusalReason(entry, now); refuse {
			c.waiting.Pop()
			c.open--
			actions = append(actions, Action{Kind: ActionRefuse, ID: entry.Key, Reason: reason})
			continue
		}
		if !c.limiter.TryStart(now) {
			break
		}
		c.waiting.Pop()
		actions = append(actions, Action{Kind: ActionStart, ID: entry.Key})
	}
	return c.announce(actions)
}

// refusalReason reports whether a queued request has to be refused, and why.
func (c *Controller) refusalReason(entry queue.Entry[ID, time.Time], now time.Time) (errkind.Kind, bool) {
	if c.draining && now.After(c.drainUntil) {
		return errkind.Draining, true
	}
	if now.Add(c.limiter.LatencyBound()).After(entry.Rank) {
		return errkind.DeadlineTooClose, true
	}
	return 0, false
}

func (c *Controller) announce(actions []Action) []Action {
	state, weight := c.limiter.State(), c.limiter.Weight()
	if state == c.announcedState && weight == c.announcedWeight {
		return actions
	}
	c.announcedState, c.announcedWeight = state, weight
	return append(actions, Action{Kind: ActionAnnounce, State: state, Weight: weight})
}
