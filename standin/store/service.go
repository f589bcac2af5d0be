package store

import (
	"context"
	"sync"
	"time"
)

// expiryInterval is the time between two checks for expired sessions.
const expiryInterval = 50 * time.Millisecond

// service synchronizes access to the content and wakes watches when it changes.
type service struct {
	mu      sync.Mutex
	data    *Data
	changed chan struct{}
	stale   *Data
	now     func() time.Time
}

func newService(now func() time.Time) *service {
	return &service{data: NewData(), changed: make(chan struct{}), now: now}
}

// update runs f on the content and wakes all watches.
func (s *service) update(f func(data *Data, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.data, s.now())
	s.wake()
}

// read runs f on the content, or on the frozen copy if stale reads are enabled. It
// returns a channel that is closed at the next change.
func (s *service) read(f func(data *Data)) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	data := s.data
	if s.stale != nil {
		data = s.stale
	}
	f(data)
	return s.changed
}

// setStale enables or disables stale reads.
func (s *service) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case stale && s.stale == nil:
		s.stale = s.data.Clone()
	case !stale && s.stale != nil:
		s.stale = nil
		s.wake()
	}
}

func (s *service) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends expired sessions until ctx is done.
func (s *service) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.expireOnce()
		}
	}
}

func (s *service) expireOnce() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.data.ExpireSessions(s.now()) {
		s.wake()
	}
}
