// Package queue holds the requests that wait for a place at the backend server.
// The queue is bounded and ordered by deadline, and it gives up what can no
// longer finish in time before it starts. It is pure: time comes from outside.
package queue

import (
	"container/heap"
	"time"
)

// ID identifies a waiting request.
type ID uint64

// Entry is a waiting request.
type Entry struct {
	// ID identifies the request.
	ID ID
	// Deadline is the time by which the answer is wanted.
	Deadline time.Time

	order uint64
	index int
}

// Queue is a bounded queue ordered by deadline, then by arrival. It is not safe
// for concurrent use.
type Queue struct {
	capacity int
	entries  entryHeap
	byID     map[ID]*Entry
	arrivals uint64
}

// New returns an empty queue for the given number of entries.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, byID: make(map[ID]*Entry)}
}

// SetCapacity changes the bound. Entries that wait stay.
func (q *Queue) SetCapacity(capacity int) { q.capacity = capacity }

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.entries) }

// Full tells whether the queue takes no further entry.
func (q *Queue) Full() bool { return len(q.entries) >= q.capacity }

// Ahead returns how many entries have an earlier or equal deadline.
func (q *Queue) Ahead(deadline time.Time) int {
	count := 0
	for _, e := range q.entries {
		if !e.Deadline.After(deadline) {
			count++
		}
	}
	return count
}

// Push adds an entry and tells whether there was room. An id that waits already
// is not added again.
func (q *Queue) Push(id ID, deadline time.Time) bool {
	if q.Full() || q.byID[id] != nil {
		return false
	}
	q.arrivals++
	e := &Entry{ID: id, Deadline: deadline, order: q.arrivals}
	q.byID[id] = e
	heap.Push(&q.entries, e)
	return true
}

// Peek returns the entry with the earliest deadline.
func (q *Queue) Peek() (Entry, bool) {
	if len(q.entries) == 0 {
		return Entry{}, false
	}
	return *q.entries[0], true
}

// Pop takes the entry with the earliest deadline.
func (q *Queue) Pop() (Entry, bool) {
	if len(q.entries) == 0 {
		return Entry{}, false
	}
	e := heap.Pop(&q.entries).(*Entry)
	delete(q.byID, e.ID)
	return *e, true
}

// Remove takes the entry with the given id out, and tells whether it waited.
func (q *Queue) Remove(id ID) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	heap.Remove(&q.entries, e.index)
	delete(q.byID, id)
	return true
}

type entryHeap []*Entry

func (h entryHeap) Len() int { return len(h) }

func (h entryHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].order < h[j].order
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*Entry)
	e.index = len(*h)
	*h = append(*h, e)
}

func (h *entryHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*h = old[:last]
	return e
}
