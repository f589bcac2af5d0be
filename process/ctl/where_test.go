package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/process/passthrough"
)

// TestWhere guards against an answer that hides a refusal, and against exit codes that scripts
// cannot tell apart.
func TestWhere(t *testing.T) {
	cluster := newTestCluster(t)
	completion, compared, pending := 31.5, 33.25, 2
	found := passthrough.Where{
		Balancer: "balancer-1", Domain: "junin", Ready: true, Address: "198.18.0.1:443", Era: 2, Revision: 12, Version: 3,
		Route: &passthrough.WhereRoute{Name: "r", Priority: 1, LatencyTargetMs: 250, TimeoutMs: 1000},
		Services: []passthrough.WhereService{{
			Service: "orders", Share: 0.75, Basis: "drawn", Choice: "agent-1", RunnerUp: "agent-2",
			Servers: []passthrough.WhereServer{
				{Agent: "agent-1", State: "ready", Pending: &pending, Slots: 2, ExpectedCompletionMs: &completion, Compared: &compared, Drawn: true},
				{Agent: "agent-2", State: "ready", Excluded: "unreachable"},
			},
		}},
	}
	refusal := func(kind errkind.Kind) *passthrough.WhereRefusal {
		return &passthrough.WhereRefusal{Kind: kind.String(), Reason: "reason", CallerSees: "no response"}
	}
	full := found
	full.Services = append(full.Services, passthrough.WhereService{Service: "x", Share: 0.25, Refusal: refusal(errkind.BackendUnavailable)})
	answers := map[string]passthrough.Where{
		"198.18.0.1:443": found, "198.18.0.1:1": full,
		"198.18.0.1:2": {Refusal: refusal(errkind.NotFound)}, "198.18.0.1:3": {Refusal: refusal(errkind.NotInForce)},
	}
	balancer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		answer, ok := answers[r.FormValue(passthrough.WhereAddress)]
		if caller := r.FormValue(passthrough.WhereCaller); !ok || (caller != "" && caller != "100.64.0.1:1024") {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer balancer.Close()
	address := strings.TrimPrefix(balancer.URL, "http://")
	convey.Convey("The choice and the servers are printed", t, func() {
		got := cluster.run("", "where", "198.18.0.1:443", "--caller", "100.64.0.1:1024", "--balancer", address)
		convey.So(got.stderr, convey.ShouldBeEmpty)
		convey.So(got.code, convey.ShouldEqual, 0)
		for _, text := range []string{
			"balancer balancer-1 in junin: version 3, era 2, revision 12\n", "route r of 198.18.0.1:443: unsafe, priority 1, latency target 250 ms, timeout 1000 ms\n",
			"domains out of service: none\n", "service orders: 75% of", "choice: agent-1, the lowest value among the drawn", "runner-up: agent-2\n",
			"31.5 ms", "33.2 ms", "ready, unreachable",
		} {
			convey.So(got.stdout, convey.ShouldContainSubstring, text)
		}
	})
	convey.Convey("With --json the answer of the balancer is printed", t, func() {
		got := cluster.run("", "where", "198.18.0.1:443", "--json", "--balancer", address)
		var printed passthrough.Where
		convey.So(json.Unmarshal([]byte(got.stdout), &printed), convey.ShouldBeNil)
		convey.So(printed, convey.ShouldResemble, found)
	})
	convey.Convey("A balancer that does not respond is skipped if another one does", t, func() {
		convey.So(cluster.run("", "where", "198.18.0.1:443", "--balancer", "127.0.0.1:1", "--balancer", address).code, convey.ShouldEqual, 0)
	})
	convey.Convey("Refusals and errors have the exit code of their kind", t, func() {
		cases := []struct {
			args []string
			want errkind.Kind
			text string
		}{
			{[]string{"198.18.0.1:1", "--balancer", address}, errkind.BackendUnavailable, "service x: reason"},
			{[]string{"198.18.0.1:2", "--balancer", address}, errkind.NotFound, "reason"},
			{[]string{"198.18.0.1:3", "--balancer", address}, errkind.NotInForce, "reason"},
			{[]string{"198.18.0.1:4", "--balancer", address}, errkind.PeerUnavailable, "not the peer address of a passthrough-balancer"},
			{[]string{"198.18.0.1:443", "--balancer", "127.0.0.1:1"}, errkind.PeerUnavailable, "balancer 127.0.0.1:1: "},
			{[]string{"198.18.0.1", "--balancer", address}, errkind.Usage, `address: "198.18.0.1" is not IP:PORT`},
			{[]string{"198.18.0.1:443", "--caller", "x", "--balancer", address}, errkind.Usage, "--caller: "},
			{[]string{"198.18.0.1:443"}, errkind.Usage, "specify the peer address of one with --balancer"},
		}
		for _, c := range cases {
			got := cluster.run("", append([]string{"where"}, c.args...)...)
			convey.So(got.stderr, convey.ShouldContainSubstring, c.text)
			convey.So(got.code, convey.ShouldEqual, exitCode(c.want))
		}
		got := cluster.run("", "where", "198.18.0.1:2", "--balancer", address)
		convey.So(got.stdout, convey.ShouldContainSubstring, "refused: not_found: reason; the caller sees no response\n")
	})
}
