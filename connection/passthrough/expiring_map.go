package passthrough

import (
	"iter"
	"time"
)

// ExpiringMap is a bounded map from flows to values whose entries expire when they
// are not used. It consists of two generations: every period the older one is
// dropped, and Get moves an entry into the younger one. It is not safe for
// concurrent use.
type ExpiringMap[V any] struct {
	period       time.Duration
	limit        int
	young        map[Flow]V
	old          map[Flow]V
	lastRotation time.Duration
}

// NewExpiringMap returns an empty map whose entries expire between one and two
// periods after their last use. Put starts a new generation early once the current
// one has limit entries, which bounds the map to twice limit entries as long as Get
// does not keep renewing more entries than that.
func NewExpiringMap[V any](period time.Duration, limit int) *ExpiringMap[V] {
	return &ExpiringMap[V]{period: period, limit: limit, young: map[Flow]V{}, old: map[Flow]V{}}
}

// Get returns the value of a flow and renews the entry.
func (m *ExpiringMap[V]) Get(flow Flow) (V, bool) {
	if v, ok := m.young[flow]; ok {
		return v, true
	}
	v, ok := m.old[flow]
	if ok {
		m.young[flow] = v
		delete(m.old, flow)
	}
	return v, ok
}

// Put sets the value of a flow. If the younger generation has limit entries, it
// drops the older one.
func (m *ExpiringMap[V]) Put(flow Flow, v V) {
	m.young[flow] = v
	if len(m.young) >= m.limit {
		m.rotate()
	}
}

// Delete removes the entry of a flow.
func (m *ExpiringMap[V]) Delete(flow Flow) {
	delete(m.young, flow)
	delete(m.old, flow)
}

// All returns an iterator over all entries. Entries may be deleted during the
// iteration.
func (m *ExpiringMap[V]) All() iter.Seq2[Flow, V] {
	return func(yield func(Flow, V) bool) {
		for _, generation := range []map[Flow]V{m.young, m.old} {
			for flow, v := range generation {
				if !yield(flow, v) {
					return
				}
			}
		}
	}
}

// Len returns the number of entries.
func (m *ExpiringMap[V]) Len() int { return len(m.young) + len(m.old) }

// Tick drops the older generation if a period has passed. now is the time since
// the start of the process.
func (m *ExpiringMap[V]) Tick(now time.Duration) {
	if now-m.lastRotation >= m.period {
		m.lastRotation = now
		m.rotate()
	}
}

func (m *ExpiringMap[V]) rotate() {
	m.old = m.young
	m.young = make(map[Flow]V, len(m.old)/2)
}
