package roster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

// testProcess is a process of a testCluster.
type testProcess struct {
	self          Member
	roster        *Roster
	changes       int
	lastChanged   []Status
	removed       []Member
	newerVersions []routes.Revision
	// silences counts the members presumed failed. While the process is heldUp, its unread
	// datagrams wait.
	silences int
	heldUp   bool
	unread   [][]byte
}

// testCluster simulates the rosters of a deployment in virtual time.
type testCluster struct {
	network   *passthroughtest.Network
	processes []*testProcess
	now       time.Duration
	random    *rand.Rand
	// cut holds the processes that are cut off.
	cut map[passthrough.Endpoint]bool
	// handlers receive the datagrams of processes, toSelf are those under way from a
	// process to itself.
	handlers map[passthrough.Endpoint]func(b []byte)
	toSelf   []func()
}

// testSender sends the datagrams of a process of a testCluster.
type testSender struct {
	cluster *testCluster
	from    passthrough.Endpoint
}

// Send implements passthrough.Sender.
func (s testSender) Send(b []byte, to passthrough.Endpoint) {
	switch {
	case s.from == to:
		// What a process sends itself does not leave its VM. It waits behind all others.
		s.cluster.toSelf = append(s.cluster.toSelf, func() { s.cluster.handlers[to](b) })
	case !s.cluster.cut[s.from] && !s.cluster.cut[to]:
		s.cluster.network.Send(b, to)
	}
}

// testSeed returns the seed of the random choices of a testCluster, which the environment
// variable ROSTER_SEED replaces.
func testSeed() uint64 {
	seed, _ := strconv.ParseUint(cmp.Or(os.Getenv("ROSTER_SEED"), "1"), 10, 64)
	return seed
}

func addressOf(i int) passthrough.Endpoint {
	return passthrough.MakeEndpoint(0x0a000001+uint32(i), 7000)
}

// newTestCluster returns a cluster of the given numbers of balancers and agents that
// know no other process.
func newTestCluster(balancers, agents int) *testCluster {
	c := &testCluster{network: passthroughtest.NewNetwork(), now: time.Second, random: rand.New(rand.NewPCG(testSeed(), 1)), handlers: map[passthrough.Endpoint]func([]byte){}}
	for i := range balancers + agents {
		p := &testProcess{self: Member{Name: fmt.Sprintf("p-%d", i), Domain: "junin", Role: Balancer, Peer: addressOf(i), Run: 1, Version: routes.Revision{Index: 1}}}
		if i >= balancers {
			p.self.Role, p.self.Service, p.self.Report = Agent, "orders", Report{State: steer.Ready, Slots: 2}
		}
		c.processes = append(c.processes, p)
		c.start(i)
	}
	return c
}

// start starts or restarts a process with an empty roster.
func (c *testCluster) start(i int) {
	p := c.processes[i]
	p.roster = New(Options{
		Self:           func() Member { return p.self },
		Sender:         testSender{c, p.self.Peer},
		OnNewerVersion: func(m Member) { p.newerVersions = append(p.newerVersions, m.Version) },
		OnConfirmed:    func(time.Duration) {},
		OnChange:       func(changed []Status) { p.changes, p.lastChanged = p.changes+1, changed },
		OnRemove:       func(m Member) { p.removed = append(p.removed, m) },
		OnMemberChange: func(_ Member, change string, _ time.Duration) {
			if change == "silent" {
				p.silences++
			}
		},
	})
	c.handlers[addressOf(i)] = func(b []byte) {
		if p.heldUp {
			p.unread = append(p.unread, b)
			return
		}
		switch passthrough.Kind(b[0]) {
		case passthrough.Introduction:
			p.roster.HandleIntroduction(b)
		case passthrough.CompactHeartbeat:
			p.roster.HandleCompactHeartbeat(b, c.now)
		case passthrough.Suspicion:
			p.roster.HandleSuspicion(b, c.now)
		case passthrough.ViewRequest:
			p.roster.HandleViewRequest(b)
		case passthrough.View:
			p.roster.HandleView(b)
		case passthrough.Marker:
			p.roster.HandleMarker(b, c.now)
		default:
			p.roster.HandleHeartbeat(b, c.now)
		}
		p.roster.NotifyChanges()
	}
	c.network.Attach(addressOf(i), c.handlers[addressOf(i)])
}

// deliver delivers all datagrams.
func (c *testCluster) deliver() {
	c.network.Run()
	for _, handle := range c.toSelf {
		handle()
	}
	c.toSelf = nil
}

// tickInterval is the time between two ticks.
const tickInterval = 50 * time.Millisecond

// advance advances the virtual time in steps of one tick.
func (c *testCluster) advance(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += tickInterval
		for _, p := range c.processes {
			p.roster.Tick(c.now)
		}
		c.deliver()
	}
}

// status returns the status of one process as seen by another, nil if it is unknown.
func (c *testCluster) status(of, about int) *Status {
	for status := range c.processes[of].roster.Members() {
		if status.Peer == addressOf(about) {
			return &status
		}
	}
	return nil
}

func TestDiscoveryFromOneSeed(t *testing.T) {
	convey.Convey("Processes that know only one balancer discover each other", t, func() {
		c := newTestCluster(3, 5)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(time.Second)
		for i := range c.processes {
			convey.So(c.processes[i].roster.DiscoveryComplete(), convey.ShouldBeTrue)
			for j := range c.processes {
				if i != j {
					convey.So(c.status(i, j), convey.ShouldNotBeNil)
					convey.So(c.status(i, j).Reachable, convey.ShouldBeTrue)
				}
			}
		}
	})
}

// TestDiscoveryInLargeDeployment guards against members that others never contact: an
// introduction of more members than fit into a datagram used to leave out the rest.
func TestDiscoveryInLargeDeployment(t *testing.T) {
	convey.Convey("All of more processes than an introduction can list discover each other through one balancer", t, func() {
		const processes = maxIntroductionEntries + 60
		c := newTestCluster(1, processes-1)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(time.Second)
		for _, p := range c.processes {
			members := 0
			for range p.roster.Members() {
				members++
			}
			convey.So(members, convey.ShouldEqual, processes-1)
		}
	})
}

func TestUnresponsiveSeed(t *testing.T) {
	convey.Convey("Discovery is complete once an address that never answers is no longer contacted", t, func() {
		c := newTestCluster(1, 1)
		c.processes[1].roster.Add(addressOf(0), 0)
		c.processes[1].roster.Add(addressOf(77), 0)
		c.advance(time.Second)
		convey.So(c.processes[1].roster.DiscoveryComplete(), convey.ShouldBeFalse)
		c.advance(contactAttempts * contactInterval)
		convey.So(c.processes[1].roster.DiscoveryComplete(), convey.ShouldBeTrue)
		convey.So(c.status(1, 0).Reachable, convey.ShouldBeTrue)
	})
}

func TestDiscoveryCompleteAtAgent(t *testing.T) {
	convey.Convey("Given an agent with the addresses of two balancers and another agent", t, func() {
		c := newTestCluster(1, 2)
		self := c.processes[1].roster
		self.Add(addressOf(0), Balancer)
		self.Add(addressOf(77), Balancer)
		self.Add(addressOf(2), Agent)

		convey.Convey("discovery is complete without the balancer that has not started", func() {
			c.advance(200 * time.Millisecond)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeTrue)
		})
		convey.Convey("discovery is incomplete while no balancer has sent an introduction", func() {
			c.network.Attach(addressOf(0), nil)
			c.advance(time.Second)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
			c.advance(contactAttempts * contactInterval)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeTrue)
		})
		convey.Convey("discovery is incomplete while an agent has not answered", func() {
			self.Add(addressOf(78), Agent)
			c.advance(time.Second)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
		})
		convey.Convey("discovery is incomplete while an agent introduced by the balancer has not answered", func() {
			c.processes[0].roster.HandleHeartbeat((&heartbeat{Member: Member{Name: "late", Domain: "junin", Role: Agent, Peer: addressOf(79), Run: 1}, interval: time.Second}).encode(), c.now)
			c.advance(200 * time.Millisecond)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
		})
	})
}

func TestMemberWithoutHeartbeats(t *testing.T) {
	convey.Convey("An agent whose heartbeats stop is unreachable after 1 s, presumed failed after 2 s, and reachable again when its heartbeats arrive again", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		c.network.Drop = func([]byte, passthrough.Endpoint) bool { return true }
		c.advance(time.Second)
		convey.So(c.status(0, 1).Reachable, convey.ShouldBeFalse)
		convey.So(c.status(0, 1).Silent, convey.ShouldBeFalse)
		c.advance(time.Second)
		convey.So(c.status(0, 1).Silent, convey.ShouldBeTrue)
		c.network.Drop = nil
		c.advance(1200 * time.Millisecond)
		convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		convey.So(c.status(0, 1).Silent, convey.ShouldBeFalse)
	})
	convey.Convey("A member is removed after a long time without heartbeats", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		c.network.Attach(addressOf(0), nil)
		c.advance(removeAfter + time.Second)
		convey.So(c.status(0, 1), convey.ShouldBeNil)
	})
}

// sender returns the sender of a heartbeat, 0 for other datagrams.
func sender(b []byte) passthrough.Endpoint {
	switch passthrough.Kind(b[0]) {
	case passthrough.Hello:
		if h, err := parseHeartbeat(b); err == nil {
			return h.Peer
		}
	case passthrough.CompactHeartbeat:
		if b, err := parseCompactHeartbeat(b); err == nil {
			return b.peer
		}
	default:
	}
	return 0
}

// TestFailedAgentInLargeDeployment guards against a detection time that grows with
// the number of agents: the intervals of heartbeats grow with it, and if a failed agent
// is detected only by missed heartbeats, so does the time until it is detected.
func TestFailedAgentInLargeDeployment(t *testing.T) {
	convey.Convey("Given balancers and so many agents that heartbeats are seconds apart", t, func() {
		c := newTestCluster(2, 200)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(8 * time.Second)
		convey.Convey("a failed agent is unreachable and presumed failed as soon as in a small deployment", func() {
			c.network.Drop = func(b []byte, to passthrough.Endpoint) bool { return to == addressOf(5) || sender(b) == addressOf(5) }
			c.advance(3200 * time.Millisecond)
			convey.So(c.status(0, 5).Reachable, convey.ShouldBeFalse)
			convey.So(c.status(0, 5).Silent, convey.ShouldBeTrue)
			convey.So(c.status(0, 6).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("an agent that answers probes is reachable although its regular heartbeats are late", func() {
			h := heartbeat{Member: c.processes[5].self, interval: 250 * time.Millisecond, receivesHeartbeats: true}
			c.processes[0].roster.HandleHeartbeat(h.encode(), c.now)
			c.advance(1500 * time.Millisecond)
			convey.So(c.status(0, 5).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("no member is probed while heartbeats arrive", func() {
			probes := 0
			c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
				if (passthrough.Kind(b[0]) == passthrough.CompactHeartbeat && b[3]&wantsReplyFlag != 0) || (passthrough.Kind(b[0]) == passthrough.Hello && b[4]&wantsReplyFlag != 0) {
					probes++
				}
				return false
			}
			c.advance(6 * time.Second)
			convey.So(probes, convey.ShouldEqual, 0)
		})
	})
}

// TestFailedAgentIsDetectedInTime guards requests whose callers wait for 1.5 s: when their
// server is lost, they can be repeated elsewhere only if their flows are reset well before.
func TestFailedAgentIsDetectedInTime(t *testing.T) {
	for ticks := range minReportInterval / tickInterval {
		convey.Convey(fmt.Sprintf("Given a small deployment after %d ticks more", ticks), t, func() {
			c := newTestCluster(2, 4)
			for _, p := range c.processes[1:] {
				p.roster.Add(addressOf(0), Balancer)
			}
			c.advance(3*time.Second + ticks*tickInterval)
			c.cutOff(4)
			convey.Convey("an agent that has failed is presumed so within 1.25 s", func() {
				c.advance(1250 * time.Millisecond)
				convey.So(c.status(0, 4).Silent, convey.ShouldBeTrue)
				convey.So(c.status(1, 4).Silent, convey.ShouldBeTrue)
			})
			convey.Convey("an agent that is back after 700 ms is not", func() {
				for range 14 {
					c.advance(tickInterval)
					convey.So(c.status(0, 4).Silent, convey.ShouldBeFalse)
				}
				c.cutOff()
				c.processes[4].roster.Announce(c.now)
				for range 20 {
					c.advance(tickInterval)
					convey.So(c.status(0, 4).Silent, convey.ShouldBeFalse)
				}
			})
		})
	}
}

func TestOneWayLoss(t *testing.T) {
	convey.Convey("A balancer does not consider an agent reachable that receives none of its heartbeats", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		c.network.Drop = func(_ []byte, to passthrough.Endpoint) bool { return to == addressOf(1) }
		c.advance(reachableIntervals*minHeartbeatInterval + time.Second)
		convey.So(c.status(0, 1).Reachable, convey.ShouldBeFalse)
		convey.So(c.status(0, 1).Silent, convey.ShouldBeFalse)
	})
}

func TestLocalStall(t *testing.T) {
	convey.Convey("A process that has stalled does not presume the others failed", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		c.now += 10 * time.Second
		c.processes[0].roster.Tick(c.now)
		convey.So(c.status(0, 1).Silent, convey.ShouldBeFalse)
		convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		convey.So(c.processes[0].roster.Stalls(), convey.ShouldEqual, 1)
	})
}

func TestRestartedMember(t *testing.T) {
	convey.Convey("A restarted process is known within 200 ms, and heartbeats of its previous run are ignored", t, func() {
		c := newTestCluster(1, 2)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.processes[0].roster.Add(addressOf(2), 0)
		c.advance(time.Second)
		old := heartbeat{Member: c.processes[1].self, interval: time.Second}
		c.processes[1].self.Run = 2
		c.start(1)
		c.processes[1].roster.Add(addressOf(0), 0)
		c.advance(200 * time.Millisecond)
		convey.So(c.status(0, 1).Run, convey.ShouldEqual, 2)
		convey.So(c.status(1, 2).Reachable, convey.ShouldBeTrue)
		c.processes[0].roster.HandleHeartbeat(old.encode(), c.now)
		convey.So(c.status(0, 1).Run, convey.ShouldEqual, 2)
	})
}

// TestRunWithEarlierClock guards an agent that starts again after the time of day has jumped
// back: its run had a lower number than the last one, and all processes ignored it for 30 s,
// presumed it failed and reset the flows of its server.
func TestRunWithEarlierClock(t *testing.T) {
	convey.Convey("A process whose next run has a lower number is a member at once", t, func() {
		c := newTestCluster(1, 2)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.processes[1].self.Run = 900
		c.advance(time.Second)
		c.cutOff(1)
		c.advance(600 * time.Millisecond)
		c.cutOff()
		old := heartbeat{Member: c.processes[1].self, interval: time.Second}
		c.processes[1].self.Run = 800
		c.start(1)
		c.processes[1].roster.Add(addressOf(0), Balancer)
		c.advance(200 * time.Millisecond)
		convey.So(c.status(0, 1).Run, convey.ShouldEqual, 800)
		convey.So(c.status(0, 1).Reachable, convey.ShouldBeTrue)
		convey.Convey("and late heartbeats of the last run are ignored", func() {
			c.processes[0].roster.HandleHeartbeat(old.encode(), c.now)
			convey.So(c.status(0, 1).Run, convey.ShouldEqual, 800)
		})
	})
}

func TestBatchedChanges(t *testing.T) {
	convey.Convey("Members that join in one batch of datagrams cause one change notification", t, func() {
		c := newTestCluster(1, 0)
		for i := 1; i <= 20; i++ {
			h := heartbeat{Member: Member{Name: "new", Role: Agent, Peer: addressOf(i), Run: 1}, interval: time.Second, receivesHeartbeats: true}
			c.processes[0].roster.HandleHeartbeat(h.encode(), c.now)
		}
		c.processes[0].roster.NotifyChanges()
		convey.So(c.processes[0].changes, convey.ShouldEqual, 1)
		convey.So(slices.Collect(c.processes[0].roster.Members()), convey.ShouldHaveLength, 20)
		c.processes[0].roster.NotifyChanges()
		convey.So(c.processes[0].changes, convey.ShouldEqual, 1)
	})
}

// TestChangesNameTheirMembers guards against work that grows with the square of the fleet:
// a change of one member must not make every process go through all others.
func TestChangesNameTheirMembers(t *testing.T) {
	convey.Convey("Given a settled cluster", t, func() {
		c := newTestCluster(2, 6)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(3 * time.Second)
		observer := c.processes[1]
		before := observer.changes

		convey.Convey("nothing is reported while nothing changes", func() {
			c.advance(3 * time.Second)
			convey.So(observer.changes, convey.ShouldEqual, before)
		})
		convey.Convey("a changed state is reported for its member only", func() {
			c.processes[5].self.Report.State = steer.Draining
			c.processes[5].roster.Announce(c.now)
			c.network.Run()
			convey.So(observer.lastChanged, convey.ShouldHaveLength, 1)
			convey.So(observer.lastChanged[0].Peer, convey.ShouldEqual, addressOf(5))
			convey.So(observer.lastChanged[0].Report.State, convey.ShouldEqual, steer.Draining)
		})
		convey.Convey("a member that ended is reported as silent, then removed, and no longer counted", func() {
			report, _ := observer.roster.intervals()
			c.network.Attach(addressOf(5), nil)
			c.processes = append(c.processes[:5], c.processes[6:]...)
			c.advance(removeAfter - 5*time.Second)
			convey.So(observer.lastChanged[0].Silent, convey.ShouldBeTrue)
			convey.So(observer.removed, convey.ShouldBeEmpty)
			c.advance(10 * time.Second)
			convey.So(observer.removed, convey.ShouldHaveLength, 1)
			convey.So(observer.removed[0].Peer, convey.ShouldEqual, addressOf(5))
			convey.So(observer.roster.agents, convey.ShouldEqual, 5)
			convey.So(report, convey.ShouldEqual, minReportInterval)
		})
	})
}

// BenchmarkMassRestart measures the time that a process needs to learn all members of a
// fleet after a restart of everything, a few heartbeats at a time.
func BenchmarkMassRestart(b *testing.B) {
	for _, members := range []int{100, 200, 400} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			const batch = 4
			hellos := make([][]byte, members)
			for i := range hellos {
				h := heartbeat{Member: Member{Name: fmt.Sprintf("agent-%d", i), Domain: "junin", Service: "orders", Role: Agent, Peer: addressOf(i + 1), Run: 1}, interval: time.Second, receivesHeartbeats: true}
				hellos[i] = h.encode()
			}
			for range b.N {
				c := newTestCluster(1, 0)
				for i, hello := range hellos {
					c.processes[0].roster.HandleHeartbeat(hello, c.now)
					if i%batch == 0 {
						c.processes[0].roster.NotifyChanges()
					}
				}
			}
			fmt.Printf("bench roster_mass_restart/%d %.1f us\n", members, float64(b.Elapsed().Microseconds())/float64(b.N))
		})
	}
}

// TestIntroductionsAfterMassRestart guards against a flood of introductions after a
// mass restart, as seen with 300 VMs: each member sends each restarted process an
// introduction with all other members.
func TestIntroductionsAfterMassRestart(t *testing.T) {
	convey.Convey("Given 60 processes that know each other", t, func() {
		const count = 60
		c := newTestCluster(20, 40)
		for _, p := range c.processes[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(3 * time.Second)
		introductions := 0
		c.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
			if passthrough.Kind(b[0]) == passthrough.Introduction {
				introductions++
			}
			return false
		}
		restart := func(i int, named ...int) {
			c.processes[i].self.Run++
			c.start(i)
			for _, j := range named {
				c.processes[i].roster.Add(addressOf(j), 0)
			}
		}
		convey.Convey("processes restarted with the full directory receive few introductions", func() {
			var all []int
			for j := range count {
				all = append(all, j)
			}
			for i := range 10 {
				restart(i, all...)
			}
			c.advance(2 * time.Second)
			convey.So(introductions, convey.ShouldBeLessThan, 10*4*introducers)
			for i := range 10 {
				convey.So(slices.Collect(c.processes[i].roster.Members()), convey.ShouldHaveLength, count-1)
			}
		})
		convey.Convey("a process that knows only a seed learns all members from it", func() {
			restart(7, 0)
			c.advance(2 * time.Second)
			convey.So(slices.Collect(c.processes[7].roster.Members()), convey.ShouldHaveLength, count-1)
		})
		convey.Convey("a process whose directory is incomplete learns the missing members", func() {
			restart(7, 1, 2, 3, 4, 5, 6)
			c.advance(2 * time.Second)
			convey.So(slices.Collect(c.processes[7].roster.Members()), convey.ShouldHaveLength, count-1)
		})
	})
}

// TestIncompleteDirectory guards against an agent that misses another one for up to 15 s after
// its start: it is not listed while its entry has lapsed, and of all members a hash selects
// those that send an introduction unrequested, for one start in fifty none.
func TestIncompleteDirectory(t *testing.T) {
	convey.Convey("Each of 100 processes that start with a directory that lacks an agent learns of it", t, func() {
		const running, starting = 60, 100
		c := newTestCluster(20, running-20+starting)
		for _, p := range c.processes[1:running] {
			p.roster.Add(addressOf(0), Balancer)
		}
		c.advance(3 * time.Second)
		for i := running; i < running+starting; i++ {
			missing := 20 + i%40
			var listed []int
			for j := range running {
				if j != missing {
					listed = append(listed, j)
				}
			}
			c.listAll(i, listed...)
			c.advance(200 * time.Millisecond)
			convey.So(c.status(i, missing), convey.ShouldNotBeNil)
		}
	})
}

func TestNewerVersion(t *testing.T) {
	convey.Convey("A heartbeat announces a newer version", t, func() {
		c := newTestCluster(1, 1)
		c.processes[0].roster.Add(addressOf(1), 0)
		c.advance(time.Second)
		convey.So(c.processes[0].newerVersions, convey.ShouldBeEmpty)
		c.processes[1].self.Version = routes.Revision{Index: 9}
		c.processes[1].roster.Announce(c.now)
		c.network.Run()
		convey.So(c.processes[0].newerVersions, convey.ShouldResemble, []routes.Revision{{Index: 9}})
	})
}

func TestHeartbeatRoundTrip(t *testing.T) {
	convey.Convey("A full heartbeat decodes to the value that was encoded", t, func() {
		h := heartbeat{
			Member: Member{
				Name: "agent-1", Domain: "junin", Service: "orders", Role: Agent, Peer: addressOf(3), Run: 5, Version: routes.Revision{Index: 7},
				ConfirmedAge: 1500 * time.Millisecond,
				Report:       Report{State: steer.Draining, Slots: 2, MeanOpenRequests: 1.25, Flows: 12, Incarnation: 99},
			},
			interval: 250 * time.Millisecond, receivesHeartbeats: true,
		}
		read, err := parseHeartbeat(h.encode())
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, h)
	})
}

func FuzzDatagrams(f *testing.F) {
	h := heartbeat{Member: Member{Name: "a", Domain: "d", Role: Agent, Peer: 1, Run: 1}, interval: time.Second}
	f.Add(h.encode())
	compact := compactHeartbeatOf(&h)
	f.Add(compact.encode())
	f.Add(encodeIntroduction([]introductionEntry{{1, Balancer}, {2, Agent}}))
	f.Add(passthrough.AppendSuspicion(nil, 1, 1))
	f.Add(passthrough.AppendMarker(nil, time.Second))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		c := newTestCluster(1, 0)
		c.processes[0].roster.HandleHeartbeat(b, c.now)
		c.processes[0].roster.HandleCompactHeartbeat(b, c.now)
		c.processes[0].roster.HandleIntroduction(b)
		c.processes[0].roster.HandleSuspicion(b, c.now)
		c.processes[0].roster.HandleMarker(b, c.now)
		c.processes[0].roster.Tick(c.now)
	})
}
