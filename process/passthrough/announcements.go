package passthrough

import (
	"math/rand/v2"
	"slices"
	"sync"

	"bergamotbank/connection/passthrough"
	"bergamotbank/process/roster"
	"bergamotbank/version/routes"
)

// maxAnnouncements limits the peers that are kept as sources of newer versions, for the
// own failure domain and for the others.
const maxAnnouncements = 8

// announcement is a version that is active at a peer.
type announcement struct {
	revision routes.Revision
	// held is the digest of the entries that the store has lost in the version.
	held uint16
	peer passthrough.Endpoint
}

// announcements are the versions newer than the active one that heartbeats have announced.
type announcements struct {
	domain string
	// arrived signals an announcement.
	arrived chan struct{}

	mu                      sync.Mutex
	ownDomain, otherDomains []announcement
	// merged are the digests of held entries that were fetched in an era.
	merged    []uint16
	mergedEra uint64
}

func newAnnouncements(domain string) *announcements {
	return &announcements{domain: domain, arrived: make(chan struct{}, 1)}
}

// add records the version of a member. It never blocks.
func (a *announcements) add(m roster.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.list(m.Domain == a.domain)
	added := announcement{m.Version, m.Held, m.Peer}
	switch at := slices.IndexFunc(*list, func(other announcement) bool { return other.peer == m.Peer }); {
	case at >= 0:
		(*list)[at] = added
	case len(*list) < maxAnnouncements:
		*list = append(*list, added)
	default:
		(*list)[rand.IntN(maxAnnouncements)] = added
	}
	a.signal()
}

// list returns the announcements of the own failure domain or of the others.
func (a *announcements) list(ownDomain bool) *[]announcement {
	if ownDomain {
		return &a.ownDomain
	}
	return &a.otherDomains
}

func (a *announcements) signal() {
	select {
	case a.arrived <- struct{}{}:
	default:
	}
}

// newest returns a peer of the own failure domain, or of the others, with the newest
// version announced there, and false if none is newer than the active one or contains entries
// that the store has lost and that were not fetched yet. Among several such peers it selects one at random, so that a
// domain's processes use different ones.
func (a *announcements) newest(active routes.Revision, ownDomain bool) (announcement, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var best announcement
	count := 0
	for _, candidate := range *a.list(ownDomain) {
		wanted := candidate.revision.Newer(active) || a.hasUnknownHeld(candidate, active)
		if !wanted || best.revision.Newer(candidate.revision) {
			continue
		}
		if candidate.revision.Newer(best.revision) {
			count = 0
		}
		count++
		if rand.IntN(count) == 0 {
			best = candidate
		}
	}
	return best, count > 0
}

// hasUnknownHeld reports whether a version of the active era has held entries that were not
// fetched yet. The caller holds mu.
func (a *announcements) hasUnknownHeld(candidate announcement, active routes.Revision) bool {
	return candidate.revision.Era == active.Era && candidate.held != 0 && (a.mergedEra != active.Era || !slices.Contains(a.merged, candidate.held))
}

// setMerged records that the held entries with a digest are known.
func (a *announcements) setMerged(era uint64, held uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era != a.mergedEra {
		a.merged, a.mergedEra = nil, era
	}
	a.merged = append(a.merged, held)
}

// remove removes a peer that did not respond or does not have the version.
func (a *announcements) remove(peer passthrough.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ownDomain := range []bool{true, false} {
		list := a.list(ownDomain)
		*list = slices.DeleteFunc(*list, func(other announcement) bool { return other.peer == peer })
	}
}
