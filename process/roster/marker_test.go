package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

// read lets a process handle its unread datagrams, in the order of their arrival.
func (c *testCluster) read(i int) {
	p := c.processes[i]
	p.heldUp = false
	for _, b := range p.unread {
		c.handlers[p.self.Peer](b)
	}
	p.unread = nil
	c.deliver()
}

// TestUnreadDatagrams guards the flows of servers when a balancer is busy: one on a weak VM
// that activated a large version did not read its datagrams in time, presumed 14 agents failed
// after 1.1 to 2.3 s and reset flows of running servers.
func TestUnreadDatagrams(t *testing.T) {
	for _, vm := range []VMState{VMRefuses, VMUnreachable} {
		convey.Convey("Given a balancer that does not read its datagrams", t, func() {
			c := newTestCluster(2, 10)
			for _, p := range c.processes[1:] {
				p.roster.Add(addressOf(0), Balancer)
			}
			c.advance(3 * time.Second)
			balancer := c.processes[0]
			balancer.roster.options.CheckVM = func(peer passthrough.Endpoint) { balancer.roster.HandleVMCheck(peer, vm) }
			// One agent that is not running makes the balancer probe before it is held up.
			c.cutOff(11)
			c.advance(2 * time.Second)
			convey.So(balancer.silences, convey.ShouldEqual, 1)
			heldUp := func(d time.Duration) {
				balancer.heldUp = true
				// Any heartbeat lets the balancer take itself for connected.
				for end := c.now + d; c.now < end; {
					c.advance(tickInterval)
					balancer.roster.lastReceived = c.now
				}
			}
			convey.Convey("it presumes no agent failed while its ticks run on time", func() {
				heldUp(3 * time.Second)
				convey.So(balancer.silences, convey.ShouldEqual, 1)
				c.read(0)
				c.advance(3 * time.Second)
				convey.So(balancer.silences, convey.ShouldEqual, 1)
				convey.So(c.status(0, 5).Reachable, convey.ShouldBeTrue)
			})
			convey.Convey("it presumes none failed if it ticks every 0.4 s and reads its datagrams every 1.6 s only", func() {
				for i := range 12 {
					balancer.heldUp = true
					for range 8 {
						c.now += tickInterval
						for _, p := range c.processes[1:] {
							p.roster.Tick(c.now)
						}
						c.deliver()
					}
					balancer.roster.lastReceived = c.now
					balancer.roster.Tick(c.now)
					c.deliver()
					convey.So(balancer.silences, convey.ShouldEqual, 1)
					if i%4 == 3 {
						c.read(0)
					}
				}
			})
			convey.Convey("it presumes an agent failed that ends meanwhile, within 1.25 s after it has read them", func() {
				c.cutOff(5, 11)
				heldUp(time.Second)
				convey.So(balancer.silences, convey.ShouldEqual, 1)
				c.read(0)
				c.advance(1250 * time.Millisecond)
				convey.So(c.status(0, 5).Silent, convey.ShouldBeTrue)
				convey.So(balancer.silences, convey.ShouldEqual, 2)
			})
		})
	}
}

func TestMarker(t *testing.T) {
	convey.Convey("A malformed marker and one from the future are counted and have no effect", t, func() {
		r := newTestCluster(1, 0).processes[0].roster
		r.HandleMarker([]byte{byte(passthrough.Marker)}, time.Second)
		r.HandleMarker(passthrough.AppendMarker(nil, 2*time.Second), time.Second)
		convey.So(r.Malformed(), convey.ShouldEqual, 2)
		convey.So(r.handledUntil, convey.ShouldEqual, 0)
	})
}
