package spread

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersPerDomain is the number of processes of a failure domain that
	// watch the store.
	watchersPerDomain = 2
	// notifyFanout is the number of peers that a process notifies of a new version.
	notifyFanout = 4
	// localNotifyFanout is how many of them are in its own failure domain.
	localNotifyFanout = 3
	// remoteQueryRatio is the ratio of all periodic queries to those that go to
	// another failure domain.
	remoteQueryRatio = 4
)

// setPeers replaces the peers and splits them into those in the same failure
// domain and the others.
func (m *machine) setPeers(peers []Peer) {
	m.localPeers = m.localPeers[:0]
	m.remotePeers = m.remotePeers[:0]
	for _, p := range peers {
		switch {
		case p.Name == m.self.Name:
		case p.Domain == m.self.Domain:
			m.localPeers = append(m.localPeers, p)
		default:
			m.remotePeers = append(m.remotePeers, p)
		}
	}
}

// peerCount returns the number of known peers.
func (m *machine) peerCount() int {
	return len(m.localPeers) + len(m.remotePeers)
}

// watcherRank returns the rendezvous hash by which the watchers of a failure domain
// are chosen; the highest ranks win.
func watcherRank(p Peer) uint64 {
	return xxhash.Sum64String(p.Domain + "\x00" + p.Name)
}

// isWatcher reports whether self is among the highest ranked processes of its
// failure domain. localPeers are the other processes of the failure domain.
func isWatcher(self Peer, localPeers []Peer) bool {
	selfRank := watcherRank(self)
	above := 0
	for _, p := range localPeers {
		rank := watcherRank(p)
		if rank > selfRank || rank == selfRank && p.Name > self.Name {
			above++
		}
	}
	return above < watchersPerDomain
}

// samplePeers returns up to count random peers. At most local of them are in the
// same failure domain, unless there are too few peers in the others.
func (m *machine) samplePeers(count, local int) []Peer {
	local = min(local, len(m.localPeers))
	remote := min(count-local, len(m.remotePeers))
	local = min(count-remote, len(m.localPeers))
	return append(m.sample(m.localPeers, local), m.sample(m.remotePeers, remote)...)
}

// randomPeer returns a random peer, usually one in the same failure domain. There
// must be at least one peer.
func (m *machine) randomPeer() Peer {
	if len(m.localPeers) == 0 || len(m.remotePeers) > 0 && m.random.IntN(remoteQueryRatio) == 0 {
		return m.sample(m.remotePeers, 1)[0]
	}
	return m.sample(m.localPeers, 1)[0]
}

// sample returns count random peers of a list. It reorders the list.
func (m *machine) sample(list []Peer, count int) []Peer {
	for i := range count {
		j := i + m.random.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return slices.Clone(list[:count])
}
