package membership

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/event"
)

// convergenceLimit bounds the virtual time until all views agree.
const convergenceLimit = 2 * time.Minute

// newThreeDomainFleet returns a fleet of three failure domains with the given
// number of balancers and servers in each.
func newThreeDomainFleet(seed uint64, balancers, servers int) *fleet {
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

func (f *fleet) converge() (time.Duration, bool) {
	return f.runUntil(convergenceLimit, f.converged)
}

func (n *testNode) hasServer(server string) bool {
	for _, r := range n.core.currentView.Servers {
		if r.Server == server {
			return true
		}
	}
	return false
}

func (n *testNode) eventCount(kind event.Kind) int {
	count := 0
	for _, e := range n.events {
		if e.event.Kind == kind {
			count++
		}
	}
	return count
}

// staysInViews runs the fleet and reports whether the server stayed in the view of
// every running balancer all the time.
func (f *fleet) staysInViews(duration time.Duration, server string) bool {
	for end := f.now.Add(duration); f.now.Before(end); f.run(tickPeriod) {
		for _, n := range f.nodes {
			if !n.stopped && !n.paused && n.core.join.ready && !n.hasServer(server) {
				return false
			}
		}
	}
	return true
}

func TestFailedServerIsRemoved(t *testing.T) {
	convey.Convey("A server that stops is removed from all views and the others stay", t, func() {
		f := newThreeDomainFleet(1, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		f.agents[0].stopped = true
		took, converged := f.runUntil(8*time.Second, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
		t.Logf("removed after %v", took)
	})
}

func TestPartitionFromHomesRemovesNoServer(t *testing.T) {
	cases := []struct {
		name             string
		homes            int
		toHome, fromHome bool
	}{
		{"heartbeats to one home are lost", 1, true, false},
		{"replies of one home are lost", 1, false, true},
		{"replies of all homes are lost", 3, false, true},
		{"heartbeats to all homes are lost, other balancers are reachable", 3, true, false},
		{"it is partitioned from all homes, other balancers are reachable", 3, true, true},
	}
	for i, c := range cases {
		convey.Convey("A server stays in the views while "+c.name, t, func() {
			f := newThreeDomainFleet(uint64(200+i), 2, 3)
			_, converged := f.converge()
			convey.So(converged, convey.ShouldBeTrue)
			f.run(2 * time.Second)
			agent := f.agents[0]
			homes := make(map[*testProcess]bool)
			for _, home := range agent.core.homePeers()[:c.homes] {
				homes[f.nodeAt(home.Control).testProcess] = true
			}
			f.partitioned = func(from, to *testProcess) bool {
				requestLost := c.toHome && from == agent.testProcess && homes[to]
				replyLost := c.fromHome && homes[from] && to == agent.testProcess
				return requestLost || replyLost
			}
			convey.So(f.staysInViews(30*time.Second, agent.name), convey.ShouldBeTrue)
		})
	}
}

func TestPartitionBetweenTwoDomainsRemovesNoServer(t *testing.T) {
	convey.Convey("Two failure domains that reach each other only through a third one stay in the views", t, func() {
		f := newThreeDomainFleet(3, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		f.partitioned = func(from, to *testProcess) bool {
			return from.domain == "junin" && to.domain == "pasco" || from.domain == "pasco" && to.domain == "junin"
		}
		incarnation := f.nodes[0].core.self.Incarnation
		for end := f.now.Add(30 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			convey.So(f.converged(), convey.ShouldBeTrue)
		}
		convey.Convey("and no balancer had to refute, since the third failure domain relays probes", func() {
			convey.So(f.nodes[0].core.self.Incarnation, convey.ShouldEqual, incarnation)
		})
	})
}

func TestIsolatedDomainKeepsLastView(t *testing.T) {
	convey.Convey("Given a failure domain that is partitioned from the two others", t, func() {
		f := newThreeDomainFleet(4, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		f.partitioned = func(from, to *testProcess) bool { return (from.domain == "junin") != (to.domain == "junin") }
		f.run(30 * time.Second)
		convey.Convey("it keeps the others' servers and records the mass silence", func() {
			for _, n := range f.nodes {
				if n.domain == "junin" {
					convey.So(len(n.core.currentView.Servers), convey.ShouldEqual, 9)
					convey.So(n.eventCount(event.MassSilence), convey.ShouldBeGreaterThan, 0)
				}
			}
		})
		convey.Convey("the two others, which agree, remove its servers", func() {
			for _, n := range f.nodes {
				if n.domain != "junin" {
					convey.So(len(n.core.currentView.Servers), convey.ShouldEqual, 6)
				}
			}
		})
		convey.Convey("all views agree after the partition ends", func() {
			f.partitioned = func(_, _ *testProcess) bool { return false }
			_, converged := f.converge()
			convey.So(converged, convey.ShouldBeTrue)
		})
	})
}

func TestBalancerWithoutReceptionRemovesNoServer(t *testing.T) {
	convey.Convey("A balancer that receives nothing removes no server", t, func() {
		f := newThreeDomainFleet(5, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		isolated := f.nodes[0]
		f.partitioned = func(_, to *testProcess) bool { return to == isolated.testProcess }
		for end := f.now.Add(30 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			for _, n := range f.nodes {
				convey.So(len(n.core.currentView.Servers), convey.ShouldEqual, 9)
			}
		}
	})
}

func TestLossDuplicationAndReordering(t *testing.T) {
	convey.Convey("Given 2% loss, duplication and reordering", t, func() {
		f := newThreeDomainFleet(9, 3, 10)
		f.loss, f.duplication, f.reordering = 0.02, 0.02, 0.02
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		convey.Convey("no server is removed within 2 minutes", func() {
			for end := f.now.Add(2 * time.Minute); f.now.Before(end); f.run(tickPeriod) {
				for _, n := range f.nodes {
					convey.So(len(n.core.currentView.Servers), convey.ShouldEqual, 30)
				}
			}
		})
		convey.Convey("announced changes and a server that stops reach all balancers", func() {
			for i, a := range f.agents[:10] {
				a.core.setState(f.now, Draining, uint16(i))
				a.perform()
			}
			f.agents[20].stopped = true
			_, converged := f.converge()
			convey.So(converged, convey.ShouldBeTrue)
		})
	})
}

func TestMissedChangeIsRecovered(t *testing.T) {
	convey.Convey("A change that is pushed while a balancer is partitioned reaches it later", t, func() {
		f := newThreeDomainFleet(11, 3, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		isolated := f.nodes[0]
		f.partitioned = func(from, to *testProcess) bool { return to == isolated.testProcess || from == isolated.testProcess }
		for _, a := range f.agents {
			a.core.setState(f.now, Draining, 0)
			a.perform()
		}
		f.run(1500 * time.Millisecond)
		convey.So(f.converged(), convey.ShouldBeFalse)
		f.partitioned = func(_, _ *testProcess) bool { return false }
		_, converged = f.runUntil(5*time.Second, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
	})
}

func TestAnnouncedChangeIsRepeated(t *testing.T) {
	convey.Convey("A change whose first messages are lost reaches all balancers within a second", t, func() {
		f := newThreeDomainFleet(12, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		agent := f.agents[0]
		f.partitioned = func(from, _ *testProcess) bool { return from == agent.testProcess }
		agent.core.setState(f.now, Draining, 0)
		agent.perform()
		f.run(300 * time.Millisecond)
		f.partitioned = func(_, _ *testProcess) bool { return false }
		_, converged = f.runUntil(700*time.Millisecond, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
	})
}

func TestHomesMoveFromFailedBalancers(t *testing.T) {
	convey.Convey("A server stays in the views when all of its homes stop at once", t, func() {
		f := newThreeDomainFleet(13, 4, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		agent := f.agents[0]
		for _, peer := range agent.core.homePeers() {
			f.nodeAt(peer.Control).stopped = true
		}
		convey.So(f.staysInViews(30*time.Second, agent.name), convey.ShouldBeTrue)
		convey.So(f.converged(), convey.ShouldBeTrue)
		convey.So(len(agent.core.homePeers()), convey.ShouldEqual, homeCount)
	})
}

func TestStalePeerDoesNotRestoreRemovedServer(t *testing.T) {
	convey.Convey("A balancer that was partitioned does not restore a server that stopped meanwhile", t, func() {
		f := newThreeDomainFleet(14, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		old := f.nodes[0]
		f.partitioned = func(from, to *testProcess) bool { return from == old.testProcess || to == old.testProcess }
		gone := f.agents[1]
		gone.stopped = true
		f.run(2 * time.Minute)
		f.partitioned = func(_, _ *testProcess) bool { return false }
		for end := f.now.Add(20 * time.Second); f.now.Before(end); f.run(tickPeriod) {
			for _, n := range f.nodes[1:] {
				convey.So(n.hasServer(gone.name), convey.ShouldBeFalse)
			}
		}
		convey.So(f.converged(), convey.ShouldBeTrue)
	})
}
