// Package queue provides a bounded queue, ordered by rank, of what waits for a slot of a
// backend server.
package queue

import (
	"cmp"
	"slices"
)

// Entry is a queued element.
type Entry[K comparable, R any] struct {
	// Key identifies the entry.
	Key K
	// Rank determines the place of the entry.
	Rank R

	sequence uint64
}

// Queue is a bounded queue ordered by rank, then by arrival. The entries are kept in a sorted
// slice: at the lengths that occur, moving a few kilobytes costs less than the search for a
// place in a heap, and the number of entries ahead of a rank is found by bisection. It is not
// safe for concurrent use.
type Queue[K comparable, R any] struct {
	capacity int
	compare  func(a, b R) int
	entries  []*Entry[K, R]
	byKey    map[K]*Entry[K, R]
	arrivals uint64
}

// New returns an empty queue with the given capacity. compare returns a negative number if the
// first rank precedes the second, and 0 if they are equal.
func New[K comparable, R any](capacity int, compare func(a, b R) int) *Queue[K, R] {
	return &Queue[K, R]{capacity: capacity, compare: compare, byKey: make(map[K]*Entry[K, R])}
}

// SetCapacity changes the capacity. Entries already queued remain, even if there are
// more.
func (q *Queue[K, R]) SetCapacity(capacity int) { q.capacity = capacity }

// Len returns the number of entries.
func (q *Queue[K, R]) Len() int { return len(q.entries) }

// Full reports whether the queue accepts no further entry.
func (q *Queue[K, R]) Full() bool { return len(q.entries) >= q.capacity }

// At returns the entry at a position; 0 is the first.
func (q *Queue[K, R]) At(position int) Entry[K, R] { return *q.entries[position] }

// Ahead returns the number of entries with an earlier or equal rank.
func (q *Queue[K, R]) Ahead(rank R) int {
	// No entry has a sequence number as high as the next one.
	return q.position(rank, q.arrivals+1)
}

// position returns the number of entries that precede a rank and a sequence number.
func (q *Queue[K, R]) position(rank R, sequence uint64) int {
	i, _ := slices.BinarySearchFunc(q.entries, rank, func(e *Entry[K, R], rank R) int {
		return cmp.Or(q.compare(e.Rank, rank), cmp.Compare(e.sequence, sequence))
	})
	return i
}

// Push adds an entry and reports whether it was added. It is not if the queue is full
// or the key is already queued.
func (q *Queue[K, R]) Push(key K, rank R) bool {
	if q.Full() || q.byKey[key] != nil {
		return false
	}
	q.arrivals++
	e := &Entry[K, R]{Key: key, Rank: rank, sequence: q.arrivals}
	q.byKey[key] = e
	q.entries = slices.Insert(q.entries, q.position(rank, e.sequence), e)
	return true
}

// Peek returns the first entry.
func (q *Queue[K, R]) Peek() (Entry[K, R], bool) {
	if len(q.entries) == 0 {
		return Entry[K, R]{}, false
	}
	return *q.entries[0], true
}

// Pop removes and returns the first entry.
func (q *Queue[K, R]) Pop() (Entry[K, R], bool) {
	e, ok := q.Peek()
	if ok {
		q.removeAt(0)
	}
	return e, ok
}

// Remove removes the entry with the given key and reports whether it was queued.
func (q *Queue[K, R]) Remove(key K) bool {
	e := q.byKey[key]
	if e == nil {
		return false
	}
	q.removeAt(q.position(e.Rank, e.sequence))
	return true
}

func (q *Queue[K, R]) removeAt(position int) {
	delete(q.byKey, q.entries[position].Key)
	if position == 0 {
		q.entries[0] = nil
		q.entries = q.entries[1:]
		return
	}
	q.entries = slices.Delete(q.entries, position, position+1)
}
