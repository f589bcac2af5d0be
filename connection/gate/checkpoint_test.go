package gate_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
)

// TestCheckpoint covers power loss of everything: without a checkpoint each caller
// of an idle flow lost the next request on it.
func TestCheckpoint(t *testing.T) {
	convey.Convey("Given an agent that starts anew with the checkpoint of its former run", t, func() {
		w := newWorld(1)
		callers := w.opened(flowCount)
		w.register()
		checkpoint := w.sites[0].gate.Checkpoint()
		convey.So(checkpoint.Flows, convey.ShouldHaveLength, flowCount)
		convey.So(checkpoint.Incarnation, convey.ShouldEqual, w.sites[0].info.Incarnation)
		known := w.sites[0].info
		w.settled = false
		w.sites[0].info = gate.Server{State: steer.Unknown}
		w.startAgent(0)
		w.spread()

		convey.Convey("callers of a server that has ended are told at once, within reach of their acknowledgements", func() {
			known.Incarnation++
			w.startServer(0)
			w.sites[0].gate.SetServer(known, w.now)
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.network.Run()
			for _, c := range callers {
				convey.So(c.Reset, convey.ShouldBeTrue)
				convey.So(c.ResetSeq, convey.ShouldEqual, c.Acknowledged())
			}
		})
		convey.Convey("they are told when the server is heard after the checkpoint was read", func() {
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, 0)
			known.Incarnation++
			w.startServer(0)
			w.sites[0].gate.SetServer(known, w.now)
			w.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount)
		})
		convey.Convey("they are told when the server refuses connections", func() {
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.sites[0].gate.SetServer(gate.Server{State: steer.Down}, w.now)
			w.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount)
		})
		convey.Convey("flows of a server that lives on are left alone", func() {
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.sites[0].gate.SetServer(gate.Server{State: steer.Ready, PredatesAgent: true}, w.now)
			known.PredatesAgent = true
			w.sites[0].gate.SetServer(known, w.now)
			w.network.Run()
			convey.So(resetCount(callers), convey.ShouldEqual, 0)
			w.startBalancers(1)
			for _, c := range callers {
				w.through(0, c.Request())
				convey.So(c.Answers, convey.ShouldHaveLength, 2)
			}
		})
		convey.Convey("a flow that was opened anew meanwhile is left alone", func() {
			known.Incarnation++
			w.startServer(0)
			w.sites[0].gate.SetServer(known, w.now)
			w.sites[0].info = known
			w.startBalancers(1)
			w.through(0, callers[0].OpeningPacket(0))
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.network.Run()
			convey.So(callers[0].Reset, convey.ShouldBeFalse)
			convey.So(resetCount(callers), convey.ShouldEqual, flowCount-1)
		})
		convey.Convey("a packet that another agent passes on later is answered with a reset", func() {
			known.Incarnation++
			w.startServer(0)
			w.sites[0].gate.SetServer(known, w.now)
			w.sites[0].gate.RestoreCheckpoint(checkpoint, w.now)
			w.network.Run()
			for _, c := range callers {
				c.Reset = false
			}
			w.sites[0].info = known
			w.startBalancers(1)
			w.through(0, callers[0].Request())
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

// TestCheckpointOfYoungFlows covers flows of single requests, which are over before
// a checkpoint could be of use.
func TestCheckpointOfYoungFlows(t *testing.T) {
	convey.Convey("A checkpoint leaves out flows that have just been opened", t, func() {
		w := newWorld(1)
		w.opened(3)
		convey.So(w.sites[0].gate.Checkpoint(), convey.ShouldResemble, passthrough.Checkpoint{Incarnation: w.sites[0].info.Incarnation})
	})
}
