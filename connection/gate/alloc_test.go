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
		tc := newTestCluster(1)
		caller := tc.caller(0)
		agent := gate.New(gate.Options{Format: passthroughtest.Format{}, Self: peerOf(0), Backend: backendOf(0), Sender: discard{}})
		agent.SetVersion(tc.version)
		agent.SetServer(tc.nodes[0].info, tc.now)
		balancer := steer.New(steer.Options{Format: passthroughtest.Format{}, Sender: discard{}})
		balancer.SetVersion(tc.version)
		setServers(balancer, tc.servers())
		const seq = 100
		flow := caller.Flow
		opening := caller.OpeningPacket(0)
		balancer.HandlePacket(opening)
		agent.HandleDatagram(opening, tc.now)
		agent.HandleServerPacket(passthroughtest.Framed(passthrough.Segment{
			Source: flow.Service, Target: flow.Caller, Seq: seq, Flags: passthrough.Open | passthrough.Acknowledge,
		}), tc.now)
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
	})
}
