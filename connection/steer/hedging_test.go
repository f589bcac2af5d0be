package steer

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/version/routes"
)

// recorder counts the datagrams of kind Duplicate by receiver.
type recorder map[passthrough.Endpoint]int

func (r recorder) Send(b []byte, to passthrough.Endpoint) {
	if passthrough.Kind(b[0]) == passthrough.Duplicate {
		r[to]++
	}
}

// hedgingRouter returns a router whose service has a ready server, measurements of openings of
// 10 ms, and one opening that the ready server has not answered.
func hedgingRouter(limit float64, idempotent bool, now *time.Duration) (*Router, recorder, *routes.Route) {
	sent := recorder{}
	r := New(Options{Domain: "junin", Format: passthroughtest.Format{}, Sender: sent, HedgeLimit: limit, Now: func() time.Duration { return *now }})
	version, service := versionWithout(), passthrough.MakeEndpoint(0xc6120001, 443)
	route := &routes.Route{Idempotent: idempotent, Targets: []routes.Target{{Service: "orders", Weight: 1}}}
	version.Routes[service.AddrPort()] = route
	r.SetVersion(version)
	r.SetServer(readyServer(0, "junin"))
	for i := range 40 {
		segment := passthrough.Segment{Source: agentAddress(1000 + i), Target: service, Flags: passthrough.Open}
		r.HandlePacket(passthroughtest.Framed(segment))
		*now += 10 * time.Millisecond
		if segment.Flags = passthrough.Acknowledge; i < 39 {
			r.HandlePacket(passthroughtest.Framed(segment))
		}
	}
	*now += 100 * time.Millisecond
	return r, sent, route
}

// TestHedge guards against second opening packets to servers that must not get them, of routes
// whose requests may not be repeated, and without a limit.
func TestHedge(t *testing.T) {
	none := func(*Server, *routes.Route, *Router) {}
	cases := []struct {
		name   string
		limit  float64
		change func(s *Server, route *routes.Route, r *Router)
		sent   int
	}{
		{"goes to a ready server with a free slot", 1, none, 1},
		{"is not sent without a limit", 0, none, 0},
		{"does not go to a cold server", 1, func(s *Server, _ *routes.Route, _ *Router) { s.State = Cold }, 0},
		{"does not go to a draining server", 1, func(s *Server, _ *routes.Route, _ *Router) { s.State = Draining }, 0},
		{"does not go to a failing server", 1, func(s *Server, _ *routes.Route, _ *Router) { s.State = Failing }, 0},
		{"does not go to an unreachable server", 1, func(s *Server, _ *routes.Route, _ *Router) { s.Reachable = false }, 0},
		{"does not go to a server of another service", 1, func(s *Server, _ *routes.Route, _ *Router) { s.Service = "other" }, 0},
		{"does not go to a domain out of service", 1, func(s *Server, _ *routes.Route, r *Router) {
			s.Domain = "pasco"
			r.version.OutDomains["pasco"] = true
		}, 0},
		{"does not go to a server without a free slot", 1, func(s *Server, _ *routes.Route, _ *Router) { s.MeanOpenRequests = 1.5 }, 0},
		{"does not go to a server that reports a queue", 1, func(s *Server, _ *routes.Route, _ *Router) {
			s.HasLoad, s.Pending, s.ServiceTime, s.ReportedAt = true, 3, 50*time.Millisecond, 500*time.Millisecond
		}, 0},
		{"is not sent if a new version forbids to repeat the requests", 1, func(_ *Server, route *routes.Route, _ *Router) { route.Idempotent = false }, 0},
		{"is not sent if a new version routes to another service", 1, func(_ *Server, route *routes.Route, _ *Router) { route.Targets[0].Service = "other" }, 0},
	}
	for _, c := range cases {
		convey.Convey("A second opening packet "+c.name, t, func() {
			now := time.Duration(0)
			r, sent, route := hedgingRouter(c.limit, true, &now)
			server := readyServer(1, "junin")
			c.change(&server, route, r)
			r.SetServer(server)
			r.Tick(now)
			r.CheckHedges()
			convey.So(sent[server.Agent], convey.ShouldEqual, c.sent)
			convey.So(r.Counters().HedgesSent, convey.ShouldEqual, c.sent)
		})
	}
	convey.Convey("A second opening packet does not go to the agent to which the first one has forwarded the packet", t, func() {
		now := time.Duration(0)
		r, sent, _ := hedgingRouter(1, true, &now)
		r.SetServer(readyServer(1, "junin"))
		r.SetCandidate(agentAddress(1), passthrough.Flow{Caller: agentAddress(1039), Service: passthrough.MakeEndpoint(0xc6120001, 443)})
		r.Tick(now)
		convey.So(sent[agentAddress(1)], convey.ShouldEqual, 0)
	})
	convey.Convey("An opening of a route whose requests may not be repeated is never sent twice, whatever a later version says", t, func() {
		now := time.Duration(0)
		r, sent, route := hedgingRouter(1, false, &now)
		r.SetServer(readyServer(1, "junin"))
		route.Idempotent = true
		r.Tick(now)
		convey.So(sent, convey.ShouldBeEmpty)
	})
}
