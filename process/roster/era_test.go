package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/version/routes"
)

// TestVersionOfLaterEra guards against members that miss a version of a restored store, whose
// index is lower than that of their own.
func TestVersionOfLaterEra(t *testing.T) {
	convey.Convey("Given two balancers with a version of era 70000", t, func() {
		c := newTestCluster(2, 0)
		before, after := routes.Revision{Era: 70000, Index: 54}, routes.Revision{Era: 70001, Index: 36}
		c.processes[0].self.Version, c.processes[1].self.Version = before, before
		c.processes[0].roster.Add(addressOf(1), Balancer)
		c.advance(5 * time.Second)
		convey.So(c.processes[0].newerVersions, convey.ShouldBeEmpty)
		convey.So(c.status(0, 1).Version, convey.ShouldResemble, before)

		convey.Convey("compact heartbeats announce one of the next era with a lower index", func() {
			c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool { return passthrough.Kind(b[0]) == passthrough.Hello }
			c.processes[1].self.Version = after
			c.advance(2 * time.Second)
			convey.So(c.processes[0].newerVersions, convey.ShouldContain, after)
			convey.So(c.processes[1].newerVersions, convey.ShouldBeEmpty)
		})
		convey.Convey("a member of an earlier build gets no era and stays reachable", func() {
			c.network.Drop = func(b []byte, to passthrough.Endpoint) bool {
				flags := map[passthrough.Kind]int{passthrough.Hello: 4, passthrough.CompactHeartbeat: 3}
				if at, ok := flags[passthrough.Kind(b[0])]; ok && sender(b) == addressOf(0) {
					b[at] &^= acceptsEraFlag
				}
				return to == addressOf(0) && len(b) == compactHeartbeatSize+compactEraSize
			}
			c.advance(20 * time.Second)
			convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		})
	})
}

func TestEraRoundTrip(t *testing.T) {
	convey.Convey("Heartbeats with an era decode to the values that were encoded", t, func() {
		h := heartbeat{Member: Member{Role: Balancer, Peer: addressOf(3), Name: "a", Version: routes.Revision{Era: 1 << 40, Index: 7}}, interval: time.Second, acceptsEra: true}
		full, err := parseHeartbeat(h.encode())
		convey.So(err, convey.ShouldBeNil)
		convey.So(full, convey.ShouldResemble, h)
		b := compactHeartbeatOf(&h)
		compact, err := parseCompactHeartbeat(b.encode())
		convey.So(err, convey.ShouldBeNil)
		convey.So(compact, convey.ShouldResemble, b)
	})
}
