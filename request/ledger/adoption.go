package ledger

import (
	"slices"
	"time"
)

// Statement is what a peer says about its own memory.
type Statement struct {
	// Since is the earliest time for which the peer vouches for every key.
	Since time.Time
	// Quorum is the largest number of grants that a claim has needed since then.
	Quorum int
}

// PlanAdoption returns the earliest time for which a new home can vouch after it
// has learned every key from the given peers, and the number of grants needed
// since then. It needs as many peers as a claim needs grants, so that they share
// an agent with every claim that has succeeded.
func PlanAdoption(statements []Statement, quorum int) (Statement, bool) {
	sorted := slices.Clone(statements)
	slices.SortFunc(sorted, func(a, b Statement) int { return a.Since.Compare(b.Since) })
	for needed := quorum; needed <= len(sorted) && needed > 0; {
		largest := quorum
		for _, s := range sorted[:needed] {
			largest = max(largest, s.Quorum)
		}
		if largest <= needed {
			return Statement{Since: sorted[needed-1].Since, Quorum: largest}, true
		}
		needed = largest
	}
	return Statement{}, false
}

// VouchesSince returns the earliest time for which the agent vouches for every
// key, with the number of grants needed since then.
func (b *Book) VouchesSince() (Statement, bool) {
	since, quorum, ok := b.ring.VouchesSince()
	if since.Before(b.floor) {
		since = b.floor
	}
	return Statement{Since: since, Quorum: quorum}, ok
}
