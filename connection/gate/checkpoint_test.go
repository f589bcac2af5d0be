package gate_test

import (
	"testing"
	"time"

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
		convey.Convey("flows of a server that is still running stay in the next checkpoints, until its state is known too", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			convey.So(tc.nodes[0].gate.Checkpoint().Flows, convey.ShouldHaveLength, flowCount)
			known.PredatesAgent = true
			tc.nodes[0].gate.SetServer(known, tc.now)
			next := tc.nodes[0].gate.Checkpoint()
			convey.So(next.Incarnation, convey.ShouldEqual, checkpoint.Incarnation)
			convey.So(next.Flows, convey.ShouldHaveLength, flowCount)
			for _, f := range next.Flows {
				convey.So(checkpoint.Flows, convey.ShouldContain, f)
			}
		})
		convey.Convey("flows seen before the first report of the server are not in a checkpoint: their incarnation is not known", func() {
			tc.nodes[0].gate.SetServer(gate.Server{State: steer.Ready, PredatesAgent: true}, tc.now)
			tc.startBalancers(1)
			for _, c := range callers {
				tc.sendThrough(0, c.Request())
				convey.So(c.Responses, convey.ShouldHaveLength, 2)
			}
			tc.registerFlows()
			convey.So(tc.nodes[0].gate.Checkpoint().Flows, convey.ShouldBeEmpty)
			tc.nodes[0].gate.SetServer(known, tc.now)
			convey.So(tc.nodes[0].gate.Checkpoint().Flows, convey.ShouldHaveLength, flowCount)
		})
		convey.Convey("flows of a terminated server do not stay in the next checkpoints", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			known.Incarnation++
			tc.startServer(0)
			tc.nodes[0].gate.SetServer(known, tc.now)
			convey.So(tc.nodes[0].gate.Checkpoint().Flows, convey.ShouldBeEmpty)
		})
		convey.Convey("restored flows expire like others", func() {
			tc.nodes[0].gate.RestoreCheckpoint(checkpoint, tc.now)
			known.PredatesAgent = true
			tc.nodes[0].gate.SetServer(known, tc.now)
			tc.nodes[0].gate.ExpireFlows(tc.now + time.Minute)
			convey.So(tc.nodes[0].gate.Checkpoint().Flows, convey.ShouldBeEmpty)
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

// TestRestoredFlowsAreFound plays the end of all processes while the servers keep running:
// no process knows the holder of a flow, and a search for each of them sends a packet to
// every agent. The searches of 1,800 flows among 136 agents kept weak VMs busy for seconds.
func TestRestoredFlowsAreFound(t *testing.T) {
	convey.Convey("Given agents that restarted with the checkpoints of their running servers", t, func() {
		tc := newTestCluster(8)
		callers := tc.openFlows(flowCount)
		tc.registerFlows()
		var checkpoints []passthrough.Checkpoint
		for _, n := range tc.nodes {
			checkpoints = append(checkpoints, n.gate.Checkpoint())
		}
		infos := make([]gate.Server, len(tc.nodes))
		for i, n := range tc.nodes {
			infos[i] = n.info
			infos[i].PredatesAgent = true
			n.info = gate.Server{State: steer.Unknown}
			tc.runs[i]++
			tc.startAgent(i)
		}
		// reported passes the first report of each server to its agent.
		reported := func() {
			for i, n := range tc.nodes {
				n.info = infos[i]
				n.gate.SetServer(n.info, tc.now)
			}
		}
		restored := func() {
			for i, n := range tc.nodes {
				n.gate.RestoreCheckpoint(checkpoints[i], tc.now)
			}
		}
		for _, row := range []struct {
			name  string
			steps []func()
		}{
			{"members, checkpoint, server", []func(){tc.publishAgents, restored, reported}},
			{"checkpoint, server, members", []func(){restored, reported, tc.publishAgents}},
			{"server, members, checkpoint", []func(){reported, tc.publishAgents, restored}},
		} {
			convey.Convey("each flow continues without a search, in the order "+row.name, func() {
				for _, step := range row.steps {
					step()
					tc.registerFlows()
				}
				tc.startBalancers(2)
				for i, c := range callers {
					tc.sendThrough(i%2, c.Request())
					convey.So(c.Responses, convey.ShouldHaveLength, 2)
				}
				convey.So(tc.searches(), convey.ShouldEqual, 0)
				convey.So(resetCount(callers), convey.ShouldEqual, 0)
			})
		}
		convey.Convey("a flow that has ended since the checkpoint is not taken for an open one", func() {
			tc.publishAgents()
			restored()
			for i := range tc.nodes {
				tc.startServer(i)
			}
			reported()
			tc.registerFlows()
			tc.startBalancers(2)
			for _, c := range callers {
				tc.sendThrough(0, c.Request())
				convey.So(c.Reset, convey.ShouldBeTrue)
			}
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
