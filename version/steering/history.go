package steering

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// MaxPreviousTables is the number of former tables that a History keeps.
	MaxPreviousTables = 3
	// MaxCandidates is the largest number of addresses that Candidates gives.
	MaxCandidates = 1 + MaxPreviousTables
)

// former is a table that was current until the given time.
type former struct {
	table *Table
	until time.Time
}

// History holds the current table of a service and a few former ones. It is
// immutable. The zero value has no table.
type History struct {
	current *Table
	former  []former
	out     []string
}

// Push returns a history with the given table in front. Former tables that were
// replaced before now minus keep are left out. Pushing a table equal to the
// current one keeps the current table.
func (h History) Push(t *Table, now time.Time, keep time.Duration) History {
	next := History{current: t, out: h.out}
	if h.current == nil {
		return next
	}
	if h.current.Equal(t) {
		next.current = h.current
	} else {
		next.former = append(next.former, former{table: h.current, until: now})
	}
	for _, f := range h.former {
		if len(next.former) < MaxPreviousTables && now.Sub(f.until) <= keep {
			next.former = append(next.former, f)
		}
	}
	return next
}

// WithOutDomains returns a history that names no former owner of the given failure
// domains, which are out.
func (h History) WithOutDomains(domains []string) History {
	h.out = domains
	return h
}

// HasExpiredTables tells whether a former table was replaced before now minus keep.
func (h *History) HasExpiredTables(now time.Time, keep time.Duration) bool {
	for _, f := range h.former {
		if now.Sub(f.until) > keep {
			return true
		}
	}
	return false
}

// Current returns the current table, or nil when there is none.
func (h *History) Current() *Table {
	return h.current
}

// Tables returns the current table and the former ones, newest first.
func (h *History) Tables() []*Table {
	if h.current == nil {
		return nil
	}
	tables := []*Table{h.current}
	for _, f := range h.former {
		tables = append(tables, f.table)
	}
	return tables
}

// Candidates writes the agent addresses that may hold a flow into out: first
// the owner under the current table, then the distinct owners under former
// tables, newest first. It returns how many it wrote, 0 when the current table
// has no server.
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
	for i := range h.former {
		n = h.appendOwner(h.former[i].table, hash, out, n)
	}
	return n
}

// appendOwner adds the owner under one table unless it is already listed or out.
func (h *History) appendOwner(t *Table, hash uint64, out *[MaxCandidates]netip.AddrPort, n int) int {
	owner, ok := t.Lookup(hash)
	if !ok || slices.Contains(h.out, t.servers[owner].Domain) {
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
