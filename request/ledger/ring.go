package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxReplicas is the number of homes of a key in a service with that many agents
	// or more.
	MaxReplicas = 7
	// removalTimeout is how long an agent that vanished without leaving stays a
	// member.
	removalTimeout = 30 * time.Second
)

// Member is an agent of the service as its peers see it.
type Member struct {
	// Name is the name of its backend server.
	Name string
	// Draining tells that it has announced its end.
	Draining bool
}

// view is the set of members from a time on.
type view struct {
	since      time.Time
	members []string
}

// Membership holds the members of a service and their history over the retention. An
// agent that vanishes without leaving may be alive behind a cut, so it stays a
// member for a while, and for good when fewer than a majority would remain. It
// is not safe for concurrent use.
type Membership struct {
	self    string
	views []view
	draining map[string]bool
	missingSince map[string]time.Time

	alive   map[string]bool
	confirmed bool

	backfilledSince  time.Time
	backfilledQuorum int
}

// NewMembership returns the ring of the agent self before it knows its peers.
func NewMembership(self string) *Membership {
	return &Membership{
		self:    self,
		draining: make(map[string]bool),
		missingSince: make(map[string]time.Time),
	}
}

// Known tells whether the peers are known.
func (r *Membership) Known() bool { return len(r.views) > 0 }

// Members returns the members at present, sorted.
func (r *Membership) Members() []string {
	if !r.Known() {
		return nil
	}
	return r.views[len(r.views)-1].members
}

// Update takes the agents that are seen alive. The agent itself need not be
// among them.
func (r *Membership) Update(alive []Member, now time.Time) {
	present := map[string]bool{r.self: true}
	for _, m := range alive {
		present[m.Name] = true
		r.draining[m.Name] = m.Draining
	}
	r.alive = present
	r.updateMissing(present, now)
	next := r.nextMembers(present, now)
	if !r.Known() || !slices.Equal(next, r.Members()) {
		r.views = append(r.views, view{since: now, members: next})
	}
	r.pruneViews(now)
	if len(r.Members()) == 1 && now.Sub(r.views[0].since) >= PropagationDelay {
		r.confirmed = true
	}
}

// Confirmed tells whether the members that peers remember are known too. Before
// that the agent vouches for nothing.
func (r *Membership) Confirmed() bool { return r.confirmed }

// AlivePeers returns the other members that are seen alive.
func (r *Membership) AlivePeers() []string {
	var others []string
	for _, name := range r.Members() {
		if r.alive[name] && name != r.self {
			others = append(others, name)
		}
	}
	return others
}

// PeerView is what a peer says about the members.
type PeerView struct {
	// Members are the members that the peer counts.
	Members []string
	// Confirmed tells whether the peer has confirmed them itself.
	Confirmed bool
}

// Confirm takes the members that peers count, so that an agent which has just
// started also counts those that it has never seen alive. One confirmed peer is
// enough; in a service that has just started, every peer has to answer.
func (r *Membership) Confirm(replies []PeerView, now time.Time) {
	if !r.Known() || r.confirmed {
		return
	}
	settled := len(replies) >= len(r.AlivePeers())
	members := slices.Clone(r.Members())
	for _, reply := range replies {
		settled = settled || reply.Confirmed
		members = append(members, reply.Members...)
	}
	if !settled {
		return
	}
	slices.Sort(members)
	members = slices.Compact(members)
	for _, name := range members {
		if !r.alive[name] {
			r.missingSince[name] = now
		}
	}
	if !slices.Equal(members, r.Members()) {
		r.views = append(r.views, view{since: now, members: members})
	}
	r.confirmed = true
}

func (r *Membership) updateMissing(present map[string]bool, now time.Time) {
	for name := range present {
		delete(r.missingSince, name)
	}
	for _, name := range r.Members() {
		if _, ok := r.missingSince[name]; !ok && !present[name] {
			r.missingSince[name] = now
		}
	}
}

// nextMembers returns the members after an update: everyone present, and those missing
// that must not be dropped yet.
func (r *Membership) nextMembers(present map[string]bool, now time.Time) []string {
	members := make([]string, 0, len(present))
	for name := range present {
		members = append(members, name)
	}
	majority := r.majorityAlive(present)
	for _, name := range r.Members() {
		silent := now.Sub(r.missingSince[name]) >= removalTimeout
		if !present[name] && !r.draining[name] && (!silent || !majority) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// majorityAlive tells whether most of the members that have not left are
// present. Only then may silent ones be dropped: the other side of a cut, which
// sees the opposite, must not.
func (r *Membership) majorityAlive(present map[string]bool) bool {
	staying, remaining := 0, 0
	for _, name := range r.Members() {
		switch {
		case present[name]:
			staying++
			remaining++
		case !r.draining[name]:
			staying++
		}
	}
	return remaining >= majorityOf(staying)
}

// pruneViews drops what lies before every time that a key can ask for.
func (r *Membership) pruneViews(now time.Time) {
	horizon := now.Add(-Retention - MaxSkew - PropagationDelay)
	for len(r.views) > 1 && r.views[1].since.Before(horizon) {
		r.views = r.views[1:]
	}
}

// Replicas returns the homes of the key at present.
func (r *Membership) Replicas(key string) []string {
	return selectReplicas(r.Members(), key)
}

// Quorum returns the number of grants that a claim needs by the present members.
func (r *Membership) Quorum(key string) int {
	return majorityOf(len(r.Replicas(key)))
}

// Covers tells whether the agent has been a home of the key since the given time,
// and the largest number of grants that a claim has needed since then.
func (r *Membership) Covers(key string, since, now time.Time) (quorum int, ok bool) {
	if !r.confirmed {
		return 0, false
	}
	start := since.Add(-PropagationDelay)
	ok = !start.Before(r.views[0].since)
	if r.coveredByBackfill(since) {
		ok = true
		quorum = r.backfilledQuorum
	}
	for i, c := range r.views {
		over := i+1 < len(r.views) && !r.views[i+1].since.After(start)
		if over || c.since.After(now) {
			continue
		}
		chosen := selectReplicas(c.members, key)
		quorum = max(quorum, majorityOf(len(chosen)))
		if !slices.Contains(chosen, r.self) {
			ok = false
		}
	}
	return quorum, ok
}

func (r *Membership) coveredByBackfill(since time.Time) bool {
	return r.backfilledQuorum > 0 && !since.Before(r.backfilledSince)
}

// CoveredSince returns the earliest time for which the agent vouches for every
// key, and the largest number of grants needed since then. It tells false in a
// service with more agents than homes, where it differs from key to key.
func (r *Membership) CoveredSince() (since time.Time, quorum int, ok bool) {
	if !r.confirmed {
		return time.Time{}, 0, false
	}
	for _, c := range r.views {
		if len(c.members) > MaxReplicas {
			return time.Time{}, 0, false
		}
		quorum = max(quorum, majorityOf(len(c.members)))
	}
	if r.backfilledQuorum > 0 {
		return r.backfilledSince, max(quorum, r.backfilledQuorum), true
	}
	return r.views[0].since.Add(PropagationDelay), quorum, true
}

// Backfill notes that the agent has learned every claim since the given time from
// peers that vouch for it.
func (r *Membership) Backfill(since time.Time, quorum int) {
	r.backfilledSince = since
	r.backfilledQuorum = quorum
}

func majorityOf(n int) int { return n/2 + 1 }

// selectReplicas returns the members with the highest hash of key and name.
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
	chosen := make([]string, 0, MaxReplicas)
	for _, m := range ranked[:MaxReplicas] {
		chosen = append(chosen, m.name)
	}
	return chosen
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

// Backfilled tells whether the agent has learned the keys of its peers.
func (r *Membership) Backfilled() bool { return r.backfilledQuorum > 0 }
