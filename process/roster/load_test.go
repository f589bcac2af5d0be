package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// TestLoadEncoding guards the ranges of the fields: a service time that rounds to 0 was
// indistinguishable from an unknown one, and a large value wrapped around.
func TestLoadEncoding(t *testing.T) {
	convey.Convey("Pending requests and service times are sent within the ranges of their fields", t, func() {
		for _, c := range []struct {
			pending     int
			serviceTime time.Duration
			wantPending int
			wantTime    time.Duration
		}{
			{0, 0, 0, 0},
			{3, time.Microsecond, 3, 100 * time.Microsecond},
			{-1, 47*time.Millisecond + 250*time.Microsecond, 0, 47*time.Millisecond + 300*time.Microsecond},
			{1 << 20, time.Minute, 65535, 6553500 * time.Microsecond},
		} {
			h := heartbeat{Member: Member{Role: Agent, Peer: addressOf(3), Name: "a"}, interval: time.Second}
			h.Report = Report{HasLoad: true, Pending: c.pending, ServiceTime: c.serviceTime}
			full, err := parseHeartbeat(h.encode())
			convey.So(err, convey.ShouldBeNil)
			convey.So(full.Report, convey.ShouldResemble, Report{HasLoad: true, Pending: c.wantPending, ServiceTime: c.wantTime})
			b := compactHeartbeatOf(&h)
			compact, err := parseCompactHeartbeat(b.encode())
			convey.So(err, convey.ShouldBeNil)
			convey.So([]any{compact.hasLoad, compact.pending, compact.serviceTime}, convey.ShouldResemble, []any{true, c.wantPending, c.wantTime})
		}
	})
}

// TestLoadBetweenBuilds guards against heartbeats that a member of an earlier build rejects: it
// would take the sender for failed.
func TestLoadBetweenBuilds(t *testing.T) {
	load := Report{State: steer.Ready, Slots: 2, HasLoad: true, Pending: 5, ServiceTime: 28 * time.Millisecond}
	convey.Convey("Given a balancer and two agents, of which one reports its load and one is of an earlier build", t, func() {
		c := newTestCluster(1, 2)
		c.processes[1].self.Report = load
		for i := range 2 {
			c.processes[0].roster.Add(addressOf(1+i), Agent)
			c.processes[1].roster.Add(addressOf(2*i), Balancer)
		}
		oldBalancer, long, bytes := false, 0, 0
		c.network.Drop = func(b []byte, to passthrough.Endpoint) bool {
			if kind := passthrough.Kind(b[0]); oldBalancer && sender(b) == addressOf(0) && kind == passthrough.Hello {
				b[4] &^= acceptsLoadFlag
			} else if oldBalancer && sender(b) == addressOf(0) && kind == passthrough.CompactHeartbeat {
				b[3] &^= acceptsLoadFlag
			}
			const udpHeaders = 28
			if sender(b) == addressOf(1) && to == addressOf(0) {
				bytes += len(b) + udpHeaders
			}
			if len(b) == longCompactHeartbeatSize {
				long++
			}
			return oldBalancer && to == addressOf(0) && len(b) == longCompactHeartbeatSize
		}
		convey.Convey("the balancer knows the load of the first and that the other reports none", func() {
			c.advance(4 * time.Second)
			convey.So(c.status(0, 1).Report, convey.ShouldResemble, load)
			convey.So(c.status(0, 2).Report, convey.ShouldResemble, Report{State: steer.Ready, Slots: 2})
			convey.So(long, convey.ShouldBeGreaterThan, 0)
			convey.So(c.status(2, 1).Report.HasLoad, convey.ShouldBeFalse)
		})
		convey.Convey("a balancer of an earlier build gets no long form, even if it has replaced a newer one", func() {
			c.advance(5 * time.Second)
			convey.So(long, convey.ShouldBeGreaterThan, 0)
			oldBalancer = true
			c.processes[0].self.Run = 2
			c.start(0)
			c.processes[0].roster.Add(addressOf(1), Agent)
			c.advance(time.Second)
			long = 0
			c.advance(4 * time.Second)
			convey.So(long, convey.ShouldEqual, 0)
			convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("heartbeats with the load have at most a twentieth more bytes", func() {
			c.advance(4 * time.Second)
			bytes = 0
			c.advance(20 * time.Second)
			with := bytes
			c.processes[1].self.Report.HasLoad = false
			bytes = 0
			c.advance(20 * time.Second)
			convey.So(with, convey.ShouldBeGreaterThan, bytes)
			convey.So(20*with, convey.ShouldBeLessThanOrEqualTo, 21*bytes)
		})
	})
}
