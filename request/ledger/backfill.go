package ledger

import (
	"slices"
	"time"
)

// Coverage is the period for which a replica has a complete record of claims.
type Coverage struct {
	// Since is the earliest time from which the record is complete for every key.
	Since time.Time
	// Quorum is the largest number of grants that a claim has needed since then.
	Quorum int
}

// PlanBackfill returns the coverage of a new replica after it has copied the
// records of peers with the given coverages. It needs as many peers as a claim
// needs grants: then at least one of them has granted each claim that succeeded.
// It returns false if there are too few peers.
func PlanBackfill(peers []Coverage, quorum int) (Coverage, bool) {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Coverage) int { return a.Since.Compare(b.Since) })
	for needed := quorum; needed <= len(sorted) && needed > 0; {
		largest := quorum
		for _, c := range sorted[:needed] {
			largest = max(largest, c.Quorum)
		}
		if largest <= needed {
			return Coverage{Since: sorted[needed-1].Since, Quorum: largest}, true
		}
		needed = largest
	}
	return Coverage{}, false
}

// Coverage returns the period for which the record is complete for every key. It
// returns false if there is none, or if it differs from key to key.
func (r *Replica) Coverage() (Coverage, bool) {
	since, quorum, ok := r.membership.CoveredSince()
	if since.Before(r.coverageFloor) {
		since = r.coverageFloor
	}
	return Coverage{Since: since, Quorum: quorum}, ok
}
