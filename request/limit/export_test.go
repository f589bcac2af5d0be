package limit

import "time"

// SimServer exports the simulated backend server to the tests in limit_test.
type SimServer = simServer

// NewSimServer returns a warm server with the given number of slots.
var NewSimServer = newSimServer

// Send starts a request and returns the time and the outcome of its end.
func (s *simServer) Send(now time.Time) (time.Time, Outcome) { return s.send(now) }

// Crashes returns how often the server has crashed.
func (s *simServer) Crashes() int { return s.crashes }

// MarkCold makes the server cold for coldTime.
func (s *simServer) MarkCold(now time.Time) { s.coldUntil = now.Add(s.coldTime) }

// Capacity returns how many requests the server holds at once, running and queued.
func (s *simServer) Capacity(now time.Time) int {
	if s.cold(now) {
		return s.coldSlots + s.coldQueue
	}
	return s.slots + s.queue
}
