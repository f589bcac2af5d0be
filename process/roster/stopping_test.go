package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// TestStoppedAgentIsNotPresumedFailed guards the flows of an agent that is restarted: it was
// presumed failed when the restart took longer than 1.1 s, and the flows of its running server
// were reset.
func TestStoppedAgentIsNotPresumedFailed(t *testing.T) {
	for _, row := range []struct {
		name       string
		state      steer.State
		vm         VMState
		silentTime time.Duration
		silent     bool
	}{
		{"An agent that announced its stop is not presumed failed while its VM answers", steer.Draining, VMRefuses, 6 * time.Second, false},
		{"An agent that announced its stop and does not return is presumed failed", steer.Draining, VMRefuses, 11 * time.Second, true},
		{"An agent that announced its stop is presumed failed if its VM does not answer", steer.Draining, VMUnreachable, 850 * time.Millisecond, true},
		{"An agent that announced its stop and does not run is not presumed failed", steer.Draining, VMAccepts, 6 * time.Second, false},
		{"An agent that announced no stop is presumed failed although its VM answers", steer.Ready, VMRefuses, 1250 * time.Millisecond, true},
	} {
		convey.Convey(row.name, t, func() {
			c := newTestCluster(2, 3)
			for _, p := range c.processes[1:] {
				p.roster.Add(addressOf(0), Balancer)
			}
			c.advance(2 * time.Second)
			balancer := c.processes[0].roster
			balancer.options.CheckVM = func(peer passthrough.Endpoint) { balancer.HandleVMCheck(peer, row.vm) }
			c.processes[4].self.Report.State = row.state
			c.processes[4].roster.Announce(c.now)
			c.network.Run()
			c.cutOff(4)
			c.advance(row.silentTime)
			convey.So(c.status(0, 4).Silent, convey.ShouldEqual, row.silent)
		})
	}
}
