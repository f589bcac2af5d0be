package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
)

var start = time.Unix(1_000_000, 0)

// testAgents are agents whose member lists a test sets one by one.
type testAgents map[string]*Replica

func newTestAgents(names ...string) testAgents {
	g := make(testAgents)
	for _, name := range names {
		g.reset(name)
		g.setMembers(name, start, names...)
	}
	for _, name := range names {
		g.confirm(name, start)
	}
	return g
}

func (g testAgents) reset(name string) { g[name] = NewReplica(NewMembership(name)) }

func (g testAgents) setMembers(agent string, at time.Time, names ...string) {
	var members []Member
	for _, name := range names {
		members = append(members, Member{Name: name})
	}
	g[agent].membership.Update(members, at)
}

// drain makes the viewers see the agent draining and then gone.
func (g testAgents) drain(name string, at time.Time, viewers ...string) {
	for _, viewer := range viewers {
		var before, after []Member
		for _, m := range g[viewer].membership.Members() {
			before = append(before, Member{Name: m, Draining: m == name})
			if m != name {
				after = append(after, Member{Name: m})
			}
		}
		g[viewer].membership.Update(before, at)
		g[viewer].membership.Update(after, at)
	}
}

func (g testAgents) confirm(name string, at time.Time) {
	membership := g[name].membership
	var replies []PeerView
	for _, peer := range membership.AlivePeers() {
		replies = append(replies, PeerView{g[peer].membership.Members(), g[peer].membership.Confirmed()})
	}
	membership.Confirm(replies, at)
}

// attempt claims a key on behalf of the agent executor, at the replicas that are
// reachable.
func (g testAgents) attempt(executor string, key Key, at time.Time, reachable ...string) Decision {
	replicas := g[executor].membership.Replicas(key.Value)
	round := NewRound(len(replicas), g[executor].membership.Quorum(key.Value))
	claim := Claim{Key: key, Token: fmt.Sprint(executor, at.UnixNano()), Deadline: at.Add(time.Minute)}
	isReachable := make(map[string]bool)
	for _, name := range reachable {
		isReachable[name] = true
	}
	decision := Pending
	for _, name := range replicas {
		switch {
		case decision != Pending:
		case isReachable[name]:
			decision = round.Add(g[name].Claim(claim, at))
		default:
			decision = round.AddNoReply()
		}
	}
	return decision
}

func TestClaims(t *testing.T) {
	day := start.Add(24 * time.Hour)
	convey.Convey("After most agents have drained, an older key still needs a majority of the previous members", t, func() {
		g := newTestAgents("1", "2", "3", "4", "5", "6", "7")
		key := Key{Value: "k", Issued: day}
		convey.So(g.attempt("1", key, day, "1", "2", "3", "4"), convey.ShouldEqual, Run)
		for _, name := range []string{"1", "2", "3", "4"} {
			g.drain(name, day.Add(time.Second), "5", "6", "7")
		}
		late := day.Add(time.Minute)
		convey.So(g.attempt("5", key, late, "5", "6", "7"), convey.ShouldEqual, NoQuorum)
		convey.So(g.attempt("5", Key{Value: "new", Issued: late}, late, "5", "6", "7"), convey.ShouldEqual, Run)
	})
	convey.Convey("A member that has just joined grants nothing until all others know it", t, func() {
		g := newTestAgents("1", "2", "3")
		g.reset("4")
		g.drain("3", day, "2")
		g.setMembers("2", day, "1", "2", "4")
		g.setMembers("4", day, "1", "2", "4")
		g["4"].membership.Confirm([]PeerView{{g["2"].membership.Members(), true}}, day)
		now := day.Add(100 * time.Millisecond)
		key := Key{Value: "k", First: true}
		convey.So(g.attempt("1", key, now, "1", "3"), convey.ShouldEqual, Run)
		convey.So(g.attempt("4", key, now, "2", "4"), convey.ShouldEqual, NoQuorum)
	})
	convey.Convey("A key from a caller whose clock is ahead does not run again on agents that lost their state", t, func() {
		g := newTestAgents("1", "2", "3")
		key := Key{Value: "k", Issued: day.Add(4 * time.Second)}
		convey.So(g.attempt("1", key, day, "1", "2", "3"), convey.ShouldEqual, Run)
		for _, name := range []string{"2", "3"} {
			g.reset(name)
			g.setMembers(name, day.Add(time.Second), "1", "2", "3")
			g.confirm(name, day.Add(time.Second))
		}
		convey.So(g.attempt("2", key, day.Add(10*time.Second), "2", "3"), convey.ShouldEqual, NoQuorum)
		convey.So(g.attempt("2", key, day.Add(10*time.Second), "1", "2", "3"), convey.ShouldEqual, Wait)
	})
	convey.Convey("Only the majority side of a partition grants claims", t, func() {
		g := newTestAgents("1", "2", "3", "4", "5")
		for _, at := range []time.Time{day, day.Add(time.Hour)} {
			g.setMembers("1", at, "1", "2")
			g.setMembers("2", at, "1", "2")
			for _, name := range []string{"3", "4", "5"} {
				g.setMembers(name, at, "3", "4", "5")
			}
		}
		now := day.Add(2 * time.Hour)
		key := Key{Value: "k", Issued: now}
		convey.So(g.attempt("3", key, now, "3", "4", "5"), convey.ShouldEqual, Run)
		convey.So(g.attempt("1", key, now, "1", "2"), convey.ShouldEqual, NoQuorum)
		g.reset("6")
		g.reset("7")
		g.reset("8")
		for _, name := range []string{"1", "2", "6", "7", "8"} {
			g.setMembers(name, now, "1", "2", "6", "7", "8")
		}
		for _, name := range []string{"6", "7", "8"} {
			g.confirm(name, now)
		}
		later := now.Add(time.Minute)
		convey.So(g.attempt("6", Key{Value: "k", First: true}, later, "6", "7", "8"), convey.ShouldEqual, NoQuorum)
	})
	convey.Convey("An agent that has just started covers no key until its members are confirmed", t, func() {
		g := newTestAgents("1", "2", "3")
		g.reset("2")
		g.setMembers("2", day, "1", "2", "3")
		reply := g["2"].Claim(Claim{Key: Key{Value: "k", First: true}, Token: "t"}, day.Add(time.Hour))
		convey.So(reply.Verdict, convey.ShouldEqual, Abstained)
	})
}

func TestPlanBackfill(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name   string
		peers  []Coverage
		quorum int
		since  time.Time
		ok     bool
	}{
		{"no peers", nil, 1, time.Time{}, false},
		{"too few peers", []Coverage{{at(1), 2}}, 2, time.Time{}, false},
		{"the shortest coverage of the best majority counts", []Coverage{{at(9), 2}, {at(1), 2}, {at(5), 2}}, 2, at(5), true},
		{"a peer with a larger quorum raises the quorum", []Coverage{{at(1), 3}, {at(2), 2}, {at(8), 2}}, 2, at(8), true},
		{"a peer with a quorum above the number of peers", []Coverage{{at(1), 4}, {at(2), 2}, {at(8), 2}}, 2, time.Time{}, false},
	}
	for _, c := range cases {
		convey.Convey("Backfill plan: "+c.name, t, func() {
			plan, ok := PlanBackfill(c.peers, c.quorum)
			convey.So(ok, convey.ShouldEqual, c.ok)
			convey.So(plan.Since.Equal(c.since), convey.ShouldBeTrue)
		})
	}
}

func TestParseKey(t *testing.T) {
	now := time.UnixMilli(0x01981c5e7a10)
	cases := []struct {
		value  string
		issued time.Time
		kind   errkind.Kind
		ok     bool
	}{
		{"order-17", time.Time{}, 0, true},
		{"01981c5e-7a10-7c3e-9b1f-2f60b3a6d5e1", now, 0, true},
		{"01981c5e-7a10-4c3e-9b1f-2f60b3a6d5e1", time.Time{}, 0, true},
		{"01981c5e-7a10-7c3e-9b1f-2f60b3a6d5zz", time.Time{}, 0, true},
		{"01981c5f-7a10-7c3e-9b1f-2f60b3a6d5e1", time.Time{}, errkind.Malformed, false},
		{string(make([]byte, maxKeyLength+1)), time.Time{}, errkind.Malformed, false},
	}
	for _, c := range cases {
		convey.Convey("Key "+c.value, t, func() {
			key, err := ParseKey(c.value, false, now)
			convey.So(err == nil, convey.ShouldEqual, c.ok)
			if !c.ok {
				convey.So(errkind.Of(err), convey.ShouldEqual, c.kind)
				return
			}
			convey.So(key.Issued.Equal(c.issued), convey.ShouldBeTrue)
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestMemoryIsBounded(t *testing.T) {
	convey.Convey("Evicted keys shorten the coverage of the replica", t, func() {
		g := newTestAgents("1")
		day := start.Add(24 * time.Hour)
		g.setMembers("1", day)
		replica := g["1"]
		before := heapBytes()
		result := Result{Status: 200, Body: make([]byte, 1000), BodyStored: true}
		for i := range maxEntries + 10 {
			now := day.Add(time.Duration(i) * time.Millisecond)
			c := Claim{Key: Key{Value: fmt.Sprint(i), Issued: now}, Token: "t"}
			replica.Claim(c, now)
			replica.Complete(c, result, now)
		}
		fmt.Printf("bench ledger/memory_at_%d_keys %.1f MB\n", maxEntries, float64(heapBytes()-before)/(1<<20))
		now := day.Add(time.Minute)
		convey.So(replica.Len(), convey.ShouldEqual, maxEntries)
		convey.So(replica.bodyBytes, convey.ShouldBeLessThanOrEqualTo, maxBodyBytes)
		convey.So(replica.Claim(Claim{Key: Key{Value: "0", Issued: day}, Token: "u"}, now).Verdict, convey.ShouldEqual, Abstained)
		convey.So(replica.Claim(Claim{Key: Key{Value: "new", Issued: now}, Token: "u"}, now).Verdict, convey.ShouldEqual, Granted)
		last := replica.Claim(Claim{Key: Key{Value: fmt.Sprint(maxEntries), Issued: day}, Token: "u"}, now)
		convey.So(last.Verdict, convey.ShouldEqual, Done)
		convey.So(last.Result.BodyStored, convey.ShouldBeTrue)
		convey.So(replica.Claim(Claim{Key: Key{Value: "x", Issued: now}, Token: "u"}, now.Add(time.Hour)).Verdict, convey.ShouldEqual, Abstained)
		convey.So(replica.Len(), convey.ShouldEqual, 1)
	})
	convey.Convey("A claim that arrives after its release is not granted", t, func() {
		g := newTestAgents("1")
		day := start.Add(24 * time.Hour)
		g.setMembers("1", day)
		c := Claim{Key: Key{Value: "k", Issued: day}, Token: "t"}
		g["1"].Release(c, day)
		convey.So(g["1"].Claim(c, day).Verdict, convey.ShouldEqual, Abstained)
		c.Token = "u"
		convey.So(g["1"].Claim(c, day).Verdict, convey.ShouldEqual, Granted)
	})
}
