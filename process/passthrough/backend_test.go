package passthrough

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/process/settings"
	"bergamotbank/version/routes"
)

// testAgent returns an agent on free ports of the loopback range that does not run.
func testAgent(t *testing.T) *Agent {
	t.Helper()
	return agentWith(t, netip.MustParseAddrPort("127.0.0.1:9"))
}

// agentWith returns such an agent beside a backend server.
func agentWith(t testing.TB, server netip.AddrPort) *Agent {
	t.Helper()
	free := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Settings{Name: "agent-1", Domain: "junin", Packet: free, Control: free}
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
		Heartbeats:    func(HeartbeatReceiver) http.Handler { return nil },
	}, Reload{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.peer.Close(); _ = a.outbound.Close() })
	return a
}

const testHeartbeat = 10 * time.Millisecond

func TestWhoFollowsTheStore(t *testing.T) {
	convey.Convey("An agent that knows no balancer follows the store, but not right after its start", t, func() {
		a := testAgent(t)
		convey.So(a.watches(), convey.ShouldBeFalse)
		a.clock.start = a.clock.start.Add(-watchGrace)
		convey.So(a.watches(), convey.ShouldBeTrue)
	})
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	born := time.UnixMilli(1_800_000_000_000)
	first := BackendHeartbeat{ID: "server-1", Service: "orders", State: BackendReady, Slots: 2, Sequence: 7, StartedAt: born}
	// silence is longer than a living server waits between two heartbeats.
	silence := time.Duration(3 * suspectAfter * float64(testHeartbeat))
	report := func(change func(r *BackendHeartbeat)) BackendHeartbeat {
		r := first
		change(&r)
		return r
	}
	for _, row := range []struct {
		name  string
		wait  time.Duration
		next  BackendHeartbeat
		taken bool
	}{
		{"a later one", 0, report(func(r *BackendHeartbeat) { r.Sequence = 8; r.State = BackendDraining }), true},
		{"one that was overtaken", 0, report(func(r *BackendHeartbeat) { r.Sequence = 6; r.State = BackendDraining }), false},
		{
			"one of a former server while this one is heard", 0,
			report(func(r *BackendHeartbeat) { r.ID = "server-0"; r.StartedAt = born.Add(-time.Minute); r.State = BackendDraining }), false,
		},
		{"one of the next server", 0, report(func(r *BackendHeartbeat) {
			r.ID, r.StartedAt, r.Sequence, r.State = "server-2", born.Add(time.Second), 1, BackendDraining
		}), true},
		{"one of the same server started again", 0, report(func(r *BackendHeartbeat) {
			r.StartedAt, r.Sequence, r.State = born.Add(time.Second), 1, BackendDraining
		}), true},
		{"one of the next server, whose clock was set back, after this one fell silent", silence, report(func(r *BackendHeartbeat) {
			r.ID, r.StartedAt, r.Sequence, r.State = "server-2", born.Add(-3*time.Second), 1, BackendDraining
		}), true},
	} {
		convey.Convey("After a heartbeat comes "+row.name, t, func() {
			a := testAgent(t)
			a.backend.Heartbeat(first)
			time.Sleep(row.wait)
			a.backend.Heartbeat(row.next)
			convey.So(a.gate.Server().State == steer.Draining, convey.ShouldEqual, row.taken)
		})
	}
	convey.Convey("A late heartbeat of a former server is ignored although the present one is silent", t, func() {
		a := testAgent(t)
		a.backend.Heartbeat(first)
		a.backend.Heartbeat(report(func(r *BackendHeartbeat) { r.ID, r.StartedAt, r.Sequence = "server-2", born.Add(time.Second), 1 }))
		time.Sleep(silence)
		a.backend.Heartbeat(report(func(r *BackendHeartbeat) { r.Sequence = 9; r.State = BackendDraining }))
		convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Ready)
	})
	convey.Convey("A server whose clock was set back is taken when the former one is down", t, func() {
		a := testAgent(t)
		a.backend.Heartbeat(first)
		server := a.gate.Server()
		server.State = steer.Down
		a.gate.SetServer(server, a.clock.now())
		a.backend.Heartbeat(report(func(r *BackendHeartbeat) { r.ID, r.StartedAt, r.Sequence = "server-2", born.Add(-time.Minute), 1 }))
		convey.So(a.gate.Server().State, convey.ShouldEqual, steer.Ready)
	})
}
