package gate_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
)

// TestCheckpoint guards against lost requests after a power loss of the whole
// deployment: without a checkpoint the caller of an idle flow learns only from its
// next request, which is lost, that the flow no longer exists.
func TestCheckpoint(t *testing.T) {
	convey.Convey("Given an agent that restarts with the checkpoint of its previous run", t, func() {
		tc := newTestCluster(1)
		callers := tc.openFlows(flowCount)
		tc.registerFlows()
		checkpoint := tc.nodes[0].gate.Checkpoint()
		convey.So(checkpoint.Flows, convey.ShouldHaveLength, flowCount)
		convey.So(checkpoint.Incarnation, convey.ShouldEqual, tc.nodes[0].info.Incarnation)
		known := tc.nodes[0].info
		tc.discoveryComplete = false
		tc.nodes[0].info = gate.Server{State: steer.Unknown}
		tc.startAgent(0)
		tc.publishAgents()

		convey.Convey("flows of a terminated server are reset at once, with the sequence number that their callers expect", func() {
			known.Incarnation++
			tc.startServer(0)
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.network.Run()
			for _, c := range callers {
				convey.So(c.Reset, convey.ShouldBeTrue)
				convey.So(c.ResetSeq, convey.ShouldEqual, c.Acknowledged())
			}
		})
		convey.Convey("flows of a terminated server are reset when the server reports after the checkpoint was read", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, 0)
			known.Incarnation++
			tc.startServer(0)
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount)
		})
		convey.Convey("flows are reset when the server is down", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.nodes[0].gate.SetServer(gate.Server{State: steer.Down}, tc.now)
			tc.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount)
		})
		convey.Convey("flows of a server that is still running continue", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.nodes[0].gate.SetServer(gate.Server{State: steer.Ready, PredatesAgent: true}, tc.now)
			known.PredatesAgent = true
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, 0)
			tc.startBalancers(1)
			for _, c := range callers {
				tc.sendThrough(0, c.Request())
				convey.So(c.Responses, convey.ShouldHaveLength, 2)
			}
		})
		convey.Convey("a flow that the caller has opened again in the meantime is not reset", func() {
			known.Incarnation++
			tc.startServer(0)
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.nodes[0].info = known
			tc.startBalancers(1)
			tc.sendThrough(0, callers[0].OpeningPacket(0))
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.network.Run()
			convey.So(callers[0].Reset, convey.ShouldBeFalse)
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount-1)
		})
		convey.Convey("a later packet of a flow of a terminated server is answered with a reset", func() {
			known.Incarnation++
			tc.startServer(0)
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			tc.network.Run()
			for _, c := range callers {
				c.Reset = false
			}
			tc.nodes[0].info = known
			tc.startBalancers(1)
			tc.sendThrough(0, callers[0].Request())
			convey.So(callers[0].Reset, convey.ShouldBeTrue)
		})
	})
}

func resetCount(callers []*passthroughtest.Caller) int {
	count := 0
	for _, c := range callers {
		if c.Reset {
			count++
		}
	}
	return count
}

// TestCheckpointWithoutNewFlows checks that checkpoints leave out new flows. Most of
// them carry a single request and end before a checkpoint could be of use.
func TestCheckpointWithoutNewFlows(t *testing.T) {
	convey.Convey("A checkpoint does not contain flows that have just been opened", t, func() {
		tc := newTestCluster(1)
		tc.openFlows(3)
		convey.So(tc.nodes[0].gate.Checkpoint(), convey.ShouldResemble, passthrough.Checkpoint{Incarnation: tc.nodes[0].info.Incarnation})
	})
}
