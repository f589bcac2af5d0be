package gate

import "time"

// maxHeldBack is the gap between two ticks, of 50 ms on time, up to which no opening packet that
// waited for this process can be older than the caller's next copy, sent after 200 ms.
const maxHeldBack = 150 * time.Millisecond

// stallMeter detects that the agent has not run for a time, in which datagrams waited unread.
type stallMeter struct {
	tickedAt, resumedAt time.Duration
}

// tick records a tick.
func (s *stallMeter) tick(now time.Duration) {
	if s.tickedAt > 0 && now-s.tickedAt > maxHeldBack {
		s.resumedAt = now
	}
	s.tickedAt = now
}

// mayHaveHeldBack reports whether the datagrams that are handled now may have waited for longer
// than maxHeldBack.
func (s *stallMeter) mayHaveHeldBack(now time.Duration) bool {
	stalled := s.tickedAt > 0 && now-s.tickedAt > maxHeldBack
	resumed := s.resumedAt > 0 && now-s.resumedAt <= maxHeldBack
	return stalled || resumed
}
