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

// know replaces the peers, sorted into those of the own failure domain and the
// others.
func (m *machine) know(peers []Peer) {
	m.near = m.near[:0]
	m.far = m.far[:0]
	for _, p := range peers {
		switch {
		case p.Name == m.self.Name:
		case p.Domain == m.self.Domain:
			m.near = append(m.near, p)
		default:
			m.far = append(m.far, p)
		}
	}
}

// peerCount returns the number of known peers.
func (m *machine) peerCount() int {
	return len(m.near) + len(m.far)
}

// score ranks a process as a watcher of its failure domain.
func score(p Peer) uint64 {
	return xxhash.Sum64String(p.Domain + "\x00" + p.Name)
}

// isWatcher tells whether self is among the highest ranked processes of its
// failure domain, whose others are near.
func isWatcher(self Peer, near []Peer) bool {
	own := score(self)
	above := 0
	for _, p := range near {
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
	local = min(local, len(m.near))
	remote := min(count-local, len(m.far))
	local = min(count-remote, len(m.near))
	return append(m.draw(m.near, local), m.draw(m.far, remote)...)
}

// chooseOne returns a random peer, mostly of the own failure domain. There must
// be a peer.
func (m *machine) chooseOne() Peer {
	if len(m.near) == 0 || len(m.far) > 0 && m.random.IntN(remoteShare) == 0 {
		return m.draw(m.far, 1)[0]
	}
	return m.draw(m.near, 1)[0]
}

// draw returns count random peers of a list and changes its order.
func (m *machine) draw(list []Peer, count int) []Peer {
	for i := range count {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return slices.Clone(list[:count])
}
