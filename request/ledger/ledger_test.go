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

// group is a set of agents whose views a test sets one by one.
type group map[string]*Book

func newGroup(names ...string) group {
	g := make(group)
	for _, name := range names {
		g.boot(name)
		g.see(name, start, names...)
	}
	for _, name := range names {
		g.confirm(name, start)
	}
	return g
}

func (g group) boot(name string) { g[name] = NewBook(NewRing(name)) }

func (g group) see(viewer string, at time.Time, names ...string) {
	var members []Member
	for _, name := range names {
		members = append(members, Member{Name: name})
	}
	g[viewer].ring.Update(members, at)
}

// leave lets the viewers see an agent leaving and then gone.
func (g group) leave(name string, at time.Time, viewers ...string) {
	for _, viewer := range viewers {
		var before, after []Member
		for _, m := range g[viewer].ring.Members() {
			before = append(before, Member{Name: m, Leaving: m == name})
			if m != name {
				after = append(after, Member{Name: m})
			}
		}
		g[viewer].ring.Update(before, at)
		g[viewer].ring.Update(after, at)
	}
}

func (g group) confirm(name string, at time.Time) {
	ring := g[name].ring
	var replies []Knowledge
	for _, peer := range ring.Present() {
		replies = append(replies, Knowledge{g[peer].ring.Members(), g[peer].ring.Confirmed()})
	}
	ring.Confirm(replies, at)
}

// try claims a key for the agent by at the homes that its messages reach.
func (g group) try(by string, key Key, at time.Time, reached ...string) Decision {
	homes := g[by].ring.Homes(key.Value)
	round := NewRound(len(homes), g[by].ring.Quorum(key.Value))
	claim := Claim{Key: key, Token: fmt.Sprint(by, at.UnixNano()), Deadline: at.Add(time.Minute)}
	hits := make(map[string]bool)
	for _, name := range reached {
		hits[name] = true
	}
	decision := Pending
	for _, h := range homes {
		switch {
		case decision != Pending:
		case hits[h]:
			decision = round.Add(g[h].Claim(claim, at))
		default:
			decision = round.Missing()
		}
	}
	return decision
}

func TestScenarios(t *testing.T) {
	day := start.Add(24 * time.Hour)
	convey.Convey("Agents that leave take no grants with them: older keys need the older majority", t, func() {
		g := newGroup("1", "2", "3", "4", "5", "6", "7")
		key := Key{Value: "k", Issued: day}
		convey.So(g.try("1", key, day, "1", "2", "3", "4"), convey.ShouldEqual, Run)
		for _, name := range []string{"1", "2", "3", "4"} {
			g.leave(name, day.Add(time.Second), "5", "6", "7")
		}
		late := day.Add(time.Minute)
		convey.So(g.try("5", key, late, "5", "6", "7"), convey.ShouldEqual, Unvouched)
		convey.So(g.try("5", Key{Value: "new", Issued: late}, late, "5", "6", "7"), convey.ShouldEqual, Run)
	})
	convey.Convey("A member that has just joined grants nothing while others may not know it", t, func() {
		g := newGroup("1", "2", "3")
		g.boot("4")
		g.leave("3", day, "2")
		g.see("2", day, "1", "2", "4")
		g.see("4", day, "1", "2", "4")
		g["4"].ring.Confirm([]Knowledge{{g["2"].ring.Members(), true}}, day)
		now := day.Add(100 * time.Millisecond)
		key := Key{Value: "k", First: true}
		convey.So(g.try("1", key, now, "1", "3"), convey.ShouldEqual, Run)
		convey.So(g.try("4", key, now, "2", "4"), convey.ShouldEqual, Unvouched)
	})
	convey.Convey("A caller whose clock is ahead gets no second run from agents that lost their memory", t, func() {
		g := newGroup("1", "2", "3")
		key := Key{Value: "k", Issued: day.Add(4 * time.Second)}
		convey.So(g.try("1", key, day, "1", "2", "3"), convey.ShouldEqual, Run)
		for _, name := range []string{"2", "3"} {
			g.boot(name)
			g.see(name, day.Add(time.Second), "1", "2", "3")
			g.confirm(name, day.Add(time.Second))
		}
		convey.So(g.try("2", key, day.Add(10*time.Second), "2", "3"), convey.ShouldEqual, Unvouched)
		convey.So(g.try("2", key, day.Add(10*time.Second), "1", "2", "3"), convey.ShouldEqual, Wait)
	})
	convey.Convey("Only the larger side of a cut goes on", t, func() {
		g := newGroup("1", "2", "3", "4", "5")
		for _, at := range []time.Time{day, day.Add(time.Hour)} {
			g.see("1", at, "1", "2")
			g.see("2", at, "1", "2")
			for _, name := range []string{"3", "4", "5"} {
				g.see(name, at, "3", "4", "5")
			}
		}
		now := day.Add(2 * time.Hour)
		key := Key{Value: "k", Issued: now}
		convey.So(g.try("3", key, now, "3", "4", "5"), convey.ShouldEqual, Run)
		convey.So(g.try("1", key, now, "1", "2"), convey.ShouldEqual, Unvouched)
		g.boot("6")
		g.boot("7")
		g.boot("8")
		for _, name := range []string{"1", "2", "6", "7", "8"} {
			g.see(name, now, "1", "2", "6", "7", "8")
		}
		for _, name := range []string{"6", "7", "8"} {
			g.confirm(name, now)
		}
		later := now.Add(time.Minute)
		convey.So(g.try("6", Key{Value: "k", First: true}, later, "6", "7", "8"), convey.ShouldEqual, Unvouched)
	})
	convey.Convey("An agent that has just started vouches for nothing before it knows the members", t, func() {
		g := newGroup("1", "2", "3")
		g.boot("2")
		g.see("2", day, "1", "2", "3")
		reply := g["2"].Claim(Claim{Key: Key{Value: "k", First: true}, Token: "t"}, day.Add(time.Hour))
		convey.So(reply.Verdict, convey.ShouldEqual, Abstained)
	})
}

func TestAdoption(t *testing.T) {
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name       string
		statements []Statement
		quorum     int
		since      time.Time
		ok         bool
	}{
		{"nobody", nil, 1, time.Time{}, false},
		{"too few", []Statement{{at(1), 2}}, 2, time.Time{}, false},
		{"the latest of the best majority counts", []Statement{{at(9), 2}, {at(1), 2}, {at(5), 2}}, 2, at(5), true},
		{"a peer that needs more makes all need more", []Statement{{at(1), 3}, {at(2), 2}, {at(8), 2}}, 2, at(8), true},
		{"a peer that needs more than there are", []Statement{{at(1), 4}, {at(2), 2}, {at(8), 2}}, 2, time.Time{}, false},
	}
	for _, c := range cases {
		convey.Convey("Adoption: "+c.name, t, func() {
			plan, ok := PlanAdoption(c.statements, c.quorum)
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

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestMemoryIsBounded(t *testing.T) {
	convey.Convey("Evicted keys raise the time for which the home vouches", t, func() {
		g := newGroup("1")
		day := start.Add(24 * time.Hour)
		g.see("1", day)
		book := g["1"]
		before := heap()
		result := Result{Status: 200, Body: make([]byte, 1000), BodyStored: true}
		for i := range maxEntries + 10 {
			now := day.Add(time.Duration(i) * time.Millisecond)
			c := Claim{Key: Key{Value: fmt.Sprint(i), Issued: now}, Token: "t"}
			book.Claim(c, now)
			book.Complete(c, result, now)
		}
		fmt.Printf("bench ledger/memory_at_%d_keys %.1f MB\n", maxEntries, float64(heap()-before)/(1<<20))
		now := day.Add(time.Minute)
		convey.So(book.Len(), convey.ShouldEqual, maxEntries)
		convey.So(book.bodyBytes, convey.ShouldBeLessThanOrEqualTo, maxBodyBytes)
		convey.So(book.Claim(Claim{Key: Key{Value: "0", Issued: day}, Token: "u"}, now).Verdict, convey.ShouldEqual, Abstained)
		convey.So(book.Claim(Claim{Key: Key{Value: "new", Issued: now}, Token: "u"}, now).Verdict, convey.ShouldEqual, Granted)
		last := book.Claim(Claim{Key: Key{Value: fmt.Sprint(maxEntries), Issued: day}, Token: "u"}, now)
		convey.So(last.Verdict, convey.ShouldEqual, Done)
		convey.So(last.Result.BodyStored, convey.ShouldBeTrue)
		convey.So(book.Claim(Claim{Key: Key{Value: "x", Issued: now}, Token: "u"}, now.Add(time.Hour)).Verdict, convey.ShouldEqual, Abstained)
		convey.So(book.Len(), convey.ShouldEqual, 1)
	})
	convey.Convey("A claim that arrives after its release is not granted", t, func() {
		g := newGroup("1")
		day := start.Add(24 * time.Hour)
		g.see("1", day)
		c := Claim{Key: Key{Value: "k", Issued: day}, Token: "t"}
		g["1"].Release(c, day)
		convey.So(g["1"].Claim(c, day).Verdict, convey.ShouldEqual, Abstained)
		c.Token = "u"
		convey.So(g["1"].Claim(c, day).Verdict, convey.ShouldEqual, Granted)
	})
}
