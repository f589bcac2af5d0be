package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

// Sizes of the large fleet.
const largeSiteBalancers, largeSiteAgents = 59, 136

// fleetOfLargeSite returns a settled cluster of that size. VMs that are cut
// off do not respond to checks.
func fleetOfLargeSite() *testCluster {
	c := newTestCluster(largeSiteBalancers, largeSiteAgents)
	for i, p := range c.processes {
		if i > 0 {
			p.roster.Add(addressOf(0), Balancer)
		}
		p.roster.options.CheckVM = func(peer passthrough.Endpoint) { p.roster.HandleVMCheck(peer, VMUnreachable) }
	}
	c.advance(8 * time.Second)
	return c
}

// place lets each balancer request the reports of four random agents, as it does for the
// flows that it places in a quarter of a second, and then waits for as long.
func (c *testCluster) place() {
	for i := range largeSiteBalancers {
		for range 4 {
			c.processes[i].roster.RequestReport(addressOf(largeSiteBalancers+c.random.IntN(largeSiteAgents)), c.now)
		}
	}
	c.network.Run()
	c.advance(250 * time.Millisecond)
}

// cutOff drops all datagrams from and to the given processes.
func (c *testCluster) cutOff(processes ...int) {
	c.cut = map[passthrough.Endpoint]bool{}
	for _, i := range processes {
		c.cut[addressOf(i)] = true
	}
}

// TestFailedAgentIsKnownEverywhere guards against a detection time that grows with the
// fleet: at 136 agents the regular heartbeats are 1.4 s apart, and balancers kept sending
// new flows to failed agents for more than two seconds.
func TestFailedAgentIsKnownEverywhere(t *testing.T) {
	convey.Convey("Given the large fleet with balancers that place flows", t, func() {
		c := fleetOfLargeSite()
		for range 4 {
			c.place()
		}
		convey.Convey("every process knows within a second that an agent does not respond which no balancer asks", func() {
			c.cutOff(100)
			c.advance(time.Second)
			for i := range c.processes {
				if i != 100 {
					convey.So(c.status(i, 100).Reachable, convey.ShouldBeFalse)
				}
			}
		})
		for _, i := range []int{largeSiteBalancers, largeSiteBalancers + largeSiteAgents - 1} {
			convey.So(c.status(0, i).Reachable, convey.ShouldBeTrue)
		}
		convey.Convey("every process knows within a second that an agent does not respond", func() {
			c.cutOff(100)
			for range 4 {
				c.place()
			}
			for i := range c.processes {
				if i != 100 {
					convey.So(c.status(i, 100).Reachable, convey.ShouldBeFalse)
				}
			}
			convey.Convey("and presumes it failed after two, but not the others", func() {
				for range 4 {
					c.place()
				}
				for i := range c.processes {
					if i != 100 && i != 101 {
						convey.So(c.status(i, 100).Silent, convey.ShouldBeTrue)
						convey.So(c.status(i, 101).Reachable, convey.ShouldBeTrue)
					}
				}
			})
		})
		convey.Convey("a lost failure domain is known everywhere within two seconds", func() {
			lost := map[int]bool{}
			var list []int
			for i := range 40 {
				lost[20+4*i] = true
				list = append(list, 20+4*i)
			}
			c.cutOff(list...)
			for range 8 {
				c.place()
			}
			for i := range c.processes {
				for j := range list {
					if !lost[i] && c.processes[list[j]].self.Role == Agent {
						convey.So(c.status(i, list[j]).Reachable, convey.ShouldBeFalse)
					}
				}
			}
		})
		convey.Convey("a process that restarts within 600 ms is not presumed failed", func() {
			c.cutOff(100)
			presumedFailed := 0
			for _, p := range c.processes {
				p.roster.options.OnMemberChange = func(m Member, change string, _ time.Duration) {
					if change == "silent" && m.Peer == addressOf(100) {
						presumedFailed++
					}
				}
			}
			c.place()
			c.place()
			c.cutOff()
			c.processes[100].roster.Announce(c.now)
			for range 8 {
				c.place()
				for i := range c.processes {
					if i != 100 {
						convey.So(c.status(i, 100).Silent, convey.ShouldBeFalse)
					}
				}
			}
			convey.So(c.status(0, 100).Reachable, convey.ShouldBeTrue)
			convey.So(presumedFailed, convey.ShouldEqual, 0)
		})
	})
}

func TestSuspicion(t *testing.T) {
	convey.Convey("Given two balancers and three agents", t, func() {
		c := newTestCluster(2, 3)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(2 * time.Second)
		suspicions := 0
		count := func(b []byte, _ passthrough.Endpoint) bool {
			if passthrough.Kind(b[0]) == passthrough.Suspicion {
				suspicions++
			}
			return false
		}
		suspect := c.processes[0].roster.peers[addressOf(2)]

		convey.Convey("a suspicion of a member that has just been heard of is ignored", func() {
			c.processes[2].roster.Announce(c.now)
			c.network.Run()
			c.processes[0].roster.HandleSuspicion(passthrough.AppendSuspicion(nil, addressOf(2), 1), c.now)
			convey.So(suspect.probes, convey.ShouldEqual, 0)
		})
		convey.Convey("a suspected member that answers stays reachable, and the suspicion is not passed on", func() {
			suspect.lastHeartbeatAt -= recentHeartbeat
			c.network.Drop = count
			c.processes[0].roster.HandleSuspicion(passthrough.AppendSuspicion(nil, addressOf(2), 1), c.now)
			convey.So(suspect.probes, convey.ShouldEqual, 2)
			c.network.Run()
			convey.So(suspect.probes, convey.ShouldEqual, 0)
			convey.So(c.status(0, 2).Reachable, convey.ShouldBeTrue)
			convey.So(suspicions, convey.ShouldEqual, 0)
		})
		convey.Convey("a suspicion of a previous run is ignored", func() {
			suspect.lastHeartbeatAt -= recentHeartbeat
			c.processes[0].roster.HandleSuspicion(passthrough.AppendSuspicion(nil, addressOf(2), 7), c.now)
			convey.So(suspect.probes, convey.ShouldEqual, 0)
		})
		convey.Convey("a process that receives nothing suspects itself and tells no one", func() {
			c.network.Drop = func(b []byte, to passthrough.Endpoint) bool { return count(b, to) || to == addressOf(0) }
			c.advance(3 * time.Second)
			convey.So(c.status(0, 2).Reachable, convey.ShouldBeFalse)
			convey.So(suspicions, convey.ShouldEqual, 0)
		})
		convey.Convey("malformed datagrams are counted", func() {
			before := c.processes[0].roster.Malformed()
			c.processes[0].roster.HandleSuspicion([]byte{byte(passthrough.Suspicion), 1}, c.now)
			convey.So(c.processes[0].roster.Malformed(), convey.ShouldEqual, before+1)
		})
	})
	convey.Convey("A process names a limited number of members in a short time", t, func() {
		var b suspicionBudget
		taken := 0
		for range 100 {
			if b.take(time.Second) {
				taken++
			}
		}
		convey.So(taken, convey.ShouldEqual, maxSuspicions)
		convey.So(b.exhausted, convey.ShouldEqual, 100-maxSuspicions)
		convey.So(b.take(time.Second+suspicionInterval), convey.ShouldBeTrue)
		convey.So(b.take(time.Second+suspicionInterval), convey.ShouldBeFalse)
	})
}

// TestIsolatedProcess guards the flows of a process that is cut off: it used to presume that
// all others had failed and reset the flows of servers that other balancers still reached.
func TestIsolatedProcess(t *testing.T) {
	convey.Convey("Given a balancer of a small deployment that is cut off", t, func() {
		c := newTestCluster(2, 3)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(2 * time.Second)
		convey.So(c.processes[0].roster.Isolated(c.now), convey.ShouldBeFalse)
		c.cutOff(0)
		convey.Convey("it notices that before it finds the agents unreachable, and presumes no agent failed", func() {
			c.advance(isolationThreshold + 50*time.Millisecond)
			convey.So(c.processes[0].roster.Isolated(c.now), convey.ShouldBeTrue)
			c.advance(3 * time.Second)
			for i := 2; i < 5; i++ {
				convey.So(c.status(0, i).Reachable, convey.ShouldBeFalse)
				convey.So(c.status(0, i).Silent, convey.ShouldBeFalse)
			}
			convey.So(c.processes[1].roster.Isolated(c.now), convey.ShouldBeFalse)
		})
		convey.Convey("it recovers when it is connected again, and presumes an agent failed that is still cut off", func() {
			c.advance(2 * time.Second)
			c.cutOff(3)
			c.advance(agentSilence[VMUnknown].sinceHeartbeat)
			convey.So(c.processes[0].roster.Isolated(c.now), convey.ShouldBeFalse)
			convey.So(c.status(0, 2).Reachable, convey.ShouldBeTrue)
			convey.So(c.status(0, 3).Silent, convey.ShouldBeTrue)
		})
	})
	convey.Convey("A process that has presumed an agent failed does not change that when it is cut off", t, func() {
		c := newTestCluster(2, 3)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(2 * time.Second)
		c.cutOff(3)
		c.advance(2 * time.Second)
		convey.So(c.status(0, 3).Silent, convey.ShouldBeTrue)
		c.cutOff(0, 3)
		c.advance(2 * time.Second)
		convey.So(c.status(0, 3).Silent, convey.ShouldBeTrue)
	})
}

// TestSilenceByVM guards the flows of servers whose VM has failed, which are reset as soon as
// possible, and those of servers whose agent is only restarted, which are not.
func TestSilenceByVM(t *testing.T) {
	for _, row := range []struct {
		name          string
		vm            VMState
		before, after time.Duration
	}{
		{"an agent that exists but does not run is presumed failed only after 1.7 s", VMAccepts, 1700 * time.Millisecond, 2150 * time.Millisecond},
		{"an agent whose VM responds is presumed failed only after 0.8 s", VMRefuses, 800 * time.Millisecond, 1250 * time.Millisecond},
		{"an agent whose VM does not respond is presumed failed within 0.85 s", VMUnreachable, 400 * time.Millisecond, 850 * time.Millisecond},
	} {
		for ticks := range minReportInterval / tickInterval {
			convey.Convey(fmt.Sprintf("In a small deployment, after %d ticks more, %s", ticks, row.name), t, func() {
				c := newTestCluster(2, 3)
				for _, p := range c.processes[1:] {
					p.roster.Add(addressOf(0), Balancer)
				}
				c.advance(2*time.Second + ticks*tickInterval)
				checks := 0
				balancer := c.processes[0].roster
				balancer.options.CheckVM = func(peer passthrough.Endpoint) {
					checks++
					convey.So(peer, convey.ShouldEqual, addressOf(4))
				}
				c.cutOff(4)
				cutAt := c.now
				for c.now < cutAt+row.after {
					c.advance(tickInterval)
					if checks == 1 {
						balancer.HandleVMCheck(addressOf(4), row.vm)
					}
					if c.now <= cutAt+row.before {
						convey.So(c.status(0, 4).Silent, convey.ShouldBeFalse)
					}
				}
				convey.So(c.status(0, 4).Silent, convey.ShouldBeTrue)
				convey.So(checks, convey.ShouldEqual, 1)
			})
		}
	}
	convey.Convey("The result of a check that arrives after the member has answered is ignored", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		c.processes[0].roster.HandleVMCheck(addressOf(1), VMUnreachable)
		c.processes[0].roster.HandleVMCheck(addressOf(77), VMUnreachable)
		convey.So(c.processes[0].roster.peers[addressOf(1)].vm, convey.ShouldEqual, VMUnknown)
	})
}

// TestHeartbeatsAreSpread guards against heartbeats of all processes in the same moment,
// seconds apart, after they have changed together.
func TestHeartbeatsAreSpread(t *testing.T) {
	convey.Convey("Agents whose servers become ready at the same time do not report in step afterwards", t, func() {
		c := newTestCluster(1, 100)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(3 * time.Second)
		for _, p := range c.processes[1:] {
			p.self.Report.State = steer.Cold
			p.roster.Announce(c.now)
		}
		c.network.Run()
		for range 20 {
			c.advance(100 * time.Millisecond)
			convey.So(c.processes[0].roster.Isolated(c.now), convey.ShouldBeFalse)
		}
	})
}

// TestRequestedReport guards that a requested report changes nothing but the load.
func TestRequestedReport(t *testing.T) {
	convey.Convey("A requested report arrives at once and notifies no change", t, func() {
		c := newTestCluster(1, 1)
		c.processes[1].roster.Add(addressOf(0), Balancer)
		c.advance(2 * time.Second)
		changes := c.processes[0].changes
		c.processes[1].self.Report = Report{State: steer.Ready, Slots: 2, MeanOpenRequests: 1.5, Flows: 9}
		c.processes[0].roster.RequestReport(addressOf(1), c.now)
		c.network.Run()
		convey.So(c.status(0, 1).Report.MeanOpenRequests, convey.ShouldEqual, 1.5)
		convey.So(c.status(0, 1).LastHeartbeatAt, convey.ShouldEqual, c.now)
		convey.So(c.processes[0].changes, convey.ShouldEqual, changes)
	})
}
