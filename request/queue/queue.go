// Package queue provides a bounded queue, ordered by deadline, of the requests that
// wait for a slot of the backend server.
package queue

import (
	"container/heap"
	"time"
)

// ID identifies a request.
type ID uint64

// Entry is a queued request.
type Entry struct {
	// ID identifies the request.
	ID ID
	// Deadline is the deadline of the response.
	Deadline time.Time

	sequence uint64
	index    int
}

// Queue is a bounded queue ordered by deadline, then by arrival. It is not safe
// for concurrent use.
type Queue struct {
	capacity int
	entries  entryHeap
	byID     map[ID]*Entry
	arrivals uint64
}

// New returns an empty queue with the given capacity.
func New(capacity int) *Queue {
	return &Queue{capacity: capacity, byID: make(map[ID]*Entry)}
}

// SetCapacity changes the capacity. Entries already queued remain, even if there are
// more.
func (q *Queue) SetCapacity(capacity int) { q.capacity = capacity }

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.entries) }

// Full reports whether the queue accepts no further entry.
func (q *Queue) Full() bool { return len(q.entries) >= q.capacity }

// Ahead returns the number of entries with an earlier or equal deadline.
func (q *Queue) Ahead(deadline time.Time) int {
	count := 0
	for _, e := range q.entries {
		if !e.Deadline.After(deadline) {
			count++
		}
	}
	return count
}

// Push adds an entry and reports whether it was added. It is not if the queue is full
// or the id is already queued.
func (q *Queue) Push(id ID, deadline time.Time) bool {
	if q.Full() || q.byID[id] != nil {
		return false
	}
	q.arrivals++
	e := &Entry{ID: id, Deadline: deadline, sequence: q.arrivals}
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

// Pop removes and returns the entry with the earliest deadline.
func (q *Queue) Pop() (Entry, bool) {
	if len(q.entries) == 0 {
		return Entry{}, false
	}
	e := heap.Pop(&q.entries).(*Entry)
	delete(q.byID, e.ID)
	return *e, true
}

// Remove removes the entry with the given id and reports whether it was queued.
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
		return h[i].sequence < h[j].sequence
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
