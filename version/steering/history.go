package steering

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxPreviousTables is the number of previous tables that a History keeps.
	MaxPreviousTables = 3
	// MaxCandidates is the largest number of addresses that Candidates returns.
	MaxCandidates = 1 + MaxPreviousTables
)

// previousTable is a table with the time at which it was replaced.
type previousTable struct {
	table      *Table
	replacedAt time.Time
}

// History holds the current table of a service and its most recent previous
// tables. It is immutable. The zero value has no table.
type History struct {
	current    *Table
	previous   []previousTable
	outDomains []string
}

// Push returns a history with t as the current table and without the previous
// tables that were replaced more than ttl ago. If t is equal to the current table,
// the current table stays.
func (h History) Push(t *Table, now time.Time, ttl time.Duration) History {
	next := History{current: t, outDomains: h.outDomains}
	if h.current == nil {
		return next
	}
	if h.current.Equal(t) {
		next.current = h.current
	} else {
		next.previous = append(next.previous, previousTable{table: h.current, replacedAt: now})
	}
	for _, p := range h.previous {
		if len(next.previous) < MaxPreviousTables && now.Sub(p.replacedAt) <= ttl {
			next.previous = append(next.previous, p)
		}
	}
	return next
}

// WithOutDomains returns a history whose candidates exclude the previous owners in
// the given failure domains, which are out of service.
func (h History) WithOutDomains(domains []string) History {
	h.outDomains = domains
	return h
}

// HasExpiredTables reports whether a previous table was replaced more than ttl ago.
func (h *History) HasExpiredTables(now time.Time, ttl time.Duration) bool {
	for _, p := range h.previous {
		if now.Sub(p.replacedAt) > ttl {
			return true
		}
	}
	return false
}

// Current returns the current table, or nil if there is none.
func (h *History) Current() *Table {
	return h.current
}

// Tables returns the current table and the previous ones, newest first.
func (h *History) Tables() []*Table {
	if h.current == nil {
		return nil
	}
	tables := []*Table{h.current}
	for _, p := range h.previous {
		tables = append(tables, p.table)
	}
	return tables
}

// Candidates writes into out the addresses of the agents that may own a flow:
// first the owner in the current table, then the distinct owners in previous
// tables, newest first. It returns the number of addresses, which is 0 if the
// current table has no server.
func (h *History) Candidates(hash uint64, out *[MaxCandidates]netip.AddrPort) int {
	if h.current == nil {
		return 0
	}
	owner, ok := h.current.Lookup(hash)
	if !ok {
		return 0
	}
	out[0] = h.current.servers[owner].Addr
	n := 1
	for i := range h.previous {
		n = h.appendOwner(h.previous[i].table, hash, out, n)
	}
	return n
}

// appendOwner adds the owner in one table unless it is already listed or its
// failure domain is out of service.
func (h *History) appendOwner(t *Table, hash uint64, out *[MaxCandidates]netip.AddrPort, n int) int {
	owner, ok := t.Lookup(hash)
	if !ok || slices.Contains(h.outDomains, t.servers[owner].Domain) {
		return n
	}
	addr := t.servers[owner].Addr
	for _, listed := range out[:n] {
		if listed == addr {
			return n
		}
	}
	out[n] = addr
	return n + 1
}
