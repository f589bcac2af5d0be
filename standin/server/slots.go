package server

import (
	"context"
	"errors"
	"sync"
	"time"
)

// slots guards a capacity and wakes requests that wait. Falling over ends the
// contexts of all requests inside.
type slots struct {
	mu       sync.Mutex
	capacity *capacity
	queue    []chan struct{}
	fallen   context.Context
	fall     context.CancelFunc
	counts   *counters
	// peak is the largest number of requests inside since it was last taken. The
	// one that made the server fall over or shed counts too.
	peak int
}

// ticket is a request inside the server.
type ticket struct {
	// fallen ends when the server falls over.
	fallen context.Context
}

func newSlots(limits Limits, counts *counters, now time.Time) *slots {
	s := &slots{capacity: newCapacity(limits, now), counts: counts}
	s.fallen, s.fall = context.WithCancel(context.Background())
	return s
}

// enter asks for a slot and waits in the queue if need be. The ticket is valid
// only when the admission is admitRun.
func (s *slots) enter(ctx context.Context) (ticket, admission) {
	s.mu.Lock()
	now := time.Now()
	cold := s.capacity.state(now) == StateCold
	offered := s.capacity.running + s.capacity.waiting + 1
	verdict := s.capacity.arrive(now)
	t := ticket{fallen: s.fallen}
	var turn chan struct{}
	switch verdict {
	case admitWait:
		turn = make(chan struct{})
		s.queue = append(s.queue, turn)
	case admitFall:
		s.endAll(cold)
	default:
	}
	if verdict != admitReset {
		s.counts.observeLoad(offered, cold)
		s.peak = max(s.peak, offered)
	}
	s.mu.Unlock()
	if verdict != admitWait {
		return t, verdict
	}
	return t, s.wait(ctx, t, turn)
}

func (s *slots) wait(ctx context.Context, t ticket, turn chan struct{}) admission {
	select {
	case <-turn:
		return admitRun
	case <-t.fallen.Done():
		return admitReset
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.fallen.Err() != nil {
		return admitReset
	}
	select {
	case <-turn:
		s.finishLocked()
	default:
		s.dequeue(turn)
		s.capacity.giveUp()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admitShed
	}
	return admitReset
}

func (s *slots) dequeue(turn chan struct{}) {
	for i, other := range s.queue {
		if other == turn {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// leave gives the slot of a ticket back.
func (s *slots) leave(t ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.fallen.Err() == nil {
		s.finishLocked()
	}
}

func (s *slots) finishLocked() {
	for range s.capacity.finish(time.Now()) {
		close(s.queue[0])
		s.queue = s.queue[1:]
	}
}

// endAll ends every request inside after the server fell over.
func (s *slots) endAll(cold bool) {
	if cold {
		s.counts.fallsCold.Add(1)
	} else {
		s.counts.fallsWarm.Add(1)
	}
	s.queue = nil
	s.fall()
	s.fallen, s.fall = context.WithCancel(context.Background())
}

// chill makes the server cold.
func (s *slots) chill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.chill(time.Now())
}

// load returns the state and the numbers of running and waiting requests.
func (s *slots) load() (state State, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacity.state(time.Now()), s.capacity.running, s.capacity.waiting
}

// takePeak returns the largest number of requests since the last call and
// the number that may be inside now.
func (s *slots) takePeak() (peak, bears int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peak = s.peak
	s.peak = s.capacity.running + s.capacity.waiting
	running, waiting := s.capacity.room(s.capacity.state(time.Now()))
	return peak, running + waiting
}
