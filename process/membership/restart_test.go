package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/event"
)

func TestPausedBalancer(t *testing.T) {
	convey.Convey("Given a balancer that is paused for 10 s while a server stops", t, func() {
		f := newThreeDomainFleet(6, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		paused := f.nodes[0]
		f.pause(paused.testProcess)
		f.agents[0].stopped = true
		f.run(10 * time.Second)
		f.resume(paused.testProcess)
		convey.Convey("it is not ready before its view is as complete as the others'", func() {
			convey.So(paused.core.join.ready, convey.ShouldBeFalse)
			_, ready := f.runUntil(5*time.Second, func() bool { return paused.core.join.ready })
			convey.So(ready, convey.ShouldBeTrue)
			convey.So(paused.hasServer(f.agents[0].name), convey.ShouldBeFalse)
		})
		convey.Convey("it removes no server and converges with the others", func() {
			convey.So(f.staysInViews(10*time.Second, f.agents[1].name), convey.ShouldBeTrue)
			_, converged := f.converge()
			convey.So(converged, convey.ShouldBeTrue)
		})
	})
}

func TestPausedAgent(t *testing.T) {
	convey.Convey("Given an agent that is paused for 10 s", t, func() {
		f := newThreeDomainFleet(7, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		agent := f.agents[0]
		_, fetched := f.runUntil(5*time.Second, func() bool { return agent.core.fetched })
		convey.So(fetched, convey.ShouldBeTrue)
		f.pause(agent.testProcess)
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			convey.So(n.hasServer(agent.name), convey.ShouldBeFalse)
		}
		f.resume(agent.testProcess)
		agent.tick()
		convey.Convey("its view is not ready when it resumes", func() {
			convey.So(agent.core.fetched, convey.ShouldBeFalse)
		})
		convey.Convey("it is in the views again with a higher version", func() {
			before := agent.core.self.Sequence
			_, converged := f.runUntil(10*time.Second, f.converged)
			convey.So(converged, convey.ShouldBeTrue)
			convey.So(agent.core.self.Sequence, convey.ShouldBeGreaterThan, before)
		})
	})
}

func TestReplacedServerAtTheSameAddress(t *testing.T) {
	cases := map[string]int64{"later clock": 1000, "earlier clock": -1_000_000}
	for name, drift := range cases {
		convey.Convey("A server of another service takes over an address, "+name, t, func() {
			f := newThreeDomainFleet(8, 2, 3)
			_, converged := f.converge()
			convey.So(converged, convey.ShouldBeTrue)
			old := f.agents[0]
			replacement := Record{
				Server: "catalogue-1", Service: "catalogue", Domain: old.domain, Packet: old.addr, Control: old.addr,
				Incarnation: uint64(f.now.UnixMilli() + drift), State: Cold, Weight: 10,
			}
			f.startAgent(old, replacement)
			oldName := old.name
			old.name = replacement.Server
			overlap := false
			took, converged := f.runUntil(10*time.Second, func() bool {
				for _, n := range f.nodes {
					overlap = overlap || n.hasServer(oldName) && n.hasServer(replacement.Server)
				}
				return f.converged()
			})
			convey.So(converged, convey.ShouldBeTrue)
			convey.So(overlap, convey.ShouldBeFalse)
			t.Logf("%s: converged after %v", name, took)
		})
	}
}

func TestRestartWithoutState(t *testing.T) {
	convey.Convey("A restarted balancer is ready only when its view matches that of its peers", t, func() {
		f := newThreeDomainFleet(10, 2, 30)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		n := f.nodes[3]
		f.run(time.Second)
		f.startNode(n, f.seeds(3))
		_, ready := f.runUntil(10*time.Second, func() bool { return n.core.join.ready })
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(n.core.currentView.Servers), convey.ShouldEqual, 90)
		_, converged = f.converge()
		convey.So(converged, convey.ShouldBeTrue)
	})
}

func TestConcurrentRestartOfAllBalancers(t *testing.T) {
	convey.Convey("Balancers that all restart without state discover the servers again and become ready", t, func() {
		f := newThreeDomainFleet(18, 10, 10)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		f.run(time.Second)
		for _, n := range f.nodes {
			f.startNode(n, f.seeds(3))
		}
		f.run(tickPeriod)
		convey.So(f.converged(), convey.ShouldBeFalse)
		took, converged := f.runUntil(8*time.Second, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
		t.Logf("converged after %v", took)
	})
}

func TestLeaveIsRepeated(t *testing.T) {
	convey.Convey("A server whose first leave messages are lost is removed within a second", t, func() {
		f := newThreeDomainFleet(16, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		agent := f.agents[0]
		f.partitioned = func(from, _ *testProcess) bool { return from == agent.testProcess }
		agent.core.leave(f.now)
		agent.perform()
		f.run(300 * time.Millisecond)
		convey.So(agent.core.leaveAcknowledged(), convey.ShouldBeFalse)
		f.partitioned = func(_, _ *testProcess) bool { return false }
		_, left := f.runUntil(700*time.Millisecond, agent.core.leaveAcknowledged)
		convey.So(left, convey.ShouldBeTrue)
		agent.stopped = true
		_, converged = f.runUntil(time.Second, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
	})
}

func TestNoCommonProtocolVersion(t *testing.T) {
	convey.Convey("A server without a common protocol version is recorded and not used", t, func() {
		f := newThreeDomainFleet(17, 2, 3)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		agent := f.agents[0]
		self := agent.core.self
		self.Incarnation++
		self.MinProtocol, self.MaxProtocol = 7, 9
		f.startAgent(agent, self)
		f.run(5 * time.Second)
		for _, n := range f.nodes {
			convey.So(n.hasServer(agent.name), convey.ShouldBeFalse)
			convey.So(n.eventCount(event.ViewChanged), convey.ShouldEqual, 1)
		}
		for _, a := range f.agents[1:] {
			convey.So(len(a.core.view().Servers), convey.ShouldEqual, 8)
		}
	})
}

func TestMassRestart(t *testing.T) {
	convey.Convey("1,000 servers that start at once are in all views within seconds", t, func() {
		f := newFleet(15)
		f.populate(fourDomains, 5, 0)
		_, converged := f.converge()
		convey.So(converged, convey.ShouldBeTrue)
		f.resetBytes()
		for i := range 1000 {
			f.addAgent(fmt.Sprintf("service-%02d", i%25), fourDomains[i%len(fourDomains)])
		}
		took, converged := f.runUntil(10*time.Second, f.converged)
		convey.So(converged, convey.ShouldBeTrue)
		datagrams, calls := f.nodeBytes()
		t.Logf("converged after %v, each balancer transferred %d bytes in datagrams, %d in calls", took, datagrams, calls)
	})
}

var fourDomains = []string{"sapporo", "asahikawa", "hakodate", "kushiro"}

func (f *fleet) resetBytes() {
	for _, p := range f.processes {
		p.bytes, p.callBytes = 0, 0
	}
}

// nodeBytes returns the average number of bytes sent and received by a balancer.
func (f *fleet) nodeBytes() (datagrams, calls int) {
	for _, n := range f.nodes {
		datagrams += n.bytes
		calls += n.callBytes
	}
	return datagrams / len(f.nodes), calls / len(f.nodes)
}
