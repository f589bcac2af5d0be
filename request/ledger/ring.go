package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxHomes is the number of homes of a key in a service with that many agents
	// or more.
	MaxHomes = 7
	// silentPeriod is how long an agent that vanished without leaving stays a
	// member.
	silentPeriod = 30 * time.Second
)

// Member is an agent of the service as its peers see it.
type Member struct {
	// Name is the name of its backend server.
	Name string
	// Leaving tells that it has announced its end.
	Leaving bool
}

// change is the set of members from a time on.
type change struct {
	at      time.Time
	members []string
}

// Ring holds the members of a service and their history over the retention. An
// agent that vanishes without leaving may be alive behind a cut, so it stays a
// member for a while, and for good when fewer than a majority would remain. It
// is not safe for concurrent use.
type Ring struct {
	self    string
	history []change
	leaving map[string]bool
	missing map[string]time.Time

	present   map[string]bool
	confirmed bool

	adoptedSince  time.Time
	adoptedQuorum int
}

// NewRing returns the ring of the agent self before it knows its peers.
func NewRing(self string) *Ring {
	return &Ring{
		self:    self,
		leaving: make(map[string]bool),
		missing: make(map[string]time.Time),
	}
}

// Known tells whether the peers are known.
func (r *Ring) Known() bool { return len(r.history) > 0 }

// Members returns the members at present, sorted.
func (r *Ring) Members() []string {
	if !r.Known() {
		return nil
	}
	return r.history[len(r.history)-1].members
}

// Update takes the agents that are seen alive. The agent itself need not be
// among them.
func (r *Ring) Update(alive []Member, now time.Time) {
	present := map[string]bool{r.self: true}
	for _, m := range alive {
		present[m.Name] = true
		r.leaving[m.Name] = m.Leaving
	}
	r.present = present
	r.noteMissing(present, now)
	next := r.next(present, now)
	if !r.Known() || !slices.Equal(next, r.Members()) {
		r.history = append(r.history, change{at: now, members: next})
	}
	r.forget(now)
	if len(r.Members()) == 1 && now.Sub(r.history[0].at) >= PropagationDelay {
		r.confirmed = true
	}
}

// Confirmed tells whether the members that peers remember are known too. Before
// that the agent vouches for nothing.
func (r *Ring) Confirmed() bool { return r.confirmed }

// Present returns the other members that are seen alive.
func (r *Ring) Present() []string {
	var others []string
	for _, name := range r.Members() {
		if r.present[name] && name != r.self {
			others = append(others, name)
		}
	}
	return others
}

// Knowledge is what a peer says about the members.
type Knowledge struct {
	// Members are the members that the peer counts.
	Members []string
	// Confirmed tells whether the peer has confirmed them itself.
	Confirmed bool
}

// Confirm takes the members that peers count, so that an agent which has just
// started also counts those that it has never seen alive. One confirmed peer is
// enough; in a service that has just started, every peer has to answer.
func (r *Ring) Confirm(replies []Knowledge, now time.Time) {
	if !r.Known() || r.confirmed {
		return
	}
	settled := len(replies) >= len(r.Present())
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
		if !r.present[name] {
			r.missing[name] = now
		}
	}
	if !slices.Equal(members, r.Members()) {
		r.history = append(r.history, change{at: now, members: members})
	}
	r.confirmed = true
}

func (r *Ring) noteMissing(present map[string]bool, now time.Time) {
	for name := range present {
		delete(r.missing, name)
	}
	for _, name := range r.Members() {
		if _, ok := r.missing[name]; !ok && !present[name] {
			r.missing[name] = now
		}
	}
}

// next returns the members after an update: everyone present, and those missing
// that must not be dropped yet.
func (r *Ring) next(present map[string]bool, now time.Time) []string {
	members := make([]string, 0, len(present))
	for name := range present {
		members = append(members, name)
	}
	majority := r.majorityPresent(present)
	for _, name := range r.Members() {
		silent := now.Sub(r.missing[name]) >= silentPeriod
		if !present[name] && !r.leaving[name] && (!silent || !majority) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// majorityPresent tells whether most of the members that have not left are
// present. Only then may silent ones be dropped: the other side of a cut, which
// sees the opposite, must not.
func (r *Ring) majorityPresent(present map[string]bool) bool {
	staying, remaining := 0, 0
	for _, name := range r.Members() {
		switch {
		case present[name]:
			staying++
			remaining++
		case !r.leaving[name]:
			staying++
		}
	}
	return remaining >= majorityOf(staying)
}

// forget drops what lies before every time that a key can ask for.
func (r *Ring) forget(now time.Time) {
	horizon := now.Add(-Retention - MaxSkew - PropagationDelay)
	for len(r.history) > 1 && r.history[1].at.Before(horizon) {
		r.history = r.history[1:]
	}
}

// Homes returns the homes of the key at present.
func (r *Ring) Homes(key string) []string {
	return homes(r.Members(), key)
}

// Quorum returns the number of grants that a claim needs by the present members.
func (r *Ring) Quorum(key string) int {
	return majorityOf(len(r.Homes(key)))
}

// Vouch tells whether the agent has been a home of the key since the given time,
// and the largest number of grants that a claim has needed since then.
func (r *Ring) Vouch(key string, since, now time.Time) (quorum int, ok bool) {
	if !r.confirmed {
		return 0, false
	}
	start := since.Add(-PropagationDelay)
	ok = !start.Before(r.history[0].at)
	if r.adopted(since) {
		ok = true
		quorum = r.adoptedQuorum
	}
	for i, c := range r.history {
		over := i+1 < len(r.history) && !r.history[i+1].at.After(start)
		if over || c.at.After(now) {
			continue
		}
		chosen := homes(c.members, key)
		quorum = max(quorum, majorityOf(len(chosen)))
		if !slices.Contains(chosen, r.self) {
			ok = false
		}
	}
	return quorum, ok
}

func (r *Ring) adopted(since time.Time) bool {
	return r.adoptedQuorum > 0 && !since.Before(r.adoptedSince)
}

// VouchesSince returns the earliest time for which the agent vouches for every
// key, and the largest number of grants needed since then. It tells false in a
// service with more agents than homes, where it differs from key to key.
func (r *Ring) VouchesSince() (since time.Time, quorum int, ok bool) {
	if !r.confirmed {
		return time.Time{}, 0, false
	}
	for _, c := range r.history {
		if len(c.members) > MaxHomes {
			return time.Time{}, 0, false
		}
		quorum = max(quorum, majorityOf(len(c.members)))
	}
	if r.adoptedQuorum > 0 {
		return r.adoptedSince, max(quorum, r.adoptedQuorum), true
	}
	return r.history[0].at.Add(PropagationDelay), quorum, true
}

// Adopt notes that the agent has learned every claim since the given time from
// peers that vouch for it.
func (r *Ring) Adopt(since time.Time, quorum int) {
	r.adoptedSince = since
	r.adoptedQuorum = quorum
}

func majorityOf(n int) int { return n/2 + 1 }

// homes returns the members with the highest hash of key and name.
func homes(members []string, key string) []string {
	if len(members) <= MaxHomes {
		return members
	}
	ranked := make([]rankedMember, 0, len(members))
	for _, name := range members {
		ranked = append(ranked, rankedMember{name, score(key, name)})
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	chosen := make([]string, 0, MaxHomes)
	for _, m := range ranked[:MaxHomes] {
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

// Adopted tells whether the agent has learned the keys of its peers.
func (r *Ring) Adopted() bool { return r.adoptedQuorum > 0 }
