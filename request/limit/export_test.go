package limit

import "time"

// Model is the backend server in virtual time, for tests of other packages.
type Model = model

// NewModel returns a warm server with the given slots.
var NewModel = newModel

// Send returns when the answer comes, and whether it is one.
func (m *model) Send(now time.Time) (time.Time, Outcome) { return m.send(now) }

// Falls returns how often the server has fallen over.
func (m *model) Falls() int { return m.falls }

// Chill makes the server cold from now on.
func (m *model) Chill(now time.Time) { m.coldUntil = now.Add(m.coldFor) }

// Bears returns how many requests the server bears at once.
func (m *model) Bears(now time.Time) int {
	if m.cold(now) {
		return m.coldSlots + m.coldQueue
	}
	return m.slots + m.queue
}
