package steer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

// TestReportOfChangedServer guards the lists of candidates: a report that changed the service
// of a server was applied without moving the server between the lists, so that new flows
// went to a server of another service, or the balancer panicked.
func TestReportOfChangedServer(t *testing.T) {
	convey.Convey("Given a server of the service \"orders\" and one of \"other\", a report of the first one", t, func() {
		r := newTestRouter()
		taken := readyServer(1, "junin")
		r.SetServer(readyServer(0, "junin"))
		r.SetServer(taken)
		other := readyServer(2, "junin")
		other.Service = "other"
		r.SetServer(other)

		convey.Convey("with the other service moves it there", func() {
			taken.Service = "other"
			r.UpdateLoad(taken)
			r.SetServer(taken)
			convey.So(r.choose("orders", nil, (*Router).score).Agent, convey.ShouldEqual, agentAddress(0))
			convey.So(chosenOf(r, "other"), convey.ShouldResemble, map[passthrough.Endpoint]bool{agentAddress(1): true, agentAddress(2): true})
		})
		convey.Convey("without a service, as an agent sends it that has just started, takes it out", func() {
			taken.Service, taken.State = "", Unknown
			r.UpdateLoad(taken)
			r.SetServer(taken)
			convey.So(chosenOf(r, "orders"), convey.ShouldResemble, map[passthrough.Endpoint]bool{agentAddress(0): true})
		})
		convey.Convey("that has been silent makes it an owner of registrations again", func() {
			taken.TimedOut = true
			r.SetServer(taken)
			taken.TimedOut = false
			r.UpdateLoad(taken)
			r.SetServer(taken)
			owners := map[passthrough.Endpoint]bool{}
			for i := range 100 {
				first, second := r.owners.Pair(passthrough.Flow{Caller: agentAddress(1000 + i)})
				owners[first], owners[second] = true, true
			}
			convey.So(owners, convey.ShouldHaveLength, 3)
		})
	})
}

func chosenOf(r *Router, service string) map[passthrough.Endpoint]bool {
	seen := map[passthrough.Endpoint]bool{}
	for range 200 {
		if e := r.choose(service, nil, (*Router).score); e != nil {
			seen[e.Agent] = true
		}
	}
	return seen
}

// TestCandidatesMatchReports applies random reports, removals and versions and compares the
// candidates with the last report of each server.
func TestCandidatesMatchReports(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := newTestRouter()
		last := map[passthrough.Endpoint]Server{}
		out := ""
		for step := range 400 {
			i := random.IntN(6)
			report := readyServer(i, []string{"junin", "pasco"}[random.IntN(2)])
			report.Service = []string{"", "orders", "other"}[random.IntN(3)]
			report.State = State(random.IntN(int(Failing) + 1))
			report.Reachable = random.IntN(4) > 0
			switch random.IntN(8) {
			case 0:
				r.RemoveServer(report.Agent)
				delete(last, report.Agent)
			case 1:
				out = []string{"", "junin", "pasco"}[random.IntN(3)]
				r.SetVersion(versionWithout(out))
			case 2, 3, 4:
				r.SetServer(report)
				last[report.Agent] = report
			default:
				r.UpdateLoad(report)
				if _, known := last[report.Agent]; known {
					last[report.Agent] = report
				}
			}
			if got, want := listed(r), eligibleServers(last, out); got != want {
				t.Fatalf("seed %d, step %d: candidates %s, want %s", seed, step, got, want)
			}
		}
	}
}

// listed returns the candidates of all services in the order of their addresses.
func listed(r *Router) string {
	found := map[passthrough.Endpoint]string{}
	for service, c := range r.services {
		for group, list := range c {
			for position, e := range list {
				found[e.Agent] += fmt.Sprint(service, group)
				if e.position != position || e.group != group {
					found[e.Agent] += " misplaced"
				}
			}
		}
	}
	return fmt.Sprint(found)
}

// eligibleServers returns what listed returns if the candidates are right.
func eligibleServers(servers map[passthrough.Endpoint]Server, out string) string {
	want := map[passthrough.Endpoint]string{}
	for agent, server := range servers {
		group := otherDomains
		if server.Domain == "junin" {
			group = ownDomain
		}
		if server.Reachable && server.Domain != out && (server.State == Ready || server.State == Cold || server.State == Failing) {
			want[agent] = fmt.Sprint(server.Service, group)
		}
	}
	return fmt.Sprint(want)
}
