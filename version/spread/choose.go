package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersPerDomain is the number of processes of a failure domain that
	// watch the store.
	watchersPerDomain = 2
	// notices is the number of peers that a process tells about a new version.
	notices = 4
	// localNotices is how many of them are of its own failure domain.
	localNotices = 3
	// remoteShare is the share of regular questions that leave the failure
	// domain, one in so many.
	remoteShare = 4
)

// others returns the peers without self.
func others(peers []Peer, self Peer) []Peer {
	kept := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.Name != self.Name {
			kept = append(kept, p)
		}
	}
	return kept
}

// score ranks a process as a watcher of its failure domain.
func score(p Peer) uint64 {
	return xxhash.Sum64String(p.Domain + "\x00" + p.Name)
}

// isWatcher tells whether self is among the highest ranked processes of its
// failure domain.
func isWatcher(self Peer, peers []Peer) bool {
	own := score(self)
	above := 0
	for _, p := range peers {
		if p.Domain != self.Domain {
			continue
		}
		rank := score(p)
		if rank > own || rank == own && p.Name > self.Name {
			above++
		}
	}
	return above < watchersPerDomain
}

// choose returns up to count random peers, up to local of them of the own
// failure domain as long as there are others.
func (m *machine) choose(count, local int) []Peer {
	near, far := m.shuffled()
	local = min(local, len(near))
	remote := min(count-local, len(far))
	local = min(count-remote, len(near))
	return append(near[:local:local], far[:remote]...)
}

// chooseOne returns a random peer, mostly of the own failure domain. There must
// be a peer.
func (m *machine) chooseOne() Peer {
	near, far := m.shuffled()
	if len(near) == 0 || len(far) > 0 && m.random.IntN(remoteShare) == 0 {
		return far[0]
	}
	return near[0]
}

// shuffled returns the peers of the own failure domain and the others, each in
// random order.
func (m *machine) shuffled() (near, far []Peer) {
	peers := slices.Clone(m.peers)
	m.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, p := range peers {
		if p.Domain == m.self.Domain {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}
