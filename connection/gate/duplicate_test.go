package gate_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/hedge"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
)

// usual is the time from an opening packet to the caller's next packet in these tests.
const usual = 10 * time.Millisecond

// hedgeCluster is a cluster of two agents with a balancer that may send any opening packet twice.
type hedgeCluster struct {
	*testCluster
	// first is the agent of the opening packet of caller, second the other one.
	first, second *node
	caller        *passthroughtest.Caller
	// busy are callers with requests in progress at the first server.
	busy []*passthroughtest.Caller
}

// newHedgeCluster returns a cluster in which the first server does not respond to the opening
// packet of a caller. With 8 requests in progress there, the packet waits at the agent.
func newHedgeCluster(busy int) *hedgeCluster {
	tc := newTestCluster(2)
	h := &hedgeCluster{testCluster: tc, first: tc.nodes[0], second: tc.nodes[1], caller: tc.caller(0)}
	tc.version = withTarget(1, 1)
	tc.version.Routes[serviceAddr].Idempotent = true
	self := passthrough.MakeEndpoint(0x0a000200, 7000)
	b := steer.New(steer.Options{
		Format: passthroughtest.Format{}, Domain: "junin", Self: self, CallerPort: callerPort, Sender: tc.network,
		HedgeLimit: 1, Now: func() time.Duration { return tc.now },
	})
	tc.balancers[0] = b
	tc.attachBalancer(self, b)
	for _, n := range tc.nodes {
		n.gate.SetVersion(tc.version)
	}
	for _, b := range tc.balancers {
		b.SetVersion(tc.version)
	}
	b.SetServer(tc.servers()[0])
	for i := range 40 + busy {
		c := tc.caller(1 + i)
		tc.sendThrough(0, c.OpeningPacket(0))
		if i < 40 {
			tc.now += usual
		} else {
			h.first.server.Unresponsive = true
			h.busy = append(h.busy, c)
		}
		tc.sendThrough(0, c.Request())
		h.first.server.Unresponsive = false
	}
	h.first.server.Unresponsive = true
	tc.sendThrough(0, h.caller.OpeningPacket(0))
	b.SetServer(tc.servers()[1])
	return h
}

// hedge lets the balancer send the second opening packet.
func (h *hedgeCluster) hedge() {
	h.now += 5 * usual
	h.balancers[0].Tick(h.now)
	h.network.Run()
}

// respondLate lets the first server respond to a copy of the opening packet.
func (h *hedgeCluster) respondLate() {
	h.first.server.Unresponsive = false
	h.sendThrough(0, h.caller.OpeningPacket(1))
}

// request sends a request of the caller through a balancer and reports whether the given server
// alone responds to it.
func (h *hedgeCluster) request(balancer int, by *node) bool {
	h.sendThrough(balancer, h.caller.Request())
	n := len(h.caller.Responses)
	return n > 0 && h.caller.Responses[n-1] == by.server.Name && !h.caller.Reset && h.foreignPackets() == 0
}

// TestSecondOpening guards against flows that are reset, or delivered to a server that does not
// hold them, because two servers were sent their opening packets.
func TestSecondOpening(t *testing.T) {
	convey.Convey("Given a server that does not respond to an opening packet", t, func() {
		h := newHedgeCluster(0)
		counters := func() hedge.Counters { return h.balancers[0].Counters().Counters }
		convey.Convey("the second one opens the flow and gets its packets, and the slot at the first is free", func() {
			h.hedge()
			convey.So(h.caller.Opened, convey.ShouldBeTrue)
			h.now += usual
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
			convey.So(h.first.gate.Pending(), convey.ShouldEqual, 0)
			convey.So(h.first.gate.Counters().PassedOn, convey.ShouldEqual, 0)
			convey.So(counters(), convey.ShouldResemble, hedge.Counters{HedgesSent: 1, HedgesWon: 1})
		})
		convey.Convey("both accept, and the agent that gets the caller's packet by mistake forwards it without a search", func() {
			h.hedge()
			h.respondLate()
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
			convey.So(h.first.server.Holds(h.caller.Flow), convey.ShouldBeFalse)
			convey.So(h.searches(), convey.ShouldEqual, 0)
			convey.So(h.first.gate.Pending(), convey.ShouldEqual, 0)
		})
		convey.Convey("both accept, and the caller takes the first one's response", func() {
			h.network.Drop = func(b []byte, to passthrough.Endpoint) bool {
				var s passthrough.Segment
				return to.Port() == callerPort && (passthroughtest.Format{}).Decode(b, &s) == nil && s.Seq>>28 == 2
			}
			h.hedge()
			h.respondLate()
			convey.So(h.request(0, h.first), convey.ShouldBeTrue)
			convey.So(h.second.gate.Pending(), convey.ShouldEqual, 0)
			convey.So(counters(), convey.ShouldResemble, hedge.Counters{HedgesSent: 1, HedgesWasted: 1})
		})
		convey.Convey("both accept with numbers that are close to each other", func() {
			h.second.server = passthroughtest.NewServer("b", 1<<28+40<<20+100, func(b []byte) { h.second.gate.HandleServerPacket(b, h.now) })
			h.hedge()
			h.respondLate()
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("the first server returns the caller's last copy, and its agent does not reset the flow", func() {
			h.hedge()
			h.first.server.Full = true
			h.sendThrough(0, h.caller.OpeningPacket(2))
			convey.So(h.first.gate.Counters().Returned, convey.ShouldEqual, 1)
			convey.So(h.first.gate.Counters().Resets, convey.ShouldEqual, 0)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("the flow continues through a balancer that does not know it", func() {
			h.hedge()
			h.respondLate()
			convey.So(h.request(1, h.second), convey.ShouldBeTrue)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("the flow survives the end of the first server before the caller's packet arrives", func() {
			h.hedge()
			h.first.info.Incarnation++
			h.first.gate.SetServer(h.first.info, h.now)
			h.network.Run()
			convey.So(h.first.gate.Counters().Resets, convey.ShouldEqual, 40)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("a caller whose first server ends before the second packet is reset by the balancer, once", func() {
			h.first.info.Incarnation++
			h.first.gate.SetServer(h.first.info, h.now)
			h.network.Run()
			convey.So(h.caller.Reset, convey.ShouldBeTrue)
			convey.So(h.first.gate.Counters().Resets, convey.ShouldEqual, 40)
			h.hedge()
			convey.So(h.second.server.OpenedFlows, convey.ShouldEqual, 0)
		})
		convey.Convey("a refusal that arrives after a later copy was sent on resets nothing", func() {
			h.sendThrough(0, h.caller.OpeningPacket(1))
			h.balancers[0].SetNotHeld(peerOf(0), h.caller.Flow, 0)
			h.network.Run()
			convey.So(h.caller.Reset, convey.ShouldBeFalse)
		})
		convey.Convey("a caller whose first server ends and whose second one declines is reset", func() {
			h.network.Drop = func(_ []byte, to passthrough.Endpoint) bool { return to == peerOf(1) }
			h.hedge()
			h.network.Drop = nil
			h.first.info.Incarnation++
			h.first.gate.SetServer(h.first.info, h.now)
			h.network.Run()
			convey.So(h.caller.Reset, convey.ShouldBeFalse)
			h.balancers[0].SetNotHeld(peerOf(1), h.caller.Flow, 0)
			h.network.Run()
			convey.So(h.caller.Reset, convey.ShouldBeTrue)
		})
		convey.Convey("the first agent is lost, and the caller's next copy of its packet reaches the second one", func() {
			h.hedge()
			h.network.Attach(peerOf(0), nil)
			h.sendThrough(0, h.caller.Request())
			h.now += 200 * time.Millisecond
			h.sendThrough(0, h.caller.RetransmitRequest())
			convey.So(h.caller.Responses, convey.ShouldHaveLength, 1)
		})
	})
	convey.Convey("A second server that may not get the packet declines it, and the caller's next copy is an ordinary one", t, func() {
		for name, change := range map[string]func(g *gate.Server){
			"draining": func(s *gate.Server) { s.State = steer.Draining },
			"cold":     func(s *gate.Server) { s.State, s.ColdUntil = steer.Cold, time.Hour },
			"down":     func(s *gate.Server) { s.State = steer.Down },
		} {
			h := newHedgeCluster(0)
			change(&h.second.info)
			h.second.gate.SetServer(h.second.info, h.now)
			h.hedge()
			convey.So(name+": "+string(rune('0'+h.second.server.OpenedFlows)), convey.ShouldEqual, name+": 0")
			convey.So(h.balancers[0].Counters().HedgesWasted, convey.ShouldEqual, 1)
			h.first.server.Unresponsive = false
			h.now += 150 * time.Millisecond
			h.sendThrough(0, h.caller.OpeningPacket(1))
			convey.So(h.request(0, h.first), convey.ShouldBeTrue)
		}
	})
}

// TestSecondOpeningWhileFirstWaits guards against runs, resets and slots taken by an opening
// packet that waits in an admission queue while another server opens its flow.
func TestSecondOpeningWhileFirstWaits(t *testing.T) {
	convey.Convey("Given an opening packet that waits at the first agent", t, func() {
		h := newHedgeCluster(8)
		convey.So(h.first.gate.Waiting(), convey.ShouldEqual, 1)
		opened := h.first.server.OpenedFlows
		convey.Convey("it leaves the queue when the second server holds the flow", func() {
			h.hedge()
			h.now += usual
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
			convey.So(h.first.gate.Waiting(), convey.ShouldEqual, 0)
			h.first.server.Unresponsive = false
			h.finish(h.busy[0])
			convey.So(h.first.server.OpenedFlows, convey.ShouldEqual, opened)
		})
		convey.Convey("without the cancellation it is forwarded later, and the caller continues with its server", func() {
			h.network.Drop = func(b []byte, _ passthrough.Endpoint) bool { return passthrough.Kind(b[0]) == passthrough.Cancel }
			h.hedge()
			h.now += usual
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
			h.first.server.Unresponsive = false
			h.finish(h.busy[0])
			convey.So(h.first.server.OpenedFlows, convey.ShouldEqual, opened+1)
			convey.So(h.first.server.Holds(h.caller.Flow), convey.ShouldBeFalse)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("nothing resets the caller when the first server goes down", func() {
			h.hedge()
			h.first.info.State = steer.Down
			h.first.gate.SetServer(h.first.info, h.now)
			h.network.Run()
			convey.So(h.caller.ResetSeq, convey.ShouldEqual, 0)
			convey.So(h.first.gate.Counters().Resets, convey.ShouldEqual, 48)
			convey.So(h.request(0, h.second), convey.ShouldBeTrue)
		})
		convey.Convey("the caller's reset removes it from both agents", func() {
			h.hedge()
			h.sendThrough(0, passthroughtest.Framed(resetOf(h.caller)))
			convey.So(h.first.gate.Waiting(), convey.ShouldEqual, 0)
			convey.So(h.second.gate.Pending(), convey.ShouldEqual, 0)
		})
	})
}
