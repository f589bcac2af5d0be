package ledger

import (
	"slices"
	"time"
)

// Coverage is what a peer says about its own memory.
type Coverage struct {
	// Since is the earliest time for which the peer vouches for every key.
	Since time.Time
	// Quorum is the largest number of grants that a claim has needed since then.
	Quorum int
}

// PlanBackfill returns the earliest time for which a new home can vouch after it
// has learned every key from the given peers, and the number of grants needed
// since then. It needs as many peers as a claim needs grants, so that they share
// an agent with every claim that has succeeded.
func PlanBackfill(statements []Coverage, quorum int) (Coverage, bool) {
	sorted := slices.Clone(statements)
	slices.SortFunc(sorted, func(a, b Coverage) int { return a.Since.Compare(b.Since) })
	for needed := quorum; needed <= len(sorted) && needed > 0; {
		largest := quorum
		for _, s := range sorted[:needed] {
			largest = max(largest, s.Quorum)
		}
		if largest <= needed {
			return Coverage{Since: sorted[needed-1].Since, Quorum: largest}, true
		}
		needed = largest
	}
	return Coverage{}, false
}

// Coverage returns the earliest time for which the agent vouches for every
// key, with the number of grants needed since then.
func (b *Replica) Coverage() (Coverage, bool) {
	since, quorum, ok := b.membership.CoveredSince()
	if since.Before(b.coverageFloor) {
		since = b.coverageFloor
	}
	return Coverage{Since: since, Quorum: quorum}, ok
}
