package passthrough

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

// TestHedgeBetweenProcesses guards the setting, the kind of datagram and the log line of second
// opening packets between a balancer and two agents.
func TestHedgeBetweenProcesses(t *testing.T) {
	convey.Convey("A flow that the first server does not open is opened by the second one", t, func() {
		service := netip.MustParseAddrPort("198.18.0.1:443")
		version := &routes.Version{Revision: routes.Revision{Index: 1}, Routes: map[netip.AddrPort]*routes.Route{
			service: {Name: "r", Idempotent: true, Targets: []routes.Target{{Service: "orders", Weight: 1}}},
		}}
		agents := [2]*Agent{newTestAgent(t), newTestAgent(t)}
		for _, a := range agents {
			a.setVersion(version)
			a.gate.SetServer(gate.Server{Service: "orders", Domain: "junin", Incarnation: 1, State: steer.Ready, Slots: 100}, a.clock.now())
			go func() { _ = receive(t.Context(), a.peer, a.handlePeerDatagrams) }()
		}
		s := agents[0].settings
		s.Passthrough.HedgeLimit = 1
		core, logs := observer.New(zapcore.InfoLevel)
		b, err := NewBalancer(s, zap.New(core), agents[0].adapter, Reload{})
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = b.callers.Close(); _ = b.peer.Close() }()
		b.setVersion(version)
		do := func(f func()) {
			b.mu.Lock()
			defer b.mu.Unlock()
			f()
			b.steer.Tick(b.clock.now())
			b.sender.flush()
		}
		add := func(a *Agent, name string) {
			b.steer.SetServer(steer.Server{
				Name: name, Agent: passthrough.EndpointOf(a.peer.Addr()), Service: "orders", Domain: "junin", State: steer.Ready, Slots: 100, Reachable: true,
			})
		}
		send := func(caller int, flags passthrough.Flags) {
			b.steer.HandlePacket(passthroughtest.Framed(passthrough.Segment{
				Source: passthrough.MakeEndpoint(0x7f000001, uint16(caller)), Target: passthrough.EndpointOf(service), Flags: flags,
			}))
		}
		do(func() { add(agents[0], "agent-a") })
		for i := range 40 {
			do(func() { send(100+i, passthrough.Open); send(100+i, passthrough.Acknowledge) })
		}
		do(func() { send(1, passthrough.Open) })
		do(func() { add(agents[1], "agent-b") })
		counters := func(a *Agent) gate.Counters {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.gate.Counters()
		}
		for wait := 0; counters(agents[1]).Opened == 0 && wait < 100; wait++ {
			time.Sleep(10 * time.Millisecond)
			do(func() {})
		}
		convey.So(counters(agents[1]).Opened, convey.ShouldEqual, 1)
		line := logs.FilterMessage("flow hedged").All()
		convey.So(line, convey.ShouldHaveLength, 1)
		convey.So(line[0].ContextMap()["agent"], convey.ShouldEqual, "agent-a")
		convey.So(line[0].ContextMap()["second_agent"], convey.ShouldEqual, "agent-b")
		convey.So(b.counters().HedgesSent, convey.ShouldEqual, 1)
	})
}
