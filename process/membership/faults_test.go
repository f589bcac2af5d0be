package membership

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/event"
)

// settleLimit bounds the virtual time until all views agree.
const settleLimit = 2 * time.Minute

// newAndes returns a settled fleet of three failure domains with balancers and
// servers of each.
func newAndes(seed uint64, balancers, servers int) *fleet {
	f := newFleet(seed)
	f.populate([]string{"junin", "huancavelica", "pasco"}, balancers, servers)
	return f
}

func (f *fleet) populate(domains []string, balancers, servers int) {
	for range balancers {
		for _, domain := range domains {
			f.addNode(domain)
		}
	}
	for range servers {
		for _, domain := range domains {
			f.addAgent("ordering", domain)
		}
	}
}

func (f *fleet) settle() (time.Duration, bool) {
	return f.runUntil(settleLimit, f.settled)
}

func (n *testNode) sees(server string) bool {
	for _, r := range n.core.current.Servers {
		if r.Server == server {
			return true
		}
	}
	return false
}

func (n *testNode) count(kind event.Kind) int {
	count := 0
	for _, e := range n.events {
		if e.event.Kind == kind {
			count++
		}
	}
	return count
}

// neverGone runs and tells whether every running balancer kept the server in
// its view all the time.
func (f *fleet) neverGone(duration time.Duration, server string) bool {
	for end := f.now.Add(duration); f.now.Before(end); f.run(tickPeriod) {
		for _, n := range f.nodes {
			if !n.stopped && !n.paused && n.core.join.ready && !n.sees(server) {
				return false
			}
		}
	}
	return true
}

func TestSilentServerIsTakenOut(t *testing.T) {
	convey.Convey("A server that stops is out everywhere and the others stay", t, func() {
		f := newAndes(1, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		f.agents[0].stopped = true
		took, settled := f.runUntil(8*time.Second, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
		t.Logf("out after %v", took)
	})
}

func TestCutAtHomesTakesNobodyOut(t *testing.T) {
	cases := []struct {
		name         string
		homes        int
		toHome, back bool
	}{
		{"heartbeats to one home are lost", 1, true, false},
		{"answers of one home are lost", 1, false, true},
		{"answers of all homes are lost", 3, false, true},
		{"heartbeats to all homes are lost, others are reached", 3, true, false},
		{"all homes are cut off, others are reached", 3, true, true},
	}
	for i, c := range cases {
		convey.Convey("A server stays in while "+c.name, t, func() {
			f := newAndes(uint64(200+i), 2, 3)
			_, settled := f.settle()
			convey.So(settled, convey.ShouldBeTrue)
			f.run(2 * time.Second)
			agent := f.agents[0]
			cut := make(map[*testProcess]bool)
			for _, home := range agent.core.homePeers()[:c.homes] {
				cut[f.nodeAt(home.Control).testProcess] = true
			}
			f.cut = func(from, to *testProcess) bool {
				forth := c.toHome && from == agent.testProcess && cut[to]
				back := c.back && cut[from] && to == agent.testProcess
				return forth || back
			}
			convey.So(f.neverGone(30*time.Second, agent.name), convey.ShouldBeTrue)
		})
	}
}

func TestCutBetweenTwoDomainsTakesNobodyOut(t *testing.T) {
	convey.Convey("Two failure domains that reach each other only through the third stay in", t, func() {
		f := newAndes(3, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		f.cut = func(from, to *testProcess) bool {
			return from.domain == "junin" && to.domain == "pasco" || from.domain == "pasco" && to.domain == "junin"
		}
		incarnation := f.nodes[0].core.self.Incarnation
		for end := f.now.Add(30 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			convey.So(f.settled(), convey.ShouldBeTrue)
		}
		convey.Convey("and no balancer had to refute, as the third domain probes for both", func() {
			convey.So(f.nodes[0].core.self.Incarnation, convey.ShouldEqual, incarnation)
		})
	})
}

func TestIsolatedDomainKeepsItsLastView(t *testing.T) {
	convey.Convey("Given a failure domain that is cut off from the two others", t, func() {
		f := newAndes(4, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		f.cut = func(from, to *testProcess) bool { return (from.domain == "junin") != (to.domain == "junin") }
		f.run(30 * time.Second)
		convey.Convey("it keeps the others' servers and records the mass silence", func() {
			for _, n := range f.nodes {
				if n.domain == "junin" {
					convey.So(len(n.core.current.Servers), convey.ShouldEqual, 9)
					convey.So(n.count(event.MassSilence), convey.ShouldBeGreaterThan, 0)
				}
			}
		})
		convey.Convey("the two others, which agree, take its servers out", func() {
			for _, n := range f.nodes {
				if n.domain != "junin" {
					convey.So(len(n.core.current.Servers), convey.ShouldEqual, 6)
				}
			}
		})
		convey.Convey("all views agree after the cut", func() {
			f.cut = func(_, _ *testProcess) bool { return false }
			_, settled := f.settle()
			convey.So(settled, convey.ShouldBeTrue)
		})
	})
}

func TestDeafBalancerJudgesNobody(t *testing.T) {
	convey.Convey("A balancer that receives nothing takes nobody out", t, func() {
		f := newAndes(5, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		deaf := f.nodes[0]
		f.cut = func(_, to *testProcess) bool { return to == deaf.testProcess }
		for end := f.now.Add(30 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			for _, n := range f.nodes {
				convey.So(len(n.core.current.Servers), convey.ShouldEqual, 9)
			}
		}
	})
}

func TestLossDuplicationAndReordering(t *testing.T) {
	convey.Convey("Given 2% loss, duplication and reordering", t, func() {
		f := newAndes(9, 3, 10)
		f.loss, f.duplication, f.reordering = 0.02, 0.02, 0.02
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		convey.Convey("nobody is taken out in 2 minutes", func() {
			for end := f.now.Add(2 * time.Minute); f.now.Before(end); f.run(tickPeriod) {
				for _, n := range f.nodes {
					convey.So(len(n.core.current.Servers), convey.ShouldEqual, 30)
				}
			}
		})
		convey.Convey("announced changes and ends reach everyone", func() {
			for i, a := range f.agents[:10] {
				a.core.setState(f.now, Draining, uint16(i))
				a.perform()
			}
			f.agents[20].stopped = true
			_, settled := f.settle()
			convey.So(settled, convey.ShouldBeTrue)
		})
	})
}

func TestMissedChangeIsRepaired(t *testing.T) {
	convey.Convey("A change that is pushed while a balancer is cut off reaches it later", t, func() {
		f := newAndes(11, 3, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		deaf := f.nodes[0]
		f.cut = func(from, to *testProcess) bool { return to == deaf.testProcess || from == deaf.testProcess }
		for _, a := range f.agents {
			a.core.setState(f.now, Draining, 0)
			a.perform()
		}
		f.run(1500 * time.Millisecond)
		convey.So(f.settled(), convey.ShouldBeFalse)
		f.cut = func(_, _ *testProcess) bool { return false }
		_, settled = f.runUntil(5*time.Second, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
	})
}

func TestAnnouncedChangeIsRepeated(t *testing.T) {
	convey.Convey("A change whose first messages are lost is everywhere within a second", t, func() {
		f := newAndes(12, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		agent := f.agents[0]
		f.cut = func(from, _ *testProcess) bool { return from == agent.testProcess }
		agent.core.setState(f.now, Draining, 0)
		agent.perform()
		f.run(300 * time.Millisecond)
		f.cut = func(_, _ *testProcess) bool { return false }
		_, settled = f.runUntil(700*time.Millisecond, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
	})
}

func TestDeadBalancersHomesMove(t *testing.T) {
	convey.Convey("Servers keep their place when all of their homes end at once", t, func() {
		f := newAndes(13, 4, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		agent := f.agents[0]
		for _, peer := range agent.core.homePeers() {
			f.nodeAt(peer.Control).stopped = true
		}
		convey.So(f.neverGone(30*time.Second, agent.name), convey.ShouldBeTrue)
		convey.So(f.settled(), convey.ShouldBeTrue)
		convey.So(len(agent.core.homePeers()), convey.ShouldEqual, homeCount)
	})
}

func TestLongSilentServerDoesNotComeBackFromAnOldPeer(t *testing.T) {
	convey.Convey("A balancer that was cut off brings back nobody who ended meanwhile", t, func() {
		f := newAndes(14, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		old := f.nodes[0]
		f.cut = func(from, to *testProcess) bool { return from == old.testProcess || to == old.testProcess }
		gone := f.agents[1]
		gone.stopped = true
		f.run(2 * time.Minute)
		f.cut = func(_, _ *testProcess) bool { return false }
		for end := f.now.Add(20 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			for _, n := range f.nodes[1:] {
				convey.So(n.sees(gone.name), convey.ShouldBeFalse)
			}
		}
		convey.So(f.settled(), convey.ShouldBeTrue)
	})
}
