package steer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/version/routes"
)

func agentAddress(i int) passthrough.Endpoint {
	return passthrough.MakeEndpoint(0x0a000000+uint32(i), 7000)
}

// readyServer returns server i of the service "orders" in a failure domain.
func readyServer(i int, domain string) Server {
	return Server{Name: fmt.Sprintf("agent-%d", i), Agent: agentAddress(i), Service: "orders", Domain: domain, State: Ready, Slots: 2, Reachable: true}
}

func newTestRouter() *Router {
	r := New(Options{Domain: "junin"})
	r.SetVersion(versionWithout())
	return r
}

func versionWithout(out ...string) *routes.Version {
	v := &routes.Version{Revision: routes.Revision{Index: 1}, Routes: map[netip.AddrPort]*routes.Route{}, OutDomains: map[string]bool{}}
	for _, domain := range out {
		v.OutDomains[domain] = true
	}
	return v
}

// chosen returns how often each server is chosen in a number of choices.
func chosen(r *Router, except *entry) map[passthrough.Endpoint]int {
	const choices = 2000
	counts := map[passthrough.Endpoint]int{}
	for range choices {
		if e := r.choose("orders", except, (*Router).score); e != nil {
			counts[e.Agent]++
		}
	}
	return counts
}

func TestChoiceFollowsChanges(t *testing.T) {
	convey.Convey("Given five servers in the own failure domain", t, func() {
		r := newTestRouter()
		for i := range 5 {
			r.SetServer(readyServer(i, "junin"))
		}
		convey.Convey("all of them are chosen", func() {
			convey.So(chosen(r, nil), convey.ShouldHaveLength, 5)
		})
		convey.Convey("one that may not receive new flows is not chosen until it may again", func() {
			for _, change := range []func(*Server){
				func(s *Server) { s.State = Draining },
				func(s *Server) { s.State = Down },
				func(s *Server) { s.Reachable = false },
				func(s *Server) { s.Service = "other" },
			} {
				server := readyServer(2, "junin")
				change(&server)
				r.SetServer(server)
				counts := chosen(r, nil)
				convey.So(counts, convey.ShouldHaveLength, 4)
				convey.So(counts[agentAddress(2)], convey.ShouldEqual, 0)
				r.SetServer(readyServer(2, "junin"))
				convey.So(chosen(r, nil), convey.ShouldHaveLength, 5)
			}
		})
		convey.Convey("an excluded one is not chosen, at any position", func() {
			for i := range 5 {
				counts := chosen(r, r.byAgent[agentAddress(i)])
				convey.So(counts, convey.ShouldHaveLength, 4)
				convey.So(counts[agentAddress(i)], convey.ShouldEqual, 0)
			}
		})
		convey.Convey("removed ones are not chosen, and with the last one the choice is empty", func() {
			for i := range 5 {
				convey.So(chosen(r, nil), convey.ShouldHaveLength, 5-i)
				r.RemoveServer(agentAddress(i))
			}
			convey.So(r.choose("orders", nil, (*Router).score), convey.ShouldBeNil)
			convey.So(r.services, convey.ShouldBeEmpty)
		})
		convey.Convey("a version that takes the domain out leaves none, and the next one brings them back", func() {
			r.SetVersion(versionWithout("junin"))
			convey.So(r.choose("orders", nil, (*Router).score), convey.ShouldBeNil)
			r.SetVersion(versionWithout())
			convey.So(chosen(r, nil), convey.ShouldHaveLength, 5)
		})
		convey.Convey("a busy one is chosen less often than the others", func() {
			busy := readyServer(3, "junin")
			busy.MeanOpenRequests = 4
			r.SetServer(busy)
			counts := chosen(r, nil)
			convey.So(counts[agentAddress(3)], convey.ShouldEqual, 0)
			convey.So(counts, convey.ShouldHaveLength, 4)
		})
	})
	convey.Convey("A server elsewhere is chosen only if its load is lower by more than the penalty", t, func() {
		r := newTestRouter()
		near, far := readyServer(0, "junin"), readyServer(1, "pasco")
		r.SetServer(near)
		r.SetServer(far)
		convey.So(r.choose("orders", nil, (*Router).score).Agent, convey.ShouldEqual, near.Agent)
		near.MeanOpenRequests = 2*crossDomainPenalty + 0.01
		r.UpdateLoad(near)
		convey.So(r.choose("orders", nil, (*Router).score).Agent, convey.ShouldEqual, far.Agent)
	})
}
