package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxReplicas is the number of replicas of a key in a service with that many
	// agents or more.
	MaxReplicas = 7
	// removalTimeout is how long an agent that disappeared without draining stays
	// a member.
	removalTimeout = 30 * time.Second
)

// Member is an agent of the service as its peers see it.
type Member struct {
	// Name is the name of its backend server.
	Name string
	// Draining is true if it has announced its shutdown.
	Draining bool
}

// view is the set of members since a point in time.
type view struct {
	since   time.Time
	members []string
}

// Membership holds the members of a service and their history over the
// retention. An agent that disappears without draining may be running behind a
// network partition, so it stays a member for removalTimeout, and indefinitely
// while fewer than a majority of the members are alive. It is not safe for
// concurrent use.
type Membership struct {
	self         string
	views        []view
	draining     map[string]bool
	missingSince map[string]time.Time

	alive     map[string]bool
	confirmed bool

	backfilledSince  time.Time
	backfilledQuorum int
}

// NewMembership returns the membership of the agent self, which does not know
// its peers yet.
func NewMembership(self string) *Membership {
	return &Membership{
		self:         self,
		draining:     make(map[string]bool),
		missingSince: make(map[string]time.Time),
	}
}

// Known reports whether the members are known.
func (m *Membership) Known() bool { return len(m.views) > 0 }

// Members returns the current members, sorted.
func (m *Membership) Members() []string {
	if !m.Known() {
		return nil
	}
	return m.views[len(m.views)-1].members
}

// Update sets the agents that are alive. The agent itself need not be among
// them.
func (m *Membership) Update(agents []Member, now time.Time) {
	alive := map[string]bool{m.self: true}
	for _, agent := range agents {
		alive[agent.Name] = true
		m.draining[agent.Name] = agent.Draining
	}
	m.alive = alive
	m.updateMissing(alive, now)
	next := m.nextMembers(alive, now)
	if !m.Known() || !slices.Equal(next, m.Members()) {
		m.views = append(m.views, view{since: now, members: next})
	}
	m.pruneViews(now)
	if len(m.Members()) == 1 && now.Sub(m.views[0].since) >= PropagationDelay {
		m.confirmed = true
	}
}

// Confirmed reports whether the members have been merged with those that the
// peers report. Until then the agent covers no key.
func (m *Membership) Confirmed() bool { return m.confirmed }

// AlivePeers returns the other members that are alive.
func (m *Membership) AlivePeers() []string {
	var peers []string
	for _, name := range m.Members() {
		if m.alive[name] && name != m.self {
			peers = append(peers, name)
		}
	}
	return peers
}

// PeerView is the set of members that a peer reports.
type PeerView struct {
	// Members are the current members as the peer sees them.
	Members []string
	// Confirmed is true if the peer itself has confirmed them.
	Confirmed bool
}

// Confirm adds the members that peers report, so that an agent which has just
// started also counts those that it has never seen alive. One confirmed peer is
// enough; in a service that has just started, every peer has to reply.
func (m *Membership) Confirm(replies []PeerView, now time.Time) {
	if !m.Known() || m.confirmed {
		return
	}
	sufficient := len(replies) >= len(m.AlivePeers())
	members := slices.Clone(m.Members())
	for _, reply := range replies {
		sufficient = sufficient || reply.Confirmed
		members = append(members, reply.Members...)
	}
	if !sufficient {
		return
	}
	slices.Sort(members)
	members = slices.Compact(members)
	for _, name := range members {
		if !m.alive[name] {
			m.missingSince[name] = now
		}
	}
	if !slices.Equal(members, m.Members()) {
		m.views = append(m.views, view{since: now, members: members})
	}
	m.confirmed = true
}

func (m *Membership) updateMissing(alive map[string]bool, now time.Time) {
	for name := range alive {
		delete(m.missingSince, name)
	}
	for _, name := range m.Members() {
		if _, ok := m.missingSince[name]; !ok && !alive[name] {
			m.missingSince[name] = now
		}
	}
}

// nextMembers returns the members after an update: those alive, and those
// missing that must not be removed yet.
func (m *Membership) nextMembers(alive map[string]bool, now time.Time) []string {
	members := make([]string, 0, len(alive))
	for name := range alive {
		members = append(members, name)
	}
	majority := m.majorityAlive(alive)
	for _, name := range m.Members() {
		timedOut := now.Sub(m.missingSince[name]) >= removalTimeout
		if !alive[name] && !m.draining[name] && (!timedOut || !majority) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// majorityAlive reports whether a majority of the members, not counting those
// that drained and are gone, is alive. Only then may missing members be removed:
// the minority side of a network partition must keep them.
func (m *Membership) majorityAlive(alive map[string]bool) bool {
	total, remaining := 0, 0
	for _, name := range m.Members() {
		switch {
		case alive[name]:
			total++
			remaining++
		case !m.draining[name]:
			total++
		}
	}
	return remaining >= majorityOf(total)
}

// pruneViews removes the views that ended before the earliest time for which the
// coverage of a key can be needed.
func (m *Membership) pruneViews(now time.Time) {
	horizon := now.Add(-Retention - MaxSkew - PropagationDelay)
	for len(m.views) > 1 && m.views[1].since.Before(horizon) {
		m.views = m.views[1:]
	}
}

// Replicas returns the current replicas of the key.
func (m *Membership) Replicas(key string) []string {
	return selectReplicas(m.Members(), key)
}

// Quorum returns the number of grants that a claim needs with the current
// members.
func (m *Membership) Quorum(key string) int {
	return majorityOf(len(m.Replicas(key)))
}

// Covers reports whether the agent has been a replica of the key since the given
// time, and returns the largest number of grants that a claim has needed since
// then.
func (m *Membership) Covers(key string, since, now time.Time) (quorum int, ok bool) {
	if !m.confirmed {
		return 0, false
	}
	start := since.Add(-PropagationDelay)
	ok = !start.Before(m.views[0].since)
	if m.coveredByBackfill(since) {
		ok = true
		quorum = m.backfilledQuorum
	}
	for i, v := range m.views {
		ended := i+1 < len(m.views) && !m.views[i+1].since.After(start)
		if ended || v.since.After(now) {
			continue
		}
		replicas := selectReplicas(v.members, key)
		quorum = max(quorum, majorityOf(len(replicas)))
		if !slices.Contains(replicas, m.self) {
			ok = false
		}
	}
	return quorum, ok
}

func (m *Membership) coveredByBackfill(since time.Time) bool {
	return m.backfilledQuorum > 0 && !since.Before(m.backfilledSince)
}

// CoveredSince returns the earliest time from which the agent covers every key,
// and the largest number of grants needed since then. It returns false in a
// service with more than MaxReplicas agents, where the coverage differs from key
// to key.
func (m *Membership) CoveredSince() (since time.Time, quorum int, ok bool) {
	if !m.confirmed {
		return time.Time{}, 0, false
	}
	for _, v := range m.views {
		if len(v.members) > MaxReplicas {
			return time.Time{}, 0, false
		}
		quorum = max(quorum, majorityOf(len(v.members)))
	}
	if m.backfilledQuorum > 0 {
		return m.backfilledSince, max(quorum, m.backfilledQuorum), true
	}
	return m.views[0].since.Add(PropagationDelay), quorum, true
}

// Backfill records that the agent has copied every claim since the given time
// from peers that cover it.
func (m *Membership) Backfill(since time.Time, quorum int) {
	m.backfilledSince = since
	m.backfilledQuorum = quorum
}

func majorityOf(n int) int { return n/2 + 1 }

// selectReplicas chooses the replicas of the key by rendezvous hashing.
func selectReplicas(members []string, key string) []string {
	if len(members) <= MaxReplicas {
		return members
	}
	ranked := make([]rankedMember, 0, len(members))
	for _, name := range members {
		ranked = append(ranked, rankedMember{name, score(key, name)})
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	replicas := make([]string, 0, MaxReplicas)
	for _, member := range ranked[:MaxReplicas] {
		replicas = append(replicas, member.name)
	}
	return replicas
}

type rankedMember struct {
	name  string
	score uint64
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Backfilled reports whether the agent has copied the records of its peers.
func (m *Membership) Backfilled() bool { return m.backfilledQuorum > 0 }
