package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/event"
)

func TestPausedBalancer(t *testing.T) {
	convey.Convey("Given a balancer that is stopped for 10 s while a server ends", t, func() {
		f := newAndes(6, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		paused := f.nodes[0]
		f.pause(paused.testProcess)
		f.agents[0].stopped = true
		f.run(10 * time.Second)
		f.resume(paused.testProcess)
		convey.Convey("it is not ready before its view is as good as the others'", func() {
			convey.So(paused.core.join.ready, convey.ShouldBeFalse)
			_, ready := f.runUntil(5*time.Second, func() bool { return paused.core.join.ready })
			convey.So(ready, convey.ShouldBeTrue)
			convey.So(paused.sees(f.agents[0].name), convey.ShouldBeFalse)
		})
		convey.Convey("it takes nobody out and is back with the others", func() {
			convey.So(f.neverGone(10*time.Second, f.agents[1].name), convey.ShouldBeTrue)
			_, settled := f.settle()
			convey.So(settled, convey.ShouldBeTrue)
		})
	})
}

func TestPausedAgent(t *testing.T) {
	convey.Convey("Given an agent that is stopped for 10 s", t, func() {
		f := newAndes(7, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		agent := f.agents[0]
		_, fetched := f.runUntil(5*time.Second, func() bool { return agent.core.fetched })
		convey.So(fetched, convey.ShouldBeTrue)
		f.pause(agent.testProcess)
		f.run(10 * time.Second)
		for _, n := range f.nodes {
			convey.So(n.sees(agent.name), convey.ShouldBeFalse)
		}
		f.resume(agent.testProcess)
		agent.tick()
		convey.Convey("its view is not fresh when it resumes", func() {
			convey.So(agent.core.fetched, convey.ShouldBeFalse)
		})
		convey.Convey("it is in again with a higher version", func() {
			before := agent.core.self.Sequence
			_, settled := f.runUntil(10*time.Second, f.settled)
			convey.So(settled, convey.ShouldBeTrue)
			convey.So(agent.core.self.Sequence, convey.ShouldBeGreaterThan, before)
		})
	})
}

func TestReplacedServerAtTheSameAddress(t *testing.T) {
	cases := map[string]int64{"later clock": 1000, "earlier clock": -1_000_000}
	for name, drift := range cases {
		convey.Convey("A server of another service takes over an address, "+name, t, func() {
			f := newAndes(8, 2, 3)
			_, settled := f.settle()
			convey.So(settled, convey.ShouldBeTrue)
			old := f.agents[0]
			replacement := Record{
				Server: "catalogue-1", Service: "catalogue", Domain: old.domain, Packet: old.addr, Control: old.addr,
				Incarnation: uint64(f.now.UnixMilli() + drift), State: Cold, Weight: 10,
			}
			f.startAgent(old, replacement)
			oldName := old.name
			old.name = replacement.Server
			shared := false
			took, settled := f.runUntil(10*time.Second, func() bool {
				for _, n := range f.nodes {
					shared = shared || n.sees(oldName) && n.sees(replacement.Server)
				}
				return f.settled()
			})
			convey.So(settled, convey.ShouldBeTrue)
			convey.So(shared, convey.ShouldBeFalse)
			t.Logf("%s: settled after %v", name, took)
		})
	}
}

func TestRestartWithEmptyMemory(t *testing.T) {
	convey.Convey("A restarted balancer is ready only when it sees what its peers see", t, func() {
		f := newAndes(10, 2, 30)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		n := f.nodes[3]
		f.run(time.Second)
		f.startNode(n, f.seeds(3))
		_, ready := f.runUntil(10*time.Second, func() bool { return n.core.join.ready })
		convey.So(ready, convey.ShouldBeTrue)
		convey.So(len(n.core.current.Servers), convey.ShouldEqual, 90)
		_, settled = f.settle()
		convey.So(settled, convey.ShouldBeTrue)
	})
}

func TestAllBalancersRestartAtOnce(t *testing.T) {
	convey.Convey("Balancers that all start with empty memory learn the servers again and serve", t, func() {
		f := newAndes(18, 10, 10)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		f.run(time.Second)
		for _, n := range f.nodes {
			f.startNode(n, f.seeds(3))
		}
		f.run(tickPeriod)
		convey.So(f.settled(), convey.ShouldBeFalse)
		took, settled := f.runUntil(8*time.Second, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
		t.Logf("settled after %v", took)
	})
}

func TestLeaveIsRepeated(t *testing.T) {
	convey.Convey("A server whose first messages at its end are lost is out within a second", t, func() {
		f := newAndes(16, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		agent := f.agents[0]
		f.cut = func(from, _ *testProcess) bool { return from == agent.testProcess }
		agent.core.leave(f.now)
		agent.perform()
		f.run(300 * time.Millisecond)
		convey.So(agent.core.left(), convey.ShouldBeFalse)
		f.cut = func(_, _ *testProcess) bool { return false }
		_, left := f.runUntil(700*time.Millisecond, agent.core.left)
		convey.So(left, convey.ShouldBeTrue)
		agent.stopped = true
		_, settled = f.runUntil(time.Second, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
	})
}

func TestNoCommonProtocolVersion(t *testing.T) {
	convey.Convey("A server that supports no common protocol version is told and not used", t, func() {
		f := newAndes(17, 2, 3)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		agent := f.agents[0]
		self := agent.core.self
		self.Incarnation++
		self.MinProtocol, self.MaxProtocol = 7, 9
		f.startAgent(agent, self)
		f.run(5 * time.Second)
		for _, n := range f.nodes {
			convey.So(n.sees(agent.name), convey.ShouldBeFalse)
			convey.So(n.count(event.ViewChanged), convey.ShouldEqual, 1)
		}
		for _, a := range f.agents[1:] {
			convey.So(len(a.core.view().Servers), convey.ShouldEqual, 8)
		}
	})
}

func TestMassRestart(t *testing.T) {
	convey.Convey("1,000 servers that start at once are seen everywhere within seconds", t, func() {
		f := newFleet(15)
		f.populate(hokkaido, 5, 0)
		_, settled := f.settle()
		convey.So(settled, convey.ShouldBeTrue)
		f.resetBytes()
		for i := range 1000 {
			f.addAgent(fmt.Sprintf("service-%02d", i%25), hokkaido[i%len(hokkaido)])
		}
		took, settled := f.runUntil(10*time.Second, f.settled)
		convey.So(settled, convey.ShouldBeTrue)
		datagrams, calls := f.nodeBytes()
		t.Logf("settled after %v, a balancer moved %d bytes in datagrams, %d in calls", took, datagrams, calls)
	})
}

var hokkaido = []string{"sapporo", "asahikawa", "hakodate", "kushiro"}

func (f *fleet) resetBytes() {
	for _, p := range f.procs {
		p.bytes, p.callBytes = 0, 0
	}
}

// nodeBytes returns the bytes sent and received by a balancer on average.
func (f *fleet) nodeBytes() (datagrams, calls int) {
	for _, n := range f.nodes {
		datagrams += n.bytes
		calls += n.callBytes
	}
	return datagrams / len(f.nodes), calls / len(f.nodes)
}
