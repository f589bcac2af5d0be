package gate_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
)

// TestBalancerKnowsMoreAgents guards against the reset of open flows after a partition: an agent
// that started behind it is known to the balancers there before any other agent knows it, and an
// agent that was asked for its flows took its own view for complete.
func TestBalancerKnowsMoreAgents(t *testing.T) {
	convey.Convey("Given flows at an agent that only the balancer knows", t, func() {
		tc := newTestCluster(4)
		callers := tc.openFlows(flowCount)
		unknown := tc.nodes[3]
		for i := range 3 {
			tc.nodes[i].gate.RemoveAgent(peerOf(3))
		}
		tc.startBalancers(1)
		held := callers[:0]
		for _, c := range callers {
			if unknown.server.Holds(c.Flow) {
				held = append(held, c)
			}
			tc.sendThrough(0, c.Request())
		}
		convey.Convey("no flow is reset, and the view of the balancer is requested", func() {
			for _, c := range held {
				convey.So(c.Reset, convey.ShouldBeFalse)
			}
			convey.So(tc.viewRequests, convey.ShouldNotBeEmpty)
		})
		convey.Convey("no flow is reset after its agent has joined with the view of the balancer", func() {
			for i := range 3 {
				tc.nodes[i].gate.SetAgent(gate.Agent{Name: "d", Peer: peerOf(3), Service: "orders", Domain: "junin", Run: 1})
				tc.nodes[i].gate.ViewReceived(tc.viewRequests[0])
			}
			tc.network.Run()
			for _, c := range held {
				tc.sendThrough(0, c.Request())
				convey.So(c.Reset, convey.ShouldBeFalse)
			}
		})
		convey.Convey("the search is concluded once the view has arrived and names no further agent", func() {
			for i := range 3 {
				tc.nodes[i].gate.ViewReceived(tc.viewRequests[0])
			}
			tc.network.Run()
			convey.So(resetCount(held), convey.ShouldBeGreaterThan, 0)
		})
	})
}
