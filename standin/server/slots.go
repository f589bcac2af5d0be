package server

import (
	"context"
	"errors"
	"sync"
	"time"
)

// slots makes a capacity safe for concurrent use and wakes waiting requests. A crash
// cancels the contexts of all running and waiting requests.
type slots struct {
	mu       sync.Mutex
	capacity *capacity
	queue    []chan struct{}
	crashed  context.Context
	crash    context.CancelFunc
	counts   *counters
	// peak is the largest number of running and waiting requests since the last call
	// of resetPeak, including one that made the server crash or shed load.
	peak int
}

// ticket represents an admitted request.
type ticket struct {
	// crashed is canceled when the server crashes.
	crashed context.Context
}

func newSlots(limits Limits, counts *counters, now time.Time) *slots {
	s := &slots{capacity: newCapacity(limits, now), counts: counts}
	s.crashed, s.crash = context.WithCancel(context.Background())
	return s
}

// acquire acquires a slot, waiting in the queue if necessary. The ticket is valid only
// if the returned decision is admitRun.
func (s *slots) acquire(ctx context.Context) (ticket, admission) {
	s.mu.Lock()
	now := time.Now()
	cold := s.capacity.state(now) == StateCold
	offered := s.capacity.running + s.capacity.waiting + 1
	decision := s.capacity.admit(now)
	t := ticket{crashed: s.crashed}
	var granted chan struct{}
	switch decision {
	case admitWait:
		granted = make(chan struct{})
		s.queue = append(s.queue, granted)
	case admitCrash:
		s.abortAll(cold)
	default:
	}
	if decision != admitReset {
		s.counts.observeLoad(offered, cold)
		s.peak = max(s.peak, offered)
	}
	s.mu.Unlock()
	if decision != admitWait {
		return t, decision
	}
	return t, s.wait(ctx, t, granted)
}

func (s *slots) wait(ctx context.Context, t ticket, granted chan struct{}) admission {
	select {
	case <-granted:
		return admitRun
	case <-t.crashed.Done():
		return admitReset
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.crashed.Err() != nil {
		return admitReset
	}
	select {
	case <-granted:
		s.finishLocked()
	default:
		s.dequeue(granted)
		s.capacity.cancelWaiting()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admitShed
	}
	return admitReset
}

func (s *slots) dequeue(granted chan struct{}) {
	for i, other := range s.queue {
		if other == granted {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// release releases the slot of a ticket.
func (s *slots) release(t ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.crashed.Err() == nil {
		s.finishLocked()
	}
}

func (s *slots) finishLocked() {
	for range s.capacity.finish(time.Now()) {
		close(s.queue[0])
		s.queue = s.queue[1:]
	}
}

// abortAll aborts all running and waiting requests after a crash.
func (s *slots) abortAll(cold bool) {
	if cold {
		s.counts.crashesCold.Add(1)
	} else {
		s.counts.crashesWarm.Add(1)
	}
	s.queue = nil
	s.crash()
	s.crashed, s.crash = context.WithCancel(context.Background())
}

// markCold makes the server cold.
func (s *slots) markCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.markCold(time.Now())
}

// load returns the state and the numbers of running and waiting requests.
func (s *slots) load() (state State, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity.state(time.Now()), s.capacity.running, s.capacity.waiting
}

// resetPeak returns the largest number of running and waiting requests since the last
// call and the current capacity. It resets the peak to the current number.
func (s *slots) resetPeak() (peak, capacity int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak = s.peak
	s.peak = s.capacity.running + s.capacity.waiting
	running, waiting := s.capacity.limitsIn(s.capacity.state(time.Now()))
	return peak, running + waiting
}
