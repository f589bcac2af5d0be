package store

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

// sessionBody is the request body of a call that creates a session.
type sessionBody struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  Behavior
}

// sessionResponse is the JSON form of a session.
type sessionResponse struct {
	ID          string
	Name        string
	Behavior    Behavior
	TTL         string
	LockDelay   time.Duration
	CreateIndex uint64
	ModifyIndex uint64
}

// sessionID is the response to a call that creates a session.
type sessionID struct {
	ID string
}

func (h *handler) createSession(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callSession) {
		return
	}
	session, err := readSession(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.service.update(func(data *Data, now time.Time) { data.CreateSession(session, now) })
	if !h.loseResponse(w, "") {
		fault.WriteJSON(w, sessionID{ID: session.ID})
	}
}

func readSession(r *http.Request) (Session, error) {
	body := sessionBody{Behavior: BehaviorRelease, TTL: "0s", LockDelay: defaultLockDelay.String()}
	err := json.NewDecoder(io.LimitReader(r.Body, MaxValueBytes)).Decode(&body)
	if err != nil && !errors.Is(err, io.EOF) {
		return Session{}, errkind.Wrap(err, errkind.Malformed, "session")
	}
	if body.Behavior != BehaviorRelease && body.Behavior != BehaviorDelete {
		return Session{}, errkind.New(errkind.Malformed, "behavior %q is not release or delete", body.Behavior)
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		return Session{}, errkind.Wrap(err, errkind.Malformed, "session")
	}
	lockDelay, err := time.ParseDuration(body.LockDelay)
	if err != nil {
		return Session{}, errkind.Wrap(err, errkind.Malformed, "session")
	}
	return Session{ID: newID(), Name: body.Name, Behavior: body.Behavior, TTL: ttl, LockDelay: lockDelay}, nil
}

// newID returns a random identifier formatted as a UUID.
func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[0:4], b[4:6], b[6:8], b[8:10], b[10:])
}

func (h *handler) renewSession(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callSession) {
		return
	}
	var session Session
	var ok bool
	h.service.update(func(data *Data, now time.Time) {
		session, ok = data.RenewSession(r.PathValue("id"), now)
	})
	writeSession(w, session, ok)
}

func (h *handler) destroySession(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callSession) {
		return
	}
	h.service.update(func(data *Data, now time.Time) { data.DestroySession(r.PathValue("id"), now) })
	if !h.loseResponse(w, "") {
		fault.WriteJSON(w, true)
	}
}

func (h *handler) sessionInfo(w http.ResponseWriter, r *http.Request) {
	if !h.admit(w, r, callRead) {
		return
	}
	var session Session
	var ok bool
	h.service.read(func(data *Data) { session, ok = data.Session(r.PathValue("id")) })
	writeSession(w, session, ok)
}

func writeSession(w http.ResponseWriter, session Session, ok bool) {
	if !ok {
		http.Error(w, "session does not exist", http.StatusNotFound)
		return
	}
	fault.WriteJSON(w, []sessionResponse{{
		ID:          session.ID,
		Name:        session.Name,
		Behavior:    session.Behavior,
		TTL:         session.TTL.String(),
		LockDelay:   session.LockDelay,
		CreateIndex: session.CreateIndex,
		ModifyIndex: session.CreateIndex,
	}})
}
