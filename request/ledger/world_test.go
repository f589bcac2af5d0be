package ledger

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// world is a service whose agents join, leave, die and restart without memory,
// whose messages get lost, and whose members are seen late, but within Settle.
type world struct {
	rt     *rapid.T
	now    time.Time
	agents map[string]*simAgent
	states []worldState
	tries  []*try
	keys   []*simKey
	next   int
	// naive is the ledger that knows everything at once: the runs of each key.
	naive map[string]int
	ran   int
}

// worldState is who is alive from a time on.
type worldState struct {
	at      time.Time
	members []Member
	cut     bool
}

type simAgent struct {
	name    string
	left    bool
	lag     time.Duration
	leaving time.Time
	ring    *Ring
	book    *Book
}

type simKey struct {
	value  string
	issued time.Time
	opaque bool
	// tried is the time of the first try.
	tried time.Time
}

// try is one caller's try on its way through the homes.
type try struct {
	agent   *simAgent
	started time.Time
	claim   Claim
	round   *Round
	homes   []string
	pending []message
	decided bool
}

// claimLife is how long a claim stays under way.
const claimLife = 2 * time.Second

type message struct {
	home    string
	kind    string
	outcome Result
}

func newWorld(rt *rapid.T, size int) *world {
	w := &world{
		rt:     rt,
		now:    time.Unix(1_000_000, 0),
		agents: make(map[string]*simAgent),
		naive:  make(map[string]int),
	}
	for range size {
		w.join()
	}
	w.advance(24 * time.Hour)
	return w
}

func (w *world) join() {
	w.next++
	a := &simAgent{name: fmt.Sprintf("a%02d", w.next), left: w.next%3 == 0}
	w.agents[a.name] = a
	w.reset(a)
	w.remember(w.cut())
}

// confirm lets agents that have just started ask their peers for the members.
func (w *world) confirm() {
	for _, a := range w.sorted() {
		var replies []Knowledge
		for _, name := range a.ring.Present() {
			if peer := w.reach(a, name); peer != nil {
				replies = append(replies, Knowledge{peer.ring.Members(), peer.ring.Confirmed()})
			}
		}
		a.ring.Confirm(replies, w.now)
	}
}

// alone tells whether no agent on the side of the named one vouches for the
// members. Two sides of a cut on which all agents are new cannot know of each
// other.
func (w *world) alone(side bool, except string) bool {
	for _, a := range w.agents {
		if a.left == side && a.name != except && a.ring.Confirmed() {
			return false
		}
	}
	return true
}

func (w *world) allConfirmed() bool {
	for _, a := range w.agents {
		if !a.ring.Confirmed() {
			return false
		}
	}
	return true
}

func (w *world) reset(a *simAgent) {
	a.lag = time.Duration(rapid.IntRange(0, 19).Draw(w.rt, "lag")) * 100 * time.Millisecond
	a.ring = NewRing(a.name)
	a.book = NewBook(a.ring)
	a.leaving = time.Time{}
}

func (w *world) cut() bool {
	return len(w.states) > 0 && w.states[len(w.states)-1].cut
}

func (w *world) remember(cut bool) {
	s := worldState{at: w.now, cut: cut}
	defer func() { w.rt.Logf("%s members %v cut %v", w.now.Format("15:04:05.0"), s.members, s.cut) }()
	for _, a := range w.sorted() {
		s.members = append(s.members, Member{Name: a.name, Leaving: !a.leaving.IsZero()})
	}
	w.states = append(w.states, s)
	if len(w.states) > 200 {
		w.states = w.states[100:]
	}
}

func (w *world) sorted() []*simAgent {
	list := make([]*simAgent, 0, len(w.agents))
	for _, a := range w.agents {
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

func (w *world) pick(label string) *simAgent {
	list := w.sorted()
	return list[rapid.IntRange(0, len(list)-1).Draw(w.rt, label)]
}

// advance lets time pass in steps in which every agent sees its late view.
func (w *world) advance(d time.Duration) {
	const step = 100 * time.Millisecond
	end := w.now.Add(d)
	steps := 0
	for w.now.Before(end) {
		if steps++; steps > 60 {
			w.now = end
		} else {
			w.now = w.now.Add(step)
		}
		w.look()
	}
}

func (w *world) look() {
	for _, a := range w.agents {
		if view, ok := w.viewOf(a); ok {
			a.ring.Update(view, w.now)
		}
	}
	w.confirm()
}

func (w *world) viewOf(a *simAgent) ([]Member, bool) {
	for i := len(w.states) - 1; i >= 0; i-- {
		s := w.states[i]
		if s.at.After(w.now.Add(-a.lag)) {
			continue
		}
		var view []Member
		for _, m := range s.members {
			if !s.cut || sideOf(m.Name) == a.left {
				view = append(view, m)
			}
		}
		return view, true
	}
	return nil, false
}

func sideOf(name string) bool {
	var n int
	_, _ = fmt.Sscanf(name, "a%d", &n)
	return n%3 == 0
}

func (w *world) reach(from *simAgent, home string) *simAgent {
	to := w.agents[home]
	if to == nil || w.agents[from.name] != from || w.cut() && to.left != from.left {
		return nil
	}
	return to
}

func (w *world) startTry() {
	var k *simKey
	if len(w.keys) == 0 || rapid.IntRange(0, 2).Draw(w.rt, "fresh") == 0 {
		skew := time.Duration(rapid.IntRange(-5, 5).Draw(w.rt, "skew")) * time.Second
		k = &simKey{
			value:  fmt.Sprintf("k%d", len(w.keys)),
			issued: w.now.Add(skew),
			opaque: rapid.IntRange(0, 3).Draw(w.rt, "opaque") == 0,
		}
		w.keys = append(w.keys, k)
	} else {
		from := max(0, len(w.keys)-4)
		k = w.keys[rapid.IntRange(from, len(w.keys)-1).Draw(w.rt, "key")]
	}
	key := Key{Value: k.value, Issued: k.issued}
	if k.opaque {
		key.Issued = time.Time{}
	}
	switch {
	case k.tried.IsZero():
		key.First = rapid.Bool().Draw(w.rt, "first")
		k.tried = w.now
	case k.opaque && w.now.Sub(k.tried) > Retention:
		return // callers must not repeat a key without a time later than that
	}
	a := w.pick("agent")
	t := &try{agent: a, started: w.now, homes: a.ring.Homes(k.value)}
	t.claim = Claim{Key: key, Fingerprint: 1, Token: fmt.Sprintf("t%d", len(w.tries)), Executor: a.name, Deadline: w.now.Add(10 * time.Second)}
	t.round = NewRound(len(t.homes), a.ring.Quorum(k.value))
	for _, h := range t.homes {
		t.pending = append(t.pending, message{home: h, kind: "claim"})
	}
	w.tries = append(w.tries, t)
	w.rt.Logf("%s %s starts at %s: homes %v of %v", w.now.Format("15:04:05.0"), t.claim.Token, a.name, t.homes, a.ring.Members())
}

// deliver carries one message of one try to its home, or loses it or its reply.
func (w *world) deliver() {
	open := slices.DeleteFunc(slices.Clone(w.tries), func(t *try) bool { return len(t.pending) == 0 })
	if len(open) == 0 {
		return
	}
	t := open[rapid.IntRange(0, len(open)-1).Draw(w.rt, "try")]
	i := rapid.IntRange(0, len(t.pending)-1).Draw(w.rt, "message")
	m := t.pending[i]
	t.pending = append(t.pending[:i:i], t.pending[i+1:]...)
	fate := rapid.IntRange(0, 9).Draw(w.rt, "fate")
	home := w.reach(t.agent, m.home)
	switch m.kind {
	case "claim":
		w.deliverClaim(t, home, fate)
	case "release":
		if home != nil && fate > 0 {
			home.book.Release(t.claim, w.now)
		}
	case "complete":
		if home != nil && fate > 0 {
			home.book.Complete(t.claim, m.outcome, w.now)
		}
	}
}

func (w *world) deliverClaim(t *try, home *simAgent, fate int) {
	var decision Decision
	switch {
	case home == nil || fate == 0 || w.now.Sub(t.started) > claimLife:
		decision = t.round.Missing()
	case fate == 1:
		home.book.Claim(t.claim, w.now)
		decision = t.round.Missing()
	default:
		reply := home.book.Claim(t.claim, w.now)
		decision = t.round.Add(reply)
		w.rt.Logf("%s %s of %s claims %+v at %s: %+v, then %d", w.now.Format("15:04:05.0"), t.claim.Token, t.agent.name, t.claim.Key, home.name, reply, decision)
	}
	if decision == Pending || t.decided || w.agents[t.agent.name] != t.agent {
		return
	}
	t.decided = true
	w.decide(t, decision)
}

func (w *world) decide(t *try, decision Decision) {
	key := t.claim.Key.Value
	kind := "release"
	switch decision {
	case Run:
		w.ran++
		w.naive[key]++
		if w.naive[key] > 1 {
			w.rt.Fatalf("key %s ran %d times, the last at %s", key, w.naive[key], t.agent.name)
		}
		kind = "complete"
	case Replay:
		if w.naive[key] != 1 || t.round.Result().Status != 200 {
			w.rt.Fatalf("key %s replayed but never ran", key)
		}
		return
	default:
	}
	for _, h := range t.homes {
		t.pending = append(t.pending, message{home: h, kind: kind, outcome: Result{Status: 200}})
	}
}

func (w *world) adopt(a *simAgent) {
	own, ok := a.book.VouchesSince()
	if !ok || w.now.Before(own.Since) || a.ring.Adopted() {
		return
	}
	var statements []Statement
	for _, name := range a.ring.Members() {
		peer := w.reach(a, name)
		if peer == nil || peer == a {
			continue
		}
		for _, e := range peer.book.Export(w.now) {
			a.book.Import(e, w.now)
		}
		if s, vouches := peer.book.VouchesSince(); vouches {
			statements = append(statements, s)
		}
	}
	if plan, enough := PlanAdoption(statements, own.Quorum); enough && plan.Since.Before(own.Since) {
		a.ring.Adopt(plan.Since, plan.Quorum)
	}
}

func (w *world) step() {
	switch rapid.IntRange(0, 29).Draw(w.rt, "step") {
	case 0, 1, 2, 3:
		w.startTry()
	case 4:
		w.advance(time.Duration(rapid.IntRange(1, 60).Draw(w.rt, "short")) * 100 * time.Millisecond)
	case 5:
		w.advance(time.Duration(rapid.IntRange(1, 700).Draw(w.rt, "long")) * time.Second)
	case 6:
		if len(w.agents) < 10 && (!w.cut() || !w.alone((w.next+1)%3 == 0, "")) {
			w.join()
		}
	case 7:
		a := w.pick("leaver")
		if a.leaving.IsZero() && len(w.agents) > 1 {
			a.leaving = w.now
			w.remember(w.cut())
		}
	case 8:
		for _, a := range w.sorted() {
			if !a.leaving.IsZero() && w.now.Sub(a.leaving) > PropagationDelay && len(w.agents) > 1 {
				delete(w.agents, a.name)
				w.remember(w.cut())
			}
		}
	case 9:
		if len(w.agents) > 1 {
			delete(w.agents, w.pick("killed").name)
			w.remember(w.cut())
		}
	case 10:
		old := w.pick("restarted")
		if w.cut() && w.alone(old.left, old.name) {
			return
		}
		fresh := &simAgent{name: old.name, left: old.left}
		w.reset(fresh)
		w.agents[old.name] = fresh
		w.remember(w.cut())
	case 11:
		if w.cut() || w.allConfirmed() {
			w.remember(!w.cut())
		}
	case 12:
		w.adopt(w.pick("newcomer"))
	default:
		for range rapid.IntRange(1, 8).Draw(w.rt, "messages") {
			w.deliver()
		}
	}
}
