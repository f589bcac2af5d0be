package ledger

import (
	"container/list"
	"net/http"
	"time"
)

const (
	// maxEntries is the number of keys that a home remembers.
	maxEntries = 50_000
	// maxBodyBytes is the number of bytes of stored answers that a home keeps.
	maxBodyBytes = 8 << 20
)

// Fingerprint tells two different requests under one key apart.
type Fingerprint uint64

// Claim asks for the right to run a keyed request.
type Claim struct {
	// Key is the idempotency key.
	Key Key
	// Fingerprint is that of the request.
	Fingerprint Fingerprint
	// Token identifies this try.
	Token string
	// Executor is the agent that makes the claim.
	Executor string
	// Deadline is the time after which the request no longer runs.
	Deadline time.Time
}

// Outcome is how a keyed request ended.
type Outcome uint8

// The outcomes of a keyed request.
const (
	// OutcomeAnswered is a whole answer.
	OutcomeAnswered Outcome = iota
	// OutcomeUnknown is a request that may have run and has no answer.
	OutcomeUnknown
)

// Result is the stored end of a keyed request.
type Result struct {
	// Outcome tells how the request ended.
	Outcome Outcome
	// Status is the HTTP status of the answer.
	Status int
	// Header is the header of the answer.
	Header http.Header
	// Body is the body of the answer when BodyKept is set.
	Body []byte
	// BodyStored tells whether the body was small enough to be kept.
	BodyStored bool
}

// Verdict is a home's answer to a claim.
type Verdict uint8

// The answers to a claim.
const (
	// Granted lets the claimer run the request, together with a majority.
	Granted Verdict = iota
	// Held means that another try holds the key.
	Held
	// Done means that the request has ended, with the result.
	Done
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Abstained means that the home knows of no other try but cannot vouch that
	// there was none.
	Abstained
)

// Reply is a home's answer to a claim with its particulars.
type Reply struct {
	// Verdict is the answer.
	Verdict Verdict
	// Quorum is the number of grants that the claim needs as this home sees it.
	Quorum int
	// HeldUntil is the time after which the try that holds the key no longer runs.
	HeldUntil time.Time
	// Result is the stored result of a key that is done.
	Result Result
}

type entryState uint8

const (
	stateClaimed entryState = iota
	stateReleased
	stateDone
)

// Entry is what a home knows of one key.
type Entry struct {
	// Claim is the claim that holds or held the key.
	Claim Claim
	// ClaimedAt is the time at which the home learned of the key.
	ClaimedAt time.Time
	// Result is the result of a key that is done.
	Result Result

	state   entryState
	element *list.Element
}

// Done tells whether the request has ended.
func (e *Entry) Done() bool { return e.state == stateDone }

// Book is the memory of one home. It is not safe for concurrent use.
type Book struct {
	ring      *Ring
	entries   map[string]*Entry
	order     *list.List // of *Entry, oldest first
	bodies    *list.List // of *Entry with a kept body, oldest first
	bodyBytes int
	floor     time.Time
}

// NewBook returns an empty memory of the agent whose members ring holds.
func NewBook(ring *Ring) *Book {
	return &Book{
		ring:    ring,
		entries: make(map[string]*Entry),
		order:   list.New(),
		bodies:  list.New(),
	}
}

// Len returns the number of keys remembered.
func (b *Book) Len() int { return len(b.entries) }

// Claim answers a claim and remembers it unless another try holds the key. A
// home that cannot vouch for the key remembers the claim too.
func (b *Book) Claim(c Claim, now time.Time) Reply {
	b.sweep(now)
	quorum, vouched := b.vouch(c.Key, now)
	reply := Reply{Quorum: quorum, Verdict: Abstained}
	e := b.entries[c.Key.Value]
	switch {
	case e != nil && e.state == stateReleased && e.Claim.Token == c.Token:
		return reply
	case e == nil || e.state == stateReleased:
		b.put(c, now)
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
	if vouched {
		reply.Verdict = Granted
	}
	return reply
}

func (b *Book) vouch(key Key, now time.Time) (quorum int, ok bool) {
	since := key.Since(now)
	quorum, ok = b.ring.Vouch(key.Value, since, now)
	if since.Before(b.floor) || key.Expired(now) {
		ok = false
	}
	return quorum, ok
}

func (b *Book) put(c Claim, now time.Time) *Entry {
	b.remove(b.entries[c.Key.Value])
	e := &Entry{Claim: c, ClaimedAt: now}
	e.element = b.order.PushBack(e)
	b.entries[c.Key.Value] = e
	if len(b.entries) > maxEntries {
		b.evictOldest()
	}
	return e
}

// evictOldest forgets the oldest key to bound the memory. The home no longer
// vouches for times at which that key can have been used.
func (b *Book) evictOldest() {
	oldest := b.order.Front().Value.(*Entry)
	b.floor = oldest.ClaimedAt.Add(time.Nanosecond)
	b.remove(oldest)
}

func (b *Book) remove(e *Entry) {
	if e == nil {
		return
	}
	b.dropBody(e)
	b.order.Remove(e.element)
	delete(b.entries, e.Claim.Key.Value)
}

// Release gives up a claim of which nothing was run. A claim of the same try that
// arrives later is not granted.
func (b *Book) Release(c Claim, now time.Time) {
	e := b.entries[c.Key.Value]
	if e == nil {
		e = b.put(c, now)
	}
	if e.Claim.Token == c.Token && e.state == stateClaimed {
		e.state = stateReleased
	}
}

// Complete stores the result of a request that was sent to its backend server.
func (b *Book) Complete(c Claim, result Result, now time.Time) {
	e := b.entries[c.Key.Value]
	if e == nil || e.state == stateReleased {
		e = b.put(c, now)
	}
	if e.state == stateDone && e.Claim.Token != c.Token {
		return
	}
	b.dropBody(e)
	e.Claim = c
	e.state = stateDone
	e.Result = result
	b.keepBody(e)
}

func (b *Book) keepBody(e *Entry) {
	if !e.Result.BodyStored {
		return
	}
	b.bodies.PushBack(e)
	b.bodyBytes += len(e.Result.Body)
	for b.bodyBytes > maxBodyBytes {
		b.dropBody(b.bodies.Front().Value.(*Entry))
	}
}

func (b *Book) dropBody(e *Entry) {
	if !e.Result.BodyStored {
		return
	}
	for element := b.bodies.Front(); element != nil; element = element.Next() {
		if element.Value.(*Entry) == e {
			b.bodies.Remove(element)
			break
		}
	}
	b.bodyBytes -= len(e.Result.Body)
	e.Result.Body = nil
	e.Result.BodyStored = false
}

// sweep forgets keys past the retention.
func (b *Book) sweep(now time.Time) {
	horizon := now.Add(-Retention - MaxSkew - PropagationDelay)
	for {
		front := b.order.Front()
		if front == nil || !front.Value.(*Entry).ClaimedAt.Before(horizon) {
			return
		}
		b.remove(front.Value.(*Entry))
	}
}

// Export returns every key that is claimed or done, oldest first, for a new home.
func (b *Book) Export(now time.Time) []Entry {
	b.sweep(now)
	entries := make([]Entry, 0, len(b.entries))
	for element := b.order.Front(); element != nil; element = element.Next() {
		e := element.Value.(*Entry)
		if e.state != stateReleased {
			entries = append(entries, *e)
		}
	}
	return entries
}

// Import learns a key from another home. What the agent knows already stays, but
// for a result that it did not have.
func (b *Book) Import(e Entry, now time.Time) {
	if e.Done() {
		b.Complete(e.Claim, e.Result, now)
		return
	}
	if known := b.entries[e.Claim.Key.Value]; known == nil || known.state == stateReleased {
		b.put(e.Claim, now)
	}
}

// NewEntry returns an entry as received from another home.
func NewEntry(c Claim, claimedAt time.Time, done bool, result Result) Entry {
	e := Entry{Claim: c, ClaimedAt: claimedAt, Result: result}
	if done {
		e.state = stateDone
	}
	return e
}
