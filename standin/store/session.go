package store

import (
	"time"
)

// Behavior is what happens to the locked keys of a session when it ends.
type Behavior string

// The behaviors of the Consul API.
const (
	BehaviorRelease Behavior = "release"
	BehaviorDelete  Behavior = "delete"
)

// Session is a lease. It ends at its deadline unless it is renewed.
type Session struct {
	ID          string
	Name        string
	Behavior    Behavior
	TTL         time.Duration
	LockDelay   time.Duration
	CreateIndex uint64
	Deadline    time.Time
}

// CreateSession adds a session. A TTL of 0 means that it never expires.
func (d *Data) CreateSession(session Session, now time.Time) {
	d.index++
	session.CreateIndex = d.index
	session.Deadline = now.Add(session.TTL)
	d.sessions[session.ID] = &session
}

// Session returns a session that has not ended.
func (d *Data) Session(id string) (Session, bool) {
	session, ok := d.sessions[id]
	if !ok {
		return Session{}, false
	}
	return *session, true
}

// RenewSession extends the deadline of a session and reports whether the session
// still exists.
func (d *Data) RenewSession(id string, now time.Time) (Session, bool) {
	session, ok := d.sessions[id]
	if !ok {
		return Session{}, false
	}
	session.Deadline = now.Add(session.TTL)
	return *session, true
}

// DestroySession ends a session and releases or deletes the keys that it holds.
func (d *Data) DestroySession(id string, now time.Time) {
	session, ok := d.sessions[id]
	if !ok {
		return
	}
	delete(d.sessions, id)
	pairs, _ := d.List("")
	for _, pair := range pairs {
		if pair.Session == id {
			d.releaseLock(pair.Key, session, now)
		}
	}
}

func (d *Data) releaseLock(key string, session *Session, now time.Time) {
	d.lockDelays[key] = now.Add(session.LockDelay)
	if session.Behavior == BehaviorDelete {
		d.Delete(key, nil)
		return
	}
	d.index++
	pair := d.pairs[key]
	pair.Session = ""
	pair.ModifyIndex = d.index
}

// ExpireSessions ends the sessions whose deadline has passed and reports whether
// there were any.
func (d *Data) ExpireSessions(now time.Time) bool {
	expired := false
	for id, session := range d.sessions {
		if session.TTL > 0 && now.After(session.Deadline) {
			d.DestroySession(id, now)
			expired = true
		}
	}
	return expired
}
