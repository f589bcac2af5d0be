package gate_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// withTarget returns a version whose route has a latency target.
func withTarget(revision uint64, priority uint8) *routes.Version {
	v := versionOf(revision, "orders")
	route := v.Routes[serviceAddr]
	route.Priority, route.LatencyTarget = priority, 250*time.Millisecond
	return v
}

// newQueueCluster returns a cluster whose route has a latency target and whose first server is
// full, and the callers in progress there.
func newQueueCluster(agents int) (tc *testCluster, busy []*passthroughtest.Caller) {
	tc = newTestCluster(1)
	tc.version = withTarget(1, 1)
	tc.balancers[0].SetVersion(tc.version)
	tc.nodes[0].gate.SetVersion(tc.version)
	tc.nodes[0].server.Unresponsive = true
	for i := range 8 {
		c := tc.caller(i)
		tc.nodes[0].server.Unresponsive = false
		tc.sendThrough(0, c.OpeningPacket(0))
		tc.nodes[0].server.Unresponsive = true
		tc.sendThrough(0, c.Request())
		busy = append(busy, c)
	}
	tc.nodes[0].server.Unresponsive = false
	for i := 1; i < agents; i++ {
		tc.nodes = append(tc.nodes, &node{info: tc.nodes[0].info})
		tc.runs = append(tc.runs, 1)
		tc.nodes[i].info.Incarnation += uint32(i)
		tc.startAgent(i)
		tc.startServer(i)
	}
	tc.publishAgents()
	return tc, busy
}

// open sends the opening packet of a new caller to the first agent, which may forward it to the
// last one.
func (tc *testCluster) open(i int) *passthroughtest.Caller {
	c := tc.caller(1000 + i)
	tc.sendThrough(0, c.OpeningPacket(0))
	return c
}

// finish lets the server respond to a request in progress.
func (tc *testCluster) finish(c *passthroughtest.Caller) {
	tc.sendThrough(0, c.RetransmitRequest())
}

// TestOpeningWaitsForRoom guards against callers that wait for their next copy, 200 ms later,
// although a slot becomes free within milliseconds.
func TestOpeningWaitsForRoom(t *testing.T) {
	convey.Convey("Given a full server of a route with a latency target", t, func() {
		tc, busy := newQueueCluster(1)
		n := tc.nodes[0]

		convey.Convey("an opening packet is forwarded at the moment when a request ends, once, and counts as pending", func() {
			c := tc.open(0)
			convey.So(c.Opened, convey.ShouldBeFalse)
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 1)
			convey.So(n.gate.Pending(), convey.ShouldEqual, 9)
			tc.now += 200 * time.Millisecond
			tc.sendThrough(0, c.OpeningPacket(1))
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 1)
			convey.So(n.gate.Counters().Queued, convey.ShouldEqual, 1)
			tc.finish(busy[0])
			convey.So(c.Opened, convey.ShouldBeTrue)
			convey.So(n.server.OpenedFlows, convey.ShouldEqual, 9)
			tc.sendThrough(0, c.Request())
			convey.So(c.Responses, convey.ShouldHaveLength, 1)
		})
		convey.Convey("requests on flows that stay open do not wait behind opening packets", func() {
			for i := range 3 {
				tc.open(i)
			}
			for range 5 {
				tc.sendThrough(0, busy[0].Request())
			}
			convey.So(busy[0].Responses, convey.ShouldHaveLength, 5)
			convey.So(n.gate.Waiting(), convey.ShouldBeLessThan, 3)
		})
		convey.Convey("the end of a flow makes room too", func() {
			c := tc.open(0)
			reset := passthroughtest.Framed(resetOf(busy[0]))
			tc.sendThrough(0, reset)
			convey.So(c.Opened, convey.ShouldBeTrue)
		})
		convey.Convey("the entry of a caller that resets the flow or gives up is removed", func() {
			first, second := tc.open(0), tc.open(1)
			tc.sendThrough(0, passthroughtest.Framed(resetOf(first)))
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 1)
			tc.now += 1500 * time.Millisecond
			n.gate.Tick(tc.now)
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 0)
			convey.So(n.gate.Counters().QueueExpired, convey.ShouldEqual, 1)
			convey.So(n.gate.Counters().QueueWithdrawn, convey.ShouldEqual, 1)
			tc.network.Run()
			convey.So(second.Reset, convey.ShouldBeFalse)
			convey.So(n.server.OpenedFlows, convey.ShouldEqual, 8)
		})
		convey.Convey("a caller that cannot be served before it gives up is reset at once", func() {
			resets := 0
			for i := range 300 {
				if tc.open(i).Reset {
					resets++
				}
			}
			convey.So(resets, convey.ShouldEqual, 300-n.gate.Waiting())
			convey.So(resets, convey.ShouldBeGreaterThan, 100)
			convey.So(n.gate.Waiting(), convey.ShouldBeGreaterThan, 5)
		})
		convey.Convey("a route without a latency target is refused as before", func() {
			tc.version = versionOf(2, "orders")
			n.gate.SetVersion(tc.version)
			tc.open(0)
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 0)
			convey.So(n.gate.Counters().Refused, convey.ShouldEqual, 1)
		})
	})
}

// TestQueueOnChange guards against opening packets that are sent to a server that may no longer
// get them, or that are held for one that cannot take them.
func TestQueueOnChange(t *testing.T) {
	cases := []struct {
		name   string
		change func(tc *testCluster, g *gate.Gate)
		reset  bool
	}{
		{"the server starts draining", func(tc *testCluster, g *gate.Gate) {
			tc.nodes[0].info.State = steer.Draining
			g.SetServer(tc.nodes[0].info, tc.now)
		}, true},
		{"the server goes down", func(tc *testCluster, g *gate.Gate) {
			tc.nodes[0].info.State = steer.Down
			g.SetServer(tc.nodes[0].info, tc.now)
		}, true},
		{"the server becomes one of another service", func(tc *testCluster, g *gate.Gate) {
			tc.nodes[0].info.Service = "catalogue"
			g.SetServer(tc.nodes[0].info, tc.now)
		}, false},
		{"the domain goes out of service", func(_ *testCluster, g *gate.Gate) {
			v := withTarget(2, 1)
			v.OutDomains["junin"] = true
			g.SetVersion(v)
		}, false},
		{"the route is dropped", func(_ *testCluster, g *gate.Gate) {
			v := withTarget(2, 1)
			delete(v.Routes, serviceAddr)
			g.SetVersion(v)
		}, true},
		{"the agent stops", func(tc *testCluster, g *gate.Gate) { g.ReleaseQueue(tc.now) }, true},
	}
	for _, c := range cases {
		convey.Convey("Entries leave at once and never reach the server when "+c.name, t, func() {
			tc, _ := newQueueCluster(1)
			n := tc.nodes[0]
			callers := []*passthroughtest.Caller{tc.open(0), tc.open(1)}
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 2)
			c.change(tc, n.gate)
			tc.network.Run()
			convey.So(n.gate.Waiting(), convey.ShouldEqual, 0)
			convey.So(n.server.OpenedFlows, convey.ShouldEqual, 8)
			for _, caller := range callers {
				convey.So(caller.Opened, convey.ShouldBeFalse)
				convey.So(caller.Reset, convey.ShouldEqual, c.reset)
			}
		})
	}
	convey.Convey("Entries of a draining server are passed on to the alternate", t, func() {
		tc, _ := newQueueCluster(2)
		n := tc.nodes[0]
		setServers(tc.balancers[0], tc.servers())
		var waiting []*passthroughtest.Caller
		for i := 0; n.gate.Waiting() < 2 && i < 100; i++ {
			// The balancer chooses either agent.
			c := tc.open(i)
			if !c.Opened {
				waiting = append(waiting, c)
				continue
			}
			tc.sendThrough(0, c.Request())
		}
		convey.So(waiting, convey.ShouldHaveLength, 2)
		n.info.State = steer.Draining
		n.gate.SetServer(n.info, tc.now)
		tc.network.Run()
		for _, c := range waiting {
			convey.So(c.Opened, convey.ShouldBeTrue)
			convey.So(c.Reset, convey.ShouldBeFalse)
		}
		convey.So(n.gate.Counters().QueuePassedOn, convey.ShouldEqual, 2)
		convey.So(n.server.OpenedFlows, convey.ShouldEqual, 8)
	})
	convey.Convey("A caller that may have sent a later copy, which another server may hold, is not reset", t, func() {
		tc, _ := newQueueCluster(1)
		n := tc.nodes[0]
		c := tc.open(0)
		tc.now += 200 * time.Millisecond
		n.info.State = steer.Draining
		n.gate.SetServer(n.info, tc.now)
		tc.network.Run()
		convey.So(n.gate.Waiting(), convey.ShouldEqual, 0)
		convey.So(c.Reset, convey.ShouldBeFalse)
	})
	convey.Convey("Entries of a suspected server are refused", t, func() {
		tc, _ := newQueueCluster(1)
		n := tc.nodes[0]
		n.server.Unresponsive = true
		tc.sendThrough(0, passthroughtest.Framed(resetOf(tc.caller(0))))
		for i := range 3 {
			tc.open(i)
		}
		convey.So(n.gate.Waiting(), convey.ShouldEqual, 2)
		tc.now += 110 * time.Millisecond
		n.gate.Tick(tc.now)
		convey.So(n.gate.Waiting(), convey.ShouldEqual, 0)
		convey.So(n.resets, convey.ShouldResemble, []errkind.Kind{errkind.BackendUnavailable, errkind.BackendUnavailable})
	})
}

// TestQueueAgentReplaced guards against requests that are lost or run twice when an agent ends
// with a full queue.
func TestQueueAgentReplaced(t *testing.T) {
	convey.Convey("The next agent serves the callers' copies, each request once, and no open flow is reset", t, func() {
		tc, busy := newQueueCluster(1)
		n := tc.nodes[0]
		callers := []*passthroughtest.Caller{tc.open(0), tc.open(1), tc.open(2)}
		convey.So(n.gate.Waiting(), convey.ShouldEqual, 3)
		n.info.PredatesAgent = true
		tc.runs[0]++
		tc.startAgent(0)
		tc.publishAgents()
		tc.now += 200 * time.Millisecond
		for _, c := range callers {
			tc.sendThrough(0, c.OpeningPacket(1))
			tc.sendThrough(0, c.Request())
			convey.So(c.Opened, convey.ShouldBeTrue)
			convey.So(c.Responses, convey.ShouldHaveLength, 1)
		}
		convey.So(n.server.OpenedFlows, convey.ShouldEqual, 8+len(callers))
		for _, c := range append(busy, callers...) {
			tc.finish(c)
			convey.So(c.Reset, convey.ShouldBeFalse)
			convey.So(len(c.Responses), convey.ShouldBeGreaterThan, 0)
		}
	})
}

// TestQueuePriorityChange guards against entries that keep the rank of an earlier version.
func TestQueuePriorityChange(t *testing.T) {
	convey.Convey("Entries get the priority of the new version", t, func() {
		tc, busy := newQueueCluster(1)
		g := tc.nodes[0].gate
		first := tc.open(0)
		// The route gets a lower priority; a second address leads to a route with a higher one.
		v := withTarget(2, 3)
		other := routes.Route{Name: "urgent", Targets: v.Routes[serviceAddr].Targets, Priority: 2, LatencyTarget: 250 * time.Millisecond}
		v.Routes[otherAddr] = &other
		g.SetVersion(v)
		tc.balancers[0].SetVersion(v)
		second := tc.caller(2000)
		second.Flow.Service = passthrough.EndpointOf(otherAddr)
		tc.sendThrough(0, second.OpeningPacket(0))
		convey.So(g.Waiting(), convey.ShouldEqual, 2)
		tc.finish(busy[0])
		convey.So(second.Opened, convey.ShouldBeTrue)
		convey.So(first.Opened, convey.ShouldBeFalse)
		// A version without a target serves the rest as routes without one.
		g.SetVersion(versionOf(3, "orders"))
		convey.So(g.Waiting(), convey.ShouldEqual, 0)
		convey.So(first.Reset, convey.ShouldBeFalse)
	})
}

// TestQueueOfColdServer guards against a burst to a cold server from the queue.
func TestQueueOfColdServer(t *testing.T) {
	convey.Convey("Whatever is queued, a cold server gets its cold rate, and the rest after its warm-up", t, func() {
		tc := newTestCluster(1)
		v := withTarget(1, 1)
		v.Services["orders"] = routes.Service{ColdRate: 10}
		n := tc.nodes[0]
		n.gate.SetVersion(v)
		n.info.ColdUntil = tc.now + time.Second
		n.gate.SetServer(n.info, tc.now)
		for i := range 6 {
			tc.open(i)
		}
		for range 10 {
			tc.now += 50 * time.Millisecond
			n.gate.Tick(tc.now)
			tc.network.Run()
			// The burst of two and one every 100 ms.
			convey.So(n.server.OpenedFlows, convey.ShouldBeLessThanOrEqualTo, 2+int((tc.now-time.Second)/(100*time.Millisecond)))
		}
		convey.So(n.server.OpenedFlows, convey.ShouldBeGreaterThan, 2)
	})
}

var otherAddr = netip.MustParseAddrPort("198.18.0.2:443")

// resetOf returns a packet with which a caller resets its flow.
func resetOf(c *passthroughtest.Caller) passthrough.Segment {
	return passthrough.Segment{Source: c.Flow.Caller, Target: c.Flow.Service, Ack: c.Acknowledged(), Flags: passthrough.Reset | passthrough.Acknowledge}
}
