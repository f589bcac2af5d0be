package passthrough

import (
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/process/roster"
	"bergamotbank/process/settings"
	"bergamotbank/version/routes"
)

// newTestAgent returns an agent on free loopback ports. It is not running.
func newTestAgent(t *testing.T) *Agent {
	t.Helper()
	return newTestAgentFor(t, testBackend)
}

// testBackend is the address of the backend server of a test agent.
var testBackend = netip.MustParseAddrPort("127.0.0.1:9")

// newTestAgentFor returns such an agent for a backend server.
func newTestAgentFor(t testing.TB, server netip.AddrPort) *Agent {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Settings{Name: "agent-1", Domain: "junin", Packet: free, Control: free, Agent: settings.Agent{Service: "orders"}}
	s.Passthrough = settings.Passthrough{
		Peer: free, Outbound: free, Backend: server,
		Heartbeat: settings.Duration(testHeartbeat), FlowLifetime: settings.Duration(time.Minute),
	}
	a, err := NewAgent(s, zap.NewNop(), Adapter{
		Format:     passthroughtest.Format{},
		Store:      newFakeStore(),
		ConfigKeys: func([]string) []string { return nil },
		Decode:     func([]Item) (*routes.Version, error) { return &routes.Version{}, nil },
		Readiness:  func(func() bool) http.Handler { return nil },
		Heartbeats: func(HeartbeatReceiver) http.Handler { return nil },
	}, Reload{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.peer.Close(); _ = a.outbound.Close() })
	return a
}

const testHeartbeat = 10 * time.Millisecond

func TestStoreWatcherSelection(t *testing.T) {
	convey.Convey("An agent that knows no balancer watches the store, but not immediately after its start", t, func() {
		a := newTestAgent(t)
		convey.So(a.shouldWatch(), convey.ShouldBeFalse)
		a.clock.start = a.clock.start.Add(-watchStartDelay)
		convey.So(a.shouldWatch(), convey.ShouldBeTrue)
	})
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	startedAt := time.UnixMilli(1_800_000_000_000)
	first := BackendHeartbeat{ID: "server-1", Service: "orders", Domain: "junin", Address: testBackend, State: BackendReady, Slots: 2, Sequence: 7, StartedAt: startedAt}
	// silence is longer than the heartbeat timeout.
	silence := time.Duration(3 * suspectAfterIntervals * float64(testHeartbeat))
	heartbeatWith := func(change func(h *BackendHeartbeat)) BackendHeartbeat {
		h := first
		change(&h)
		return h
	}
	for _, row := range []struct {
		name string
		wait time.Duration
		next BackendHeartbeat
		// accepted is true if the heartbeat is applied, confirmed if it is also confirmed
		// because a later one of the same server has been applied.
		accepted, confirmed bool
	}{
		{"a later one", 0, heartbeatWith(func(h *BackendHeartbeat) { h.Sequence = 8; h.State = BackendDraining }), true, true},
		{"an earlier one that arrived late", 0, heartbeatWith(func(h *BackendHeartbeat) { h.Sequence = 6; h.State = BackendDraining }), false, true},
		{
			"one of a previous server while heartbeats of this one arrive", 0,
			heartbeatWith(func(h *BackendHeartbeat) {
				h.ID = "server-0"
				h.StartedAt = startedAt.Add(-time.Minute)
				h.State = BackendDraining
			}), false, false,
		},
		{"one of the next server", 0, heartbeatWith(func(h *BackendHeartbeat) {
			h.ID, h.StartedAt, h.Sequence, h.State = "server-2", startedAt.Add(time.Second), 1, BackendDraining
		}), true, true},
		{"one of the same server after a restart", 0, heartbeatWith(func(h *BackendHeartbeat) {
			h.StartedAt, h.Sequence, h.State = startedAt.Add(time.Second), 1, BackendDraining
		}), true, true},
		{"one of the next server, whose clock was set back, after the heartbeats of this one stopped", silence, heartbeatWith(func(h *BackendHeartbeat) {
			h.ID, h.StartedAt, h.Sequence, h.State = "server-2", startedAt.Add(-3*time.Second), 1, BackendDraining
		}), true, true},
	} {
		convey.Convey("A heartbeat is followed by "+row.name, t, func() {
			a := newTestAgent(t)
			convey.So(a.backend.Heartbeat(first), convey.ShouldBeNil)
			time.Sleep(row.wait)
			err := a.backend.Heartbeat(row.next)
			convey.So(err == nil, convey.ShouldEqual, row.confirmed)
			convey.So(a.gate.Server().State == steer.Draining, convey.ShouldEqual, row.accepted)
		})
	}
	convey.Convey("A late heartbeat of a previous server is ignored even if the heartbeats of the current one have stopped", t, func() {
		a := newTestAgent(t)
		convey.So(a.backend.Heartbeat(first), convey.ShouldBeNil)
		next := heartbeatWith(func(h *BackendHeartbeat) { h.ID, h.StartedAt, h.Sequence = "server-2", startedAt.Add(time.Second), 1 })
		convey.So(a.backend.Heartbeat(next), convey.ShouldBeNil)
		time.Sleep(silence)
		late := heartbeatWith(func(h *BackendHeartbeat) { h.Sequence = 9; h.State = BackendDraining })
		convey.So(errkind.Is(a.backend.Heartbeat(late), errkind.Conflict), convey.ShouldBeTrue)
		convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Ready)
	})
	convey.Convey("A heartbeat of a server whose clock was set back is accepted if the previous server is down", t, func() {
		a := newTestAgent(t)
		convey.So(a.backend.Heartbeat(first), convey.ShouldBeNil)
		server := a.gate.Server()
		server.State = steer.Down
		a.gate.SetServer(server, a.clock.now())
		next := heartbeatWith(func(h *BackendHeartbeat) { h.ID, h.StartedAt, h.Sequence = "server-2", startedAt.Add(-time.Minute), 1 })
		convey.So(a.backend.Heartbeat(next), convey.ShouldBeNil)
		convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Ready)
	})
}

// TestHeartbeatOfAnotherWriter guards against a heartbeat that is not of the agent's backend
// server: it was taken for a new incarnation, so that all flows of the running server were reset
// and its own heartbeats ignored.
func TestHeartbeatOfAnotherWriter(t *testing.T) {
	for name, change := range map[string]func(h *BackendHeartbeat){
		"another service":        func(h *BackendHeartbeat) { h.Service = "other" },
		"another address":        func(h *BackendHeartbeat) { h.Address = netip.MustParseAddrPort("127.0.0.2:9") },
		"another port":           func(h *BackendHeartbeat) { h.Address = netip.MustParseAddrPort("127.0.0.1:10") },
		"another failure domain": func(h *BackendHeartbeat) { h.Domain = "pasco" },
	} {
		convey.Convey("Given an agent whose server is ready and has an open flow, a heartbeat of "+name, t, func() {
			a := newTestAgent(t)
			openUnanswered(a)
			incarnation := a.gate.Server().Incarnation
			stray := BackendHeartbeat{
				ID: "other-1", Service: "orders", Domain: "junin", Address: testBackend, State: BackendReady, Slots: 2, Sequence: 1, StartedAt: time.Now().Add(time.Minute),
			}
			change(&stray)
			convey.So(errkind.Is(a.backend.Heartbeat(stray), errkind.WrongService), convey.ShouldBeTrue)

			convey.Convey("resets no flow and leaves the server as it is", func() {
				convey.So(a.gate.Counters().Resets, convey.ShouldEqual, 0)
				convey.So(a.gate.Server().Incarnation, convey.ShouldEqual, incarnation)
				convey.So(a.counters().Foreign, convey.ShouldEqual, 1)
			})
			convey.Convey("does not keep the server's next heartbeat from being applied", func() {
				next := a.backend.lastHeartbeat
				next.Sequence, next.State = next.Sequence+1, BackendDraining
				convey.So(a.backend.Heartbeat(next), convey.ShouldBeNil)
				convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Draining)
			})
		})
	}
}

// TestAgentRestartsBesideColdServer guards a cold server whose agent restarts: a successful
// liveness check was taken for a warm server, which takes new flows without a limit.
func TestAgentRestartsBesideColdServer(t *testing.T) {
	const rate = 4
	convey.Convey("Given an agent that has started beside a running server", t, func() {
		a := newTestAgent(t)
		a.setVersion(&routes.Version{Revision: routes.Revision{Index: 1}, Services: map[string]routes.Service{"orders": {ColdRate: rate}}})
		a.backend.setInitialState(steer.Ready)
		now := a.clock.now()
		openFor := func(d time.Duration) uint64 {
			before := a.gate.Counters().Opened
			for end := now + d; now < end; now += 10 * time.Millisecond {
				opening := passthroughtest.Framed(passthrough.Segment{Source: passthrough.Endpoint(now), Target: 2 << 20, Flags: passthrough.Open})
				(&passthrough.Frame{Kind: passthrough.Deliver, Version: 2, Tag: uint32(passthrough.ServiceTagOf("orders"))}).Put(opening)
				a.gate.HandleDatagram(opening, now)
				a.gate.ClearSuspicion()
			}
			return a.gate.Counters().Opened - before
		}
		convey.Convey("new flows are limited as for a cold server until its first heartbeat", func() {
			convey.So(openFor(time.Second), convey.ShouldBeLessThanOrEqualTo, rate+2)
			convey.So(a.backend.state(now), convey.ShouldEqual, steer.Cold)
			h := BackendHeartbeat{ID: "server-1", Service: "orders", Domain: "junin", Address: testBackend, State: BackendReady, Slots: 200, Sequence: 9, StartedAt: time.Now()}
			convey.So(a.backend.Heartbeat(h), convey.ShouldBeNil)
			convey.So(openFor(time.Second), convey.ShouldBeGreaterThan, 90)
		})
	})
}

// TestSuspectedServerIsChecked guards the time until a server is found that crashes right
// after a heartbeat: only refused connections prove that it has terminated, and the agent
// used to try one only when heartbeats were overdue.
func TestSuspectedServerIsChecked(t *testing.T) {
	convey.Convey("Given an agent whose server has just sent a heartbeat and does not answer an opening packet", t, func() {
		a := newTestAgent(t)
		now := openUnanswered(a)
		convey.So(a.gate.Counters().Opened, convey.ShouldEqual, 1)
		convey.So(a.backend.needsCheck(now), convey.ShouldBeFalse)
		convey.So(a.backend.needsCheck(now+150*time.Millisecond), convey.ShouldBeTrue)

		convey.Convey("a refused connection shows at once that it has terminated", func() {
			a.backend.check(t.Context())
			convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Down)
		})
	})
	convey.Convey("A server that accepts the connection is not suspected any more", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = listener.Close() }()
		a := newTestAgentFor(t, listener.Addr().(*net.TCPAddr).AddrPort())
		now := openUnanswered(a)
		a.backend.check(t.Context())
		convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Ready)
		convey.So(a.backend.needsCheck(now+150*time.Millisecond), convey.ShouldBeFalse)
	})
}

// openUnanswered lets an agent accept an opening packet right after a heartbeat of its server,
// which does not answer the packet. It returns the time of the packet.
func openUnanswered(a *Agent) time.Duration {
	a.setVersion(&routes.Version{Revision: routes.Revision{Index: 1}, Services: map[string]routes.Service{"orders": {}}})
	a.heartbeatInterval = time.Hour
	err := a.backend.Heartbeat(BackendHeartbeat{
		ID: "server-1", Service: "orders", Domain: "junin", Address: a.settings.Passthrough.Backend, State: BackendReady, Slots: 2, Sequence: 1, StartedAt: time.Now(),
	})
	convey.So(err, convey.ShouldBeNil)
	now := a.clock.now()
	frame := passthrough.Frame{Kind: passthrough.Deliver, Version: 2, Tag: uint32(passthrough.ServiceTagOf("orders"))}
	opening := passthroughtest.Framed(passthrough.Segment{Source: 1 << 20, Target: 2 << 20, Flags: passthrough.Open})
	frame.Put(opening)
	a.gate.HandleDatagram(opening, now)
	return now
}

func TestVMCheck(t *testing.T) {
	convey.Convey("A VM that accepts or refuses connections is running", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		convey.So(checkVM(addr), convey.ShouldEqual, roster.VMAccepts)
		_ = listener.Close()
		convey.So(checkVM(addr), convey.ShouldEqual, roster.VMRefuses)
	})
}
