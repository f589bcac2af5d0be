package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// homeCount is the number of home balancers of a server.
	homeCount = 3
	// localHomeCount is the number of homes in the server's own failure domain.
	localHomeCount = 2
)

// homeTable holds the live balancers by failure domain.
type homeTable struct {
	domains []homeDomain
}

type homeDomain struct {
	name  string
	hash  uint64
	peers []homePeer
}

type homePeer struct {
	hash uint64
	peer *peerEntry
}

// newHomeTable builds the table from the live balancers, which may be in any order.
func newHomeTable(peers []*peerEntry) *homeTable {
	table := &homeTable{}
	for _, entry := range peers {
		i := slices.IndexFunc(table.domains, func(d homeDomain) bool { return d.name == entry.peer.Domain })
		if i < 0 {
			i = len(table.domains)
			table.domains = append(table.domains, homeDomain{name: entry.peer.Domain, hash: xxhash.Sum64String(entry.peer.Domain)})
		}
		table.domains[i].peers = append(table.domains[i].peers, homePeer{hash: entry.hash, peer: entry})
	}
	return table
}

// homes returns the home balancers of a server by rendezvous hashing: two of
// its own failure domain and the best one of another domain. If its own failure
// domain has fewer, further domains provide one each; if no other domain has a
// balancer, its own provides all.
func (t *homeTable) homes(serverHash uint64, domain string) []*peerEntry {
	chosen := make([]*peerEntry, 0, homeCount)
	own := slices.IndexFunc(t.domains, func(d homeDomain) bool { return d.name == domain })
	if own >= 0 {
		chosen = t.domains[own].best(serverHash, localHomeCount, chosen)
	}
	last := -1
	for len(chosen) < homeCount {
		next := t.nextDomain(serverHash, own, last)
		if next < 0 {
			break
		}
		chosen = t.domains[next].best(serverHash, 1, chosen)
		last = next
	}
	if own >= 0 && len(chosen) < homeCount {
		chosen = t.domains[own].best(serverHash, homeCount, chosen)
	}
	return chosen
}

// nextDomain returns the index of the best failure domain other than own that
// ranks below last, or -1. If last is -1, all domains are considered.
func (t *homeTable) nextDomain(serverHash uint64, own, last int) int {
	best := -1
	for i := range t.domains {
		below := last < 0 || t.ranksBelow(serverHash, i, last)
		if i != own && below && (best < 0 || t.ranksBelow(serverHash, best, i)) {
			best = i
		}
	}
	return best
}

// ranksBelow reports whether a failure domain ranks below another one for a
// server.
func (t *homeTable) ranksBelow(serverHash uint64, domain, other int) bool {
	return cmp.Or(
		cmp.Compare(mix(serverHash, t.domains[domain].hash), mix(serverHash, t.domains[other].hash)),
		cmp.Compare(t.domains[domain].name, t.domains[other].name),
	) < 0
}

// best appends the balancers with the highest scores that are not yet chosen,
// at most count of them.
func (d *homeDomain) best(serverHash uint64, count int, chosen []*peerEntry) []*peerEntry {
	for range count {
		if len(chosen) == homeCount {
			return chosen
		}
		var top *peerEntry
		var topScore uint64
		for _, candidate := range d.peers {
			score := mix(serverHash, candidate.hash)
			if top != nil && score <= topScore {
				continue
			}
			if slices.Contains(chosen, candidate.peer) {
				continue
			}
			top, topScore = candidate.peer, score
		}
		if top == nil {
			return chosen
		}
		chosen = append(chosen, top)
	}
	return chosen
}

// homesHash returns a hash of a set of homes that does not depend on their order.
func homesHash(names []string) uint64 {
	var sum uint64
	for _, name := range names {
		sum += xxhash.Sum64String(name)
	}
	return sum
}

// mix returns a well-distributed hash of two hashes (the finalizer of SplitMix64
// over their combination).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
