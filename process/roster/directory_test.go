package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

// listAll passes the addresses of the given processes to a process as a read of the directory.
func (c *testCluster) listAll(at int, listed ...int) {
	var entries []Entry
	for _, i := range listed {
		entries = append(entries, Entry{addressOf(i), c.processes[i].self.Role})
	}
	c.processes[at].roster.UpdateDirectory(entries, c.now)
}

// TestAgentStartedDuringCut guards against flows that are reset although their server runs: an
// agent that started while a failure domain was cut off forgot the agents there after four
// attempts, took its view for complete and concluded that no agent holds their flows.
func TestAgentStartedDuringCut(t *testing.T) {
	convey.Convey("Given an agent that starts while nothing passes to one failure domain", t, func() {
		const balancer, cutOff, other, started = 0, 1, 2, 3
		c := newTestCluster(1, 3)
		for i := range started {
			c.listAll(i, balancer, cutOff, other)
		}
		c.network.Attach(addressOf(started), nil)
		c.advance(time.Second)
		c.network.Drop = func(_ []byte, to passthrough.Endpoint) bool { return to == addressOf(cutOff) }
		c.start(started)
		c.listAll(started, balancer, cutOff, other, started)
		c.advance(6 * time.Second)
		view := c.processes[started].roster

		convey.Convey("its view is incomplete as long as the cut lasts", func() {
			convey.So(view.DiscoveryComplete(), convey.ShouldBeFalse)
			c.listAll(started, balancer, cutOff, other, started)
			c.advance(removeAfter)
			convey.So(view.DiscoveryComplete(), convey.ShouldBeFalse)
		})
		convey.Convey("both sides know each other two seconds after the cut", func() {
			c.network.Drop = nil
			c.advance(2 * time.Second)
			convey.So(view.DiscoveryComplete(), convey.ShouldBeTrue)
			convey.So(c.status(started, cutOff).Reachable, convey.ShouldBeTrue)
			convey.So(c.status(cutOff, started).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("its view is complete when the directory does not list the agent any more", func() {
			c.advance(removeAfter)
			c.listAll(started, balancer, other, started)
			c.advance(time.Second)
			convey.So(view.DiscoveryComplete(), convey.ShouldBeTrue)
		})
	})
	convey.Convey("Given an agent whose heartbeats have stopped for long", t, func() {
		c := newTestCluster(0, 2)
		c.listAll(0, 0, 1)
		c.listAll(1, 0, 1)
		c.advance(time.Second)
		c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool { return sender(b) == addressOf(1) }
		c.advance(removeAfter)
		convey.Convey("it stays a member while the directory lists it", func() {
			c.listAll(0, 0, 1)
			c.advance(removeAfter + 2*time.Second)
			convey.So(c.status(0, 1), convey.ShouldNotBeNil)
		})
		convey.Convey("it is removed when the directory does not", func() {
			c.listAll(0, 0)
			c.advance(2 * time.Second)
			convey.So(c.status(0, 1), convey.ShouldBeNil)
		})
	})
}
