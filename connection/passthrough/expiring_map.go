package passthrough

import (
	"iter"
	"time"
)

// ExpiringMap is a bounded map from flows to values whose entries expire when they
// are not used. It consists of two generations: every period the previous one
// is dropped, and Get moves an entry into the current one. It is not safe for
// concurrent use.
type ExpiringMap[V any] struct {
	period       time.Duration
	limit        int
	current      map[Flow]V
	previous     map[Flow]V
	lastRotation time.Duration
}

// NewExpiringMap returns an empty map whose entries expire between one and two
// periods after their last use. Put starts a new generation early once the current
// one has limit entries, which bounds the map to twice limit entries as long as Get
// does not keep renewing more entries than that.
func NewExpiringMap[V any](period time.Duration, limit int) *ExpiringMap[V] {
	return &ExpiringMap[V]{period: period, limit: limit, current: map[Flow]V{}, previous: map[Flow]V{}}
}

// Get returns the value of a flow and renews the entry.
func (m *ExpiringMap[V]) Get(flow Flow) (V, bool) {
	if v, ok := m.current[flow]; ok {
		return v, true
	}
	v, ok := m.previous[flow]
	if ok {
		m.current[flow] = v
		delete(m.previous, flow)
	}
	return v, ok
}

// Peek returns the value of a flow without renewing the entry.
func (m *ExpiringMap[V]) Peek(flow Flow) (V, bool) {
	if v, ok := m.current[flow]; ok {
		return v, true
	}
	v, ok := m.previous[flow]
	return v, ok
}

// Put sets the value of a flow. If the current generation then has limit entries,
// Put drops the previous one and starts a new one.
func (m *ExpiringMap[V]) Put(flow Flow, v V) {
	m.current[flow] = v
	if len(m.current) >= m.limit {
		m.rotate()
	}
}

// Delete removes the entry of a flow.
func (m *ExpiringMap[V]) Delete(flow Flow) {
	delete(m.current, flow)
	delete(m.previous, flow)
}

// All returns an iterator over all entries. Entries may be deleted during the
// iteration.
func (m *ExpiringMap[V]) All() iter.Seq2[Flow, V] {
	return func(yield func(Flow, V) bool) {
		for _, generation := range []map[Flow]V{m.current, m.previous} {
			for flow, v := range generation {
				if !yield(flow, v) {
					return
				}
			}
		}
	}
}

// Len returns the number of entries.
func (m *ExpiringMap[V]) Len() int { return len(m.current) + len(m.previous) }

// Tick drops the previous generation if a period has passed. now is the time since
// the start of the process.
func (m *ExpiringMap[V]) Tick(now time.Duration) {
	if now-m.lastRotation >= m.period {
		m.lastRotation = now
		m.rotate()
	}
}

func (m *ExpiringMap[V]) rotate() {
	m.previous = m.current
	m.current = make(map[Flow]V, len(m.previous)/2)
}
