package gate_test

import (
	"encoding/binary"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
)

// discard is a sender that drops every datagram.
type discard struct{}

func (discard) Send([]byte, passthrough.Endpoint) {}

func TestNoAllocationPerPacket(t *testing.T) {
	convey.Convey("Balancer and agent forward a packet of an open flow without allocation", t, func() {
		measureAllocations(0)
	})
	convey.Convey("The same while opening packets wait for room", t, func() {
		measureAllocations(8)
	})
}

// measureAllocations measures the packets of a flow beside a number of requests in progress and,
// if there are any, a waiting opening packet.
func measureAllocations(busy int) {
	tc := newTestCluster(1)
	tc.version = withTarget(1, 1)
	caller := tc.caller(0)
	agent := gate.New(gate.Options{Format: passthroughtest.Format{}, Self: peerOf(0), Backend: backendOf(0), Sender: discard{}})
	agent.SetVersion(tc.version)
	agent.SetServer(tc.nodes[0].info, tc.now)
	balancer := steer.New(steer.Options{Format: passthroughtest.Format{}, Sender: discard{}})
	balancer.SetVersion(tc.version)
	setServers(balancer, tc.servers())
	const seq = 100
	flow := caller.Flow
	open := func(c *passthroughtest.Caller) {
		opening := c.OpeningPacket(0)
		balancer.HandlePacket(opening)
		agent.HandleDatagram(opening, tc.now)
		agent.HandleServerPacket(passthroughtest.Framed(passthrough.Segment{
			Source: c.Flow.Service, Target: c.Flow.Caller, Seq: seq, Flags: passthrough.Open | passthrough.Acknowledge,
		}), tc.now)
	}
	open(caller)
	for i := range busy {
		c := tc.caller(1 + i)
		open(c)
		request := passthroughtest.Framed(passthrough.Segment{
			Source: c.Flow.Caller, Target: c.Flow.Service, Seq: 1, Ack: seq + 1, Flags: passthrough.Acknowledge, Payload: []byte("request"),
		})
		balancer.HandlePacket(request)
		agent.HandleDatagram(request, tc.now)
	}
	if busy > 0 {
		opening := tc.caller(1000).OpeningPacket(0)
		balancer.HandlePacket(opening)
		agent.HandleDatagram(opening, tc.now)
		convey.So(agent.Waiting(), convey.ShouldEqual, 1)
	}
	request := passthroughtest.Framed(passthrough.Segment{
		Source: flow.Caller, Target: flow.Service, Ack: seq + 1, Flags: passthrough.Acknowledge, Payload: []byte("request"),
	})
	response := passthroughtest.Framed(passthrough.Segment{
		Source: flow.Service, Target: flow.Caller, Seq: seq + 1, Flags: passthrough.Acknowledge, Payload: []byte("answer"),
	})
	sequence := uint32(0)
	allocations := testing.AllocsPerRun(1000, func() {
		sequence += 100
		binary.LittleEndian.PutUint32(request[passthrough.FrameSize+17:], sequence)
		balancer.HandlePacket(request)
		agent.HandleDatagram(request, tc.now)
		agent.HandleServerPacket(response, tc.now)
	})
	convey.So(allocations, convey.ShouldEqual, 0)
	convey.So(agent.Counters().Requests, convey.ShouldBeGreaterThan, 1000)
	convey.So(agent.Waiting(), convey.ShouldEqual, min(busy, 1))
}
