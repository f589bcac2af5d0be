package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

// TestRequestView guards against a view that counts as complete although a balancer knows an
// agent that is missing from it.
func TestRequestView(t *testing.T) {
	convey.Convey("Given an agent that one balancer knows and another agent does not", t, func() {
		const balancer, agent, unknown = 0, 1, 2
		c := newTestCluster(1, 2)
		c.listAll(agent, balancer)
		c.listAll(unknown, balancer)
		c.network.Drop = func(b []byte, to passthrough.Endpoint) bool {
			return (to == addressOf(agent) && sender(b) == addressOf(unknown)) || (to == addressOf(unknown) && sender(b) == addressOf(agent))
		}
		c.advance(5 * time.Second)
		c.processes[agent].roster.remove(addressOf(unknown), &peerState{})
		view := c.processes[agent].roster
		convey.So(view.DiscoveryComplete(), convey.ShouldBeTrue)
		var received []passthrough.Endpoint
		view.options.OnView = func(from passthrough.Endpoint) { received = append(received, from) }
		view.RequestView(addressOf(balancer), c.now)
		c.network.Run()

		convey.Convey("the view of the balancer makes its own incomplete until that agent answers", func() {
			convey.So(received, convey.ShouldResemble, []passthrough.Endpoint{addressOf(balancer)})
			convey.So(view.DiscoveryComplete(), convey.ShouldBeFalse)
			c.network.Drop = nil
			c.advance(time.Second)
			convey.So(view.DiscoveryComplete(), convey.ShouldBeTrue)
			convey.So(c.status(agent, unknown), convey.ShouldNotBeNil)
		})
		convey.Convey("requests are limited", func() {
			requests := 0
			c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
				if passthrough.Kind(b[0]) == passthrough.ViewRequest {
					requests++
				}
				return false
			}
			view.RequestView(addressOf(balancer), c.now+viewRequestInterval/2)
			view.RequestView(addressOf(balancer), c.now+viewRequestInterval)
			c.network.Run()
			convey.So(requests, convey.ShouldEqual, 1)
		})
	})
}
