package gate_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/steer"
)

// TestOldCopyAfterStall guards against the reset of a flow that is open elsewhere: an agent that
// had not run for 0.8 s refused a copy of its opening packet that had waited unread, after a
// later copy had opened the flow at another server.
func TestOldCopyAfterStall(t *testing.T) {
	for _, tickFirst := range []bool{false, true} {
		convey.Convey("Given an agent that resumes after a stall, with a server that takes no flows", t, func() {
			tc := newTestCluster(1)
			n := tc.nodes[0]
			n.info.State = steer.Draining
			n.gate.SetServer(n.info, tc.now)
			n.gate.Tick(tc.now)
			tc.now += 800 * time.Millisecond
			if tickFirst {
				n.gate.Tick(tc.now)
			}
			convey.Convey("an old opening packet is refused without a reset", func() {
				convey.So(tc.open(0).Reset, convey.ShouldBeFalse)
				convey.So(n.gate.Counters().Refused, convey.ShouldEqual, 1)
			})
			convey.Convey("later ones are reset at once", func() {
				for range 4 {
					n.gate.Tick(tc.now)
					tc.now += 50 * time.Millisecond
				}
				convey.So(tc.open(0).Reset, convey.ShouldBeTrue)
			})
		})
	}
}
