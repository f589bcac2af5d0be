package ledger

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// testCluster simulates a service whose agents join, drain, crash and restart
// without state, whose messages get lost, and whose agents learn of membership
// changes with a delay below PropagationDelay.
type testCluster struct {
	rt       *rapid.T
	now      time.Time
	agents   map[string]*simAgent
	states   []clusterState
	attempts []*attempt
	keys     []*simKey
	next     int
	// runs is the reference model: the number of runs of each key.
	runs      map[string]int
	totalRuns int
}

// clusterState is the set of running agents from a time on.
type clusterState struct {
	at          time.Time
	members     []Member
	partitioned bool
}

type simAgent struct {
	name       string
	sideB      bool
	viewDelay  time.Duration
	drainStart time.Time
	membership *Membership
	replica    *Replica
}

type simKey struct {
	value  string
	issued time.Time
	opaque bool
	// firstAttempt is the time of the first attempt.
	firstAttempt time.Time
}

// attempt is one attempt of a caller, with its messages to the replicas.
type attempt struct {
	agent    *simAgent
	started  time.Time
	claim    Claim
	round    *Round
	replicas []string
	pending  []message
	decided  bool
}

// claimTimeout is the time after which a claim is no longer delivered.
const claimTimeout = 2 * time.Second

type message struct {
	replica string
	kind    string
	result  Result
}

func newTestCluster(rt *rapid.T, size int) *testCluster {
	c := &testCluster{
		rt:     rt,
		now:    time.Unix(1_000_000, 0),
		agents: make(map[string]*simAgent),
		runs:   make(map[string]int),
	}
	for range size {
		c.join()
	}
	c.advance(24 * time.Hour)
	return c
}

func (c *testCluster) join() {
	c.next++
	a := &simAgent{name: fmt.Sprintf("a%02d", c.next), sideB: c.next%3 == 0}
	c.agents[a.name] = a
	c.reset(a)
	c.recordState(c.partitioned())
}

// confirm exchanges the members between agents that have just started and their
// peers.
func (c *testCluster) confirm() {
	for _, a := range c.sorted() {
		var replies []PeerView
		for _, name := range a.membership.AlivePeers() {
			if peer := c.reach(a, name); peer != nil {
				replies = append(replies, PeerView{peer.membership.Members(), peer.membership.Confirmed()})
			}
		}
		a.membership.Confirm(replies, c.now)
	}
}

// noneConfirmed reports whether no agent on the given side of the partition, apart
// from the excluded one, has confirmed its members. If all agents of a side are
// new, they cannot know of the other side.
func (c *testCluster) noneConfirmed(sideB bool, except string) bool {
	for _, a := range c.agents {
		if a.sideB == sideB && a.name != except && a.membership.Confirmed() {
			return false
		}
	}
	return true
}

func (c *testCluster) allConfirmed() bool {
	for _, a := range c.agents {
		if !a.membership.Confirmed() {
			return false
		}
	}
	return true
}

func (c *testCluster) reset(a *simAgent) {
	a.viewDelay = time.Duration(rapid.IntRange(0, 19).Draw(c.rt, "view delay")) * 100 * time.Millisecond
	a.membership = NewMembership(a.name)
	a.replica = NewReplica(a.membership)
	a.drainStart = time.Time{}
}

func (c *testCluster) partitioned() bool {
	return len(c.states) > 0 && c.states[len(c.states)-1].partitioned
}

func (c *testCluster) recordState(partitioned bool) {
	s := clusterState{at: c.now, partitioned: partitioned}
	defer func() {
		c.rt.Logf("%s members %v partitioned %v", c.now.Format("15:04:05.0"), s.members, s.partitioned)
	}()
	for _, a := range c.sorted() {
		s.members = append(s.members, Member{Name: a.name, Draining: !a.drainStart.IsZero()})
	}
	c.states = append(c.states, s)
	if len(c.states) > 200 {
		c.states = c.states[100:]
	}
}

func (c *testCluster) sorted() []*simAgent {
	list := make([]*simAgent, 0, len(c.agents))
	for _, a := range c.agents {
		list = append(list, a)
	}
	slices.SortFunc(list, func(a, b *simAgent) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

func (c *testCluster) pick(label string) *simAgent {
	list := c.sorted()
	return list[rapid.IntRange(0, len(list)-1).Draw(c.rt, label)]
}

// advance moves the clock in steps and updates the view of every agent after each
// one.
func (c *testCluster) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	end := c.now.Add(d)
	steps := 0
	for c.now.Before(end) {
		if steps++; steps > 60 {
			c.now = end
		} else {
			c.now = c.now.Add(step)
		}
		c.updateViews()
	}
}

func (c *testCluster) updateViews() {
	for _, a := range c.agents {
		if view, ok := c.viewOf(a); ok {
			a.membership.Update(view, c.now)
		}
	}
	c.confirm()
}

func (c *testCluster) viewOf(a *simAgent) ([]Member, bool) {
	for i := len(c.states) - 1; i >= 0; i-- {
		s := c.states[i]
		if s.at.After(c.now.Add(-a.viewDelay)) {
			continue
		}
		var view []Member
		for _, m := range s.members {
			if !s.partitioned || onSideB(m.Name) == a.sideB {
				view = append(view, m)
			}
		}
		return view, true
	}
	return nil, false
}

func onSideB(name string) bool {
	var n int
	_, _ = fmt.Sscanf(name, "a%d", &n)
	return n%3 == 0
}

func (c *testCluster) reach(from *simAgent, name string) *simAgent {
	to := c.agents[name]
	if to == nil || c.agents[from.name] != from || c.partitioned() && to.sideB != from.sideB {
		return nil
	}
	return to
}

func (c *testCluster) startAttempt() {
	var k *simKey
	if len(c.keys) == 0 || rapid.IntRange(0, 2).Draw(c.rt, "new key") == 0 {
		skew := time.Duration(rapid.IntRange(-5, 5).Draw(c.rt, "skew")) * time.Second
		k = &simKey{
			value:  fmt.Sprintf("k%d", len(c.keys)),
			issued: c.now.Add(skew),
			opaque: rapid.IntRange(0, 3).Draw(c.rt, "opaque") == 0,
		}
		c.keys = append(c.keys, k)
	} else {
		from := max(0, len(c.keys)-4)
		k = c.keys[rapid.IntRange(from, len(c.keys)-1).Draw(c.rt, "key")]
	}
	key := Key{Value: k.value, Issued: k.issued}
	if k.opaque {
		key.Issued = time.Time{}
	}
	switch {
	case k.firstAttempt.IsZero():
		key.First = rapid.Bool().Draw(c.rt, "first")
		k.firstAttempt = c.now
	case k.opaque && c.now.Sub(k.firstAttempt) > Retention:
		return // callers must not retry a key without a creation time after the retention
	}
	a := c.pick("agent")
	t := &attempt{agent: a, started: c.now, replicas: a.membership.Replicas(k.value)}
	t.claim = Claim{Key: key, Fingerprint: 1, Token: fmt.Sprintf("t%d", len(c.attempts)), Executor: a.name, Deadline: c.now.Add(10 * time.Second)}
	t.round = NewRound(len(t.replicas), a.membership.Quorum(k.value))
	for _, name := range t.replicas {
		t.pending = append(t.pending, message{replica: name, kind: "claim"})
	}
	c.attempts = append(c.attempts, t)
	c.rt.Logf("%s %s starts at %s: replicas %v of %v", c.now.Format("15:04:05.0"), t.claim.Token, a.name, t.replicas, a.membership.Members())
}

// deliver delivers one message of one attempt to its replica, or loses it or its
// reply.
func (c *testCluster) deliver() {
	undelivered := slices.DeleteFunc(slices.Clone(c.attempts), func(t *attempt) bool { return len(t.pending) == 0 })
	if len(undelivered) == 0 {
		return
	}
	t := undelivered[rapid.IntRange(0, len(undelivered)-1).Draw(c.rt, "attempt")]
	i := rapid.IntRange(0, len(t.pending)-1).Draw(c.rt, "message")
	m := t.pending[i]
	t.pending = append(t.pending[:i:i], t.pending[i+1:]...)
	fault := rapid.IntRange(0, 9).Draw(c.rt, "fault")
	to := c.reach(t.agent, m.replica)
	switch m.kind {
	case "claim":
		c.deliverClaim(t, to, fault)
	case "release":
		if to != nil && fault > 0 {
			to.replica.Release(t.claim, c.now)
		}
	case "complete":
		if to != nil && fault > 0 {
			to.replica.Complete(t.claim, m.result, c.now)
		}
	}
}

func (c *testCluster) deliverClaim(t *attempt, to *simAgent, fault int) {
	var decision Decision
	switch {
	case to == nil || fault == 0 || c.now.Sub(t.started) > claimTimeout:
		decision = t.round.AddNoReply()
	case fault == 1:
		to.replica.Claim(t.claim, c.now)
		decision = t.round.AddNoReply()
	default:
		reply := to.replica.Claim(t.claim, c.now)
		decision = t.round.Add(reply)
		c.rt.Logf("%s %s of %s claims %+v at %s: %+v, then %d", c.now.Format("15:04:05.0"), t.claim.Token, t.agent.name, t.claim.Key, to.name, reply, decision)
	}
	if decision == Pending || t.decided || c.agents[t.agent.name] != t.agent {
		return
	}
	t.decided = true
	c.decide(t, decision)
}

func (c *testCluster) decide(t *attempt, decision Decision) {
	key := t.claim.Key.Value
	kind := "release"
	switch decision {
	case Run:
		c.totalRuns++
		c.runs[key]++
		if c.runs[key] > 1 {
			c.rt.Fatalf("key %s ran %d times, the last at %s", key, c.runs[key], t.agent.name)
		}
		kind = "complete"
	case Replay:
		if c.runs[key] != 1 || t.round.Result().Status != 200 {
			c.rt.Fatalf("key %s was replayed but did not run exactly once with status 200", key)
		}
		return
	default:
	}
	for _, name := range t.replicas {
		t.pending = append(t.pending, message{replica: name, kind: kind, result: Result{Status: 200}})
	}
}

func (c *testCluster) backfill(a *simAgent) {
	own, ok := a.replica.Coverage()
	if !ok || c.now.Before(own.Since) || a.membership.Backfilled() {
		return
	}
	var coverages []Coverage
	for _, name := range a.membership.Members() {
		peer := c.reach(a, name)
		if peer == nil || peer == a {
			continue
		}
		for _, e := range peer.replica.Export(c.now) {
			a.replica.Import(e, c.now)
		}
		if coverage, covered := peer.replica.Coverage(); covered {
			coverages = append(coverages, coverage)
		}
	}
	if plan, enough := PlanBackfill(coverages, own.Quorum); enough && plan.Since.Before(own.Since) {
		a.membership.Backfill(plan.Since, plan.Quorum)
	}
}

func (c *testCluster) step() {
	switch rapid.IntRange(0, 29).Draw(c.rt, "step") {
	case 0, 1, 2, 3:
		c.startAttempt()
	case 4:
		c.advance(time.Duration(rapid.IntRange(1, 60).Draw(c.rt, "short")) * 100 * time.Millisecond)
	case 5:
		c.advance(time.Duration(rapid.IntRange(1, 700).Draw(c.rt, "long")) * time.Second)
	case 6:
		if len(c.agents) < 10 && (!c.partitioned() || !c.noneConfirmed((c.next+1)%3 == 0, "")) {
			c.join()
		}
	case 7:
		a := c.pick("draining")
		if a.drainStart.IsZero() && len(c.agents) > 1 {
			a.drainStart = c.now
			c.recordState(c.partitioned())
		}
	case 8:
		for _, a := range c.sorted() {
			if !a.drainStart.IsZero() && c.now.Sub(a.drainStart) > PropagationDelay && len(c.agents) > 1 {
				delete(c.agents, a.name)
				c.recordState(c.partitioned())
			}
		}
	case 9:
		if len(c.agents) > 1 {
			delete(c.agents, c.pick("killed").name)
			c.recordState(c.partitioned())
		}
	case 10:
		previous := c.pick("restarted")
		if c.partitioned() && c.noneConfirmed(previous.sideB, previous.name) {
			return
		}
		restarted := &simAgent{name: previous.name, sideB: previous.sideB}
		c.reset(restarted)
		c.agents[previous.name] = restarted
		c.recordState(c.partitioned())
	case 11:
		if c.partitioned() || c.allConfirmed() {
			c.recordState(!c.partitioned())
		}
	case 12:
		c.backfill(c.pick("backfilled"))
	default:
		for range rapid.IntRange(1, 8).Draw(c.rt, "messages") {
			c.deliver()
		}
	}
}
