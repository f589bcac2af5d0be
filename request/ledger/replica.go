package ledger

import (
	"container/list"
	"net/http"
	"time"
)

const (
	// maxEntries is the maximum number of keys stored by a replica.
	maxEntries = 50_000
	// maxBodyBytes is the maximum total size of the response bodies stored by a
	// replica.
	maxBodyBytes = 8 << 20
)

// Fingerprint is a hash that distinguishes different requests with the same key.
type Fingerprint uint64

// Claim is a request for the right to run a keyed request.
type Claim struct {
	// Key is the idempotency key.
	Key Key
	// Fingerprint is the fingerprint of the request.
	Fingerprint Fingerprint
	// Token identifies the attempt.
	Token string
	// Executor is the agent that makes the claim.
	Executor string
	// Deadline is the time after which the request is no longer running.
	Deadline time.Time
}

// Outcome is the way in which a keyed request ended.
type Outcome uint8

// The outcomes of a keyed request.
const (
	// OutcomeCompleted is a complete response.
	OutcomeCompleted Outcome = iota
	// OutcomeUnknown is a request that may have run but has no complete response.
	OutcomeUnknown
)

// Result is the stored result of a keyed request.
type Result struct {
	// Outcome is the way in which the request ended.
	Outcome Outcome
	// Status is the HTTP status of the response.
	Status int
	// Header is the header of the response.
	Header http.Header
	// Body is the body of the response if BodyStored is true.
	Body []byte
	// BodyStored is false if the body was too large to be stored or was evicted.
	BodyStored bool
}

// Verdict is the vote of a replica on a claim.
type Verdict uint8

// The votes on a claim.
const (
	// Granted allows the claiming agent to run the request if a majority of the
	// replicas grants the claim.
	Granted Verdict = iota
	// Held means that another attempt holds the key.
	Held
	// Done means that the request has ended; the reply contains the result.
	Done
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Abstained means that the replica has no other attempt on record but its
	// record does not cover the key.
	Abstained
)

// Reply is the response of a replica to a claim.
type Reply struct {
	// Verdict is the vote.
	Verdict Verdict
	// Quorum is the number of grants that the claim needs in the view of this
	// replica.
	Quorum int
	// HeldUntil is the time after which the attempt that holds the key is no
	// longer running.
	HeldUntil time.Time
	// Result is the stored result if the verdict is Done.
	Result Result
}

type entryState uint8

const (
	stateClaimed entryState = iota
	stateReleased
	stateDone
)

// Entry is the record of one key on a replica.
type Entry struct {
	// Claim is the claim that holds or held the key.
	Claim Claim
	// ClaimedAt is the time at which the replica recorded the key.
	ClaimedAt time.Time
	// Result is the result if the request has ended.
	Result Result

	state   entryState
	element *list.Element
}

// Done reports whether the request has ended.
func (e *Entry) Done() bool { return e.state == stateDone }

// Replica is the ledger state of one agent. It is not safe for concurrent use.
type Replica struct {
	membership    *Membership
	entries       map[string]*Entry
	order         *list.List // of *Entry, oldest first
	bodies        *list.List // of *Entry with a stored body, oldest first
	bodyBytes     int
	coverageFloor time.Time
}

// NewReplica returns an empty replica that takes the members from membership.
func NewReplica(membership *Membership) *Replica {
	return &Replica{
		membership: membership,
		entries:    make(map[string]*Entry),
		order:      list.New(),
		bodies:     list.New(),
	}
}

// Len returns the number of stored keys.
func (r *Replica) Len() int { return len(r.entries) }

// Claim votes on a claim and records it unless another attempt holds the key. A
// replica that does not cover the key records the claim too.
func (r *Replica) Claim(c Claim, now time.Time) Reply {
	r.removeExpired(now)
	quorum, covered := r.covers(c.Key, now)
	reply := Reply{Quorum: quorum, Verdict: Abstained}
	e := r.entries[c.Key.Value]
	switch {
	case e != nil && e.state == stateReleased && e.Claim.Token == c.Token:
		return reply
	case e == nil || e.state == stateReleased:
		r.put(c, now)
	case e.Claim.Fingerprint != c.Fingerprint:
		reply.Verdict = Mismatch
		return reply
	case e.state == stateDone:
		reply.Verdict = Done
		reply.Result = e.Result
		return reply
	case e.Claim.Token != c.Token:
		reply.Verdict = Held
		reply.HeldUntil = e.Claim.Deadline
		return reply
	}
	if covered {
		reply.Verdict = Granted
	}
	return reply
}

func (r *Replica) covers(key Key, now time.Time) (quorum int, ok bool) {
	since := key.EarliestUse(now)
	quorum, ok = r.membership.Covers(key.Value, since, now)
	if since.Before(r.coverageFloor) || key.Expired(now) {
		ok = false
	}
	return quorum, ok
}

func (r *Replica) put(c Claim, now time.Time) *Entry {
	r.remove(r.entries[c.Key.Value])
	e := &Entry{Claim: c, ClaimedAt: now}
	e.element = r.order.PushBack(e)
	r.entries[c.Key.Value] = e
	if len(r.entries) > maxEntries {
		r.evictOldest()
	}
	return e
}

// evictOldest removes the oldest key to bound the memory. The coverage then
// starts after the time at which that key was recorded.
func (r *Replica) evictOldest() {
	oldest := r.order.Front().Value.(*Entry)
	r.coverageFloor = oldest.ClaimedAt.Add(time.Nanosecond)
	r.remove(oldest)
}

func (r *Replica) remove(e *Entry) {
	if e == nil {
		return
	}
	r.dropBody(e)
	r.order.Remove(e.element)
	delete(r.entries, e.Claim.Key.Value)
}

// Release releases a claim whose request was not run. A claim of the same attempt
// that arrives later is not granted.
func (r *Replica) Release(c Claim, now time.Time) {
	e := r.entries[c.Key.Value]
	if e == nil {
		e = r.put(c, now)
	}
	if e.Claim.Token == c.Token && e.state == stateClaimed {
		e.state = stateReleased
	}
}

// Complete stores the result of a request that was sent to its backend server.
func (r *Replica) Complete(c Claim, result Result, now time.Time) {
	e := r.entries[c.Key.Value]
	if e == nil || e.state == stateReleased {
		e = r.put(c, now)
	}
	if e.state == stateDone && e.Claim.Token != c.Token {
		return
	}
	r.dropBody(e)
	e.Claim = c
	e.state = stateDone
	e.Result = result
	r.storeBody(e)
}

func (r *Replica) storeBody(e *Entry) {
	if !e.Result.BodyStored {
		return
	}
	r.bodies.PushBack(e)
	r.bodyBytes += len(e.Result.Body)
	for r.bodyBytes > maxBodyBytes {
		r.dropBody(r.bodies.Front().Value.(*Entry))
	}
}

func (r *Replica) dropBody(e *Entry) {
	if !e.Result.BodyStored {
		return
	}
	for element := r.bodies.Front(); element != nil; element = element.Next() {
		if element.Value.(*Entry) == e {
			r.bodies.Remove(element)
			break
		}
	}
	r.bodyBytes -= len(e.Result.Body)
	e.Result.Body = nil
	e.Result.BodyStored = false
}

// removeExpired removes the keys whose retention has ended.
func (r *Replica) removeExpired(now time.Time) {
	horizon := now.Add(-Retention - MaxSkew - PropagationDelay)
	for {
		front := r.order.Front()
		if front == nil || !front.Value.(*Entry).ClaimedAt.Before(horizon) {
			return
		}
		r.remove(front.Value.(*Entry))
	}
}

// Export returns every entry that is claimed or done, oldest first, for a new
// replica.
func (r *Replica) Export(now time.Time) []Entry {
	r.removeExpired(now)
	entries := make([]Entry, 0, len(r.entries))
	for element := r.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry)
		if e.state != stateReleased {
			entries = append(entries, *e)
		}
	}
	return entries
}

// Import merges an entry from another replica. A result is stored as by Complete,
// a claim only if the key has neither a claim nor a result here.
func (r *Replica) Import(e Entry, now time.Time) {
	if e.Done() {
		r.Complete(e.Claim, e.Result, now)
		return
	}
	if existing := r.entries[e.Claim.Key.Value]; existing == nil || existing.state == stateReleased {
		r.put(e.Claim, now)
	}
}

// NewEntry returns an entry received from another replica.
func NewEntry(c Claim, claimedAt time.Time, done bool, result Result) Entry {
	e := Entry{Claim: c, ClaimedAt: claimedAt, Result: result}
	if done {
		e.state = stateDone
	}
	return e
}
