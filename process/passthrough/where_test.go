package passthrough

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// newTestBalancer returns a balancer on free loopback ports. It is not running.
func newTestBalancer(t *testing.T) *Balancer {
	t.Helper()
	a := newTestAgent(t)
	b, err := NewBalancer(a.settings, a.logger, a.adapter, Reload{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = b.callers.Close(); _ = b.peer.Close() })
	return b
}

// TestWhereResponse guards against answers that lack what the decision depended on, and against
// a handler that hides the paths of other processes.
func TestWhereResponse(t *testing.T) {
	convey.Convey("Given a balancer", t, func() {
		b := newTestBalancer(t)
		get := func(path string) (int, Where) {
			response := httptest.NewRecorder()
			b.handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, path, http.NoBody))
			var w Where
			if response.Code == http.StatusOK {
				convey.So(json.Unmarshal(response.Body.Bytes(), &w), convey.ShouldBeNil)
			}
			return response.Code, w
		}
		convey.Convey("malformed parameters are refused", func() {
			for _, query := range []string{"", "?address=198.18.0.1", "?address=[::1]:80", "?address=198.18.0.1:0", "?address=198.18.0.1:443&caller=x"} {
				code, _ := get(WherePath + query)
				convey.So(code, convey.ShouldEqual, http.StatusBadRequest)
			}
		})
		convey.Convey("other processes still get its configuration", func() {
			code, _ := get(ConfigPath)
			convey.So(code, convey.ShouldEqual, http.StatusOK)
		})
		convey.Convey("without a version the caller gets no response", func() {
			_, w := get(WherePath + "?address=198.18.0.1:443")
			convey.So(w.Revision, convey.ShouldEqual, 0)
			convey.So(w.Ready, convey.ShouldBeFalse)
			convey.So(w.Refusal.Kind, convey.ShouldEqual, errkind.NotInForce.String())
			convey.So(w.Refusal.CallerSees, convey.ShouldEqual, "no response")
		})
		convey.Convey("with a version, the route, the servers and the choice are shown", func() {
			route := &routes.Route{Name: "r", Priority: 1, LatencyTarget: 250 * time.Millisecond, Targets: []routes.Target{{Service: "orders", Weight: 1}}}
			b.setVersion(&routes.Version{
				Revision: routes.Revision{Era: 2, Index: 12}, Number: 3, OutDomains: map[string]bool{"pasco": true, "ayacucho": true, "junin": false},
				Routes: map[netip.AddrPort]*routes.Route{netip.MustParseAddrPort("198.18.0.1:443"): route},
			})
			for i, domain := range []string{"junin", "junin", "pasco"} {
				b.steer.SetServer(steer.Server{
					Name: "agent-" + string(rune('a'+i)), Agent: passthrough.MakeEndpoint(0x7f000001, uint16(1+i)), Service: "orders", Domain: domain,
					State: steer.Ready, Slots: 2, HasLoad: true, Pending: 20 * i, MeanOpenRequests: float64(2 * i), ServiceTime: 30 * time.Millisecond,
					ReportedAt: b.clock.now(), Reachable: true,
				})
			}
			before := b.counters()
			_, w := get(WherePath + "?address=198.18.0.1:443&caller=100.64.0.1:1024")
			convey.So(b.counters(), convey.ShouldResemble, before)
			convey.So([]any{w.Era, w.Revision, w.Version, w.OutDomains}, convey.ShouldResemble, []any{uint64(2), uint64(12), uint64(3), []string{"ayacucho", "pasco"}})
			convey.So(*w.Route, convey.ShouldResemble, WhereRoute{Name: "r", Priority: 1, LatencyTargetMs: 250})
			convey.So(w.Services, convey.ShouldHaveLength, 1)
			s := w.Services[0]
			convey.So([]string{s.Choice, s.RunnerUp, s.Basis}, convey.ShouldResemble, []string{"agent-a", "agent-b", "sampled"})
			convey.So(s.Servers, convey.ShouldHaveLength, 3)
			convey.So(*s.Servers[0].ExpectedCompletionMs, convey.ShouldAlmostEqual, 30, 0.1)
			convey.So(*s.Servers[1].Pending, convey.ShouldEqual, 20)
			convey.So(*s.Servers[1].Compared, convey.ShouldBeGreaterThanOrEqualTo, *s.Servers[1].ExpectedCompletionMs)
			convey.So(s.Servers[2].Excluded, convey.ShouldEqual, "domain out of service")
			convey.So(s.Servers[2].Compared, convey.ShouldBeNil)
			_, w = get(WherePath + "?address=198.18.0.1:80")
			convey.So(w.Refusal.Kind, convey.ShouldEqual, errkind.NotFound.String())
		})
	})
}
