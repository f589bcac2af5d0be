package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

func TestCompactHeartbeatRoundTrip(t *testing.T) {
	convey.Convey("A compact heartbeat of the specified size decodes to the value that was encoded", t, func() {
		b := compactHeartbeat{
			state: steer.Failing, receivesHeartbeats: true, run: 7, peer: addressOf(3), version: 1 << 40, interval: 250 * time.Millisecond,
			confirmedAge: 1500 * time.Millisecond, meanOpenRequests: 1.25, flows: 812, incarnation: 99,
		}
		encoded := b.encode()
		convey.So(encoded, convey.ShouldHaveLength, compactHeartbeatSize)
		read, err := parseCompactHeartbeat(encoded)
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, b)
	})
}

// dropFullHeartbeats drops the given number of full heartbeats sent by a process and
// delivers all other datagrams.
func (c *testCluster) dropFullHeartbeats(from, count int) {
	c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
		if passthrough.Kind(b[0]) != passthrough.Hello || sender(b) != addressOf(from) || count == 0 {
			return false
		}
		count--
		return true
	}
}

func TestCompactHeartbeats(t *testing.T) {
	convey.Convey("Given a balancer and an agent that know each other", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), Agent)
		c.advance(4 * time.Second)
		full, compact := 0, 0
		count := func(b []byte, _ passthrough.Endpoint) bool {
			switch passthrough.Kind(b[0]) {
			case passthrough.Hello:
				full++
			case passthrough.CompactHeartbeat:
				compact++
			default:
			}
			return false
		}

		convey.Convey("most heartbeats are compact and carry load, state, version and age", func() {
			c.network.Drop = count
			c.processes[1].self.Report.MeanOpenRequests, c.processes[1].self.Report.Flows = 1.5, 12
			c.processes[1].self.Report.State, c.processes[1].self.Version = steer.Draining, routes.Revision{Index: 3}
			c.advance(4 * time.Second)
			convey.So(compact, convey.ShouldBeGreaterThan, 5*full)
			convey.So(c.status(0, 1).Report, convey.ShouldResemble, Report{State: steer.Draining, Slots: 2, MeanOpenRequests: 1.5, Flows: 12})
			convey.So(c.status(0, 1).Version, convey.ShouldResemble, routes.Revision{Index: 3})
			convey.So(c.processes[0].newerVersions, convey.ShouldContain, routes.Revision{Index: 3})
		})
		convey.Convey("a reply requested by a full or compact heartbeat is sent immediately", func() {
			replies := 0
			c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
				if sender(b) == addressOf(1) {
					replies++
				}
				return false
			}
			h := heartbeat{Member: c.processes[0].self, interval: time.Second, receivesHeartbeats: true, wantsReply: true}
			c.processes[1].roster.HandleHeartbeat(h.encode(), c.now)
			c.network.Run()
			convey.So(replies, convey.ShouldEqual, 1)
			compact := compactHeartbeatOf(&h)
			c.processes[1].roster.HandleCompactHeartbeat(compact.encode(), c.now)
			c.network.Run()
			convey.So(replies, convey.ShouldEqual, 2)
			h.wantsReply = false
			c.processes[1].roster.HandleHeartbeat(h.encode(), c.now)
			c.network.Run()
			convey.So(replies, convey.ShouldEqual, 2)
		})
		convey.Convey("a change of service is sent in full heartbeats, even if the first ones are lost", func() {
			c.dropFullHeartbeats(1, 2)
			c.processes[1].self.Service = "catalogue"
			c.advance(1100 * time.Millisecond)
			convey.So(c.status(0, 1).Service, convey.ShouldEqual, "catalogue")
		})
		convey.Convey("a restarted agent becomes known even if its first full heartbeats are lost", func() {
			c.processes[1].self.Run, c.processes[1].self.Service = 2, "catalogue"
			c.start(1)
			c.processes[1].roster.Add(addressOf(0), Balancer)
			c.dropFullHeartbeats(1, 3)
			c.advance(2 * time.Second)
			convey.So(c.status(0, 1).Run, convey.ShouldEqual, 2)
			convey.So(c.status(0, 1).Service, convey.ShouldEqual, "catalogue")
			convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("compact heartbeats of an unknown run do not keep the previous run reachable", func() {
			b := compactHeartbeat{run: 9, peer: addressOf(1), interval: time.Second, receivesHeartbeats: true}
			c.network.Attach(addressOf(1), nil)
			c.processes[0].roster.HandleCompactHeartbeat(b.encode(), c.now)
			c.processes[0].roster.Tick(c.now)
			convey.So(c.status(0, 1).Reachable, convey.ShouldBeFalse)
		})
		convey.Convey("a process that has lost its state gets a full heartbeat from the agent", func() {
			c.start(0)
			c.advance(1500 * time.Millisecond)
			convey.So(c.status(0, 1), convey.ShouldNotBeNil)
			convey.So(c.status(0, 1).Service, convey.ShouldEqual, "orders")
		})
	})
}
