package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
)

// peer is a process of a test deployment.
type peer struct {
	self    Member
	roster  *Roster
	changes int
	hints   []uint64
}

// town is a deployment of rosters in virtual time.
type town struct {
	network *passthroughtest.Network
	peers   []*peer
	now     time.Duration
}

func addressOf(i int) passthrough.Endpoint {
	return passthrough.MakeEndpoint(0x0a000001+uint32(i), 7000)
}

// newTown returns the given numbers of balancers and agents that know nobody.
func newTown(balancers, agents int) *town {
	w := &town{network: passthroughtest.NewNetwork(), now: time.Second}
	for i := range balancers + agents {
		p := &peer{self: Member{Name: fmt.Sprintf("p-%d", i), Domain: "junin", Role: Balancer, Peer: addressOf(i), Run: 1, Version: 1}}
		if i >= balancers {
			p.self.Role, p.self.Service, p.self.Report = Agent, "orders", Report{State: steer.Ready, Slots: 2}
		}
		w.peers = append(w.peers, p)
		w.start(i)
	}
	return w
}

// start gives a process an empty roster.
func (w *town) start(i int) {
	p := w.peers[i]
	p.roster = New(Options{
		Self:        func() Member { return p.self },
		Sender:      w.network,
		OnNewerVersion:   func(revision uint64, _ passthrough.Endpoint) { p.hints = append(p.hints, revision) },
		OnConfirmed: func(time.Duration) {},
		OnChange:    func() { p.changes++ },
	})
	w.network.Attach(addressOf(i), func(b []byte) {
		switch passthrough.Kind(b[0]) {
		case passthrough.Introduction:
			p.roster.HandleIntroduction(b)
		case passthrough.CompactHeartbeat:
			p.roster.HandleCompactHeartbeat(b, w.now)
		default:
			p.roster.HandleHeartbeat(b, w.now)
		}
		p.roster.NotifyChanges()
	})
}

// pass lets time pass at the pace of ticks.
func (w *town) pass(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += 50 * time.Millisecond
		for _, p := range w.peers {
			p.roster.Tick(w.now)
		}
		w.network.Run()
	}
}

// status returns what one process believes of another, nil when it knows nothing.
func (w *town) status(of, about int) *Status {
	for _, status := range w.peers[of].roster.Members() {
		if status.Peer == addressOf(about) {
			return &status
		}
	}
	return nil
}

func TestOneSeedLeadsToAll(t *testing.T) {
	convey.Convey("Processes that know only one balancer find each other", t, func() {
		w := newTown(3, 5)
		for _, p := range w.peers[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		w.pass(time.Second)
		for i := range w.peers {
			convey.So(w.peers[i].roster.DiscoveryComplete(), convey.ShouldBeTrue)
			for j := range w.peers {
				if i != j {
					convey.So(w.status(i, j), convey.ShouldNotBeNil)
					convey.So(w.status(i, j).Reachable, convey.ShouldBeTrue)
				}
			}
		}
	})
}

func TestDeadSeed(t *testing.T) {
	convey.Convey("An address that never answers is given up, and then the view is settled", t, func() {
		w := newTown(1, 1)
		w.peers[1].roster.Add(addressOf(0), 0)
		w.peers[1].roster.Add(addressOf(77), 0)
		w.pass(time.Second)
		convey.So(w.peers[1].roster.DiscoveryComplete(), convey.ShouldBeFalse)
		w.pass(contactTries * contactInterval)
		convey.So(w.peers[1].roster.DiscoveryComplete(), convey.ShouldBeTrue)
		convey.So(w.status(1, 0).Reachable, convey.ShouldBeTrue)
	})
}

func TestSettledAgents(t *testing.T) {
	convey.Convey("Given an agent that was told of two balancers and another agent", t, func() {
		w := newTown(1, 2)
		self := w.peers[1].roster
		self.Add(addressOf(0), Balancer)
		self.Add(addressOf(77), Balancer)
		self.Add(addressOf(2), Agent)

		convey.Convey("the view is settled without the balancer that is slow to start", func() {
			w.pass(200 * time.Millisecond)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeTrue)
		})
		convey.Convey("it is not settled while no balancer has introduced the others", func() {
			w.network.Attach(addressOf(0), nil)
			w.pass(time.Second)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
			w.pass(contactTries * contactInterval)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeTrue)
		})
		convey.Convey("it is not settled while an agent has not answered", func() {
			self.Add(addressOf(78), Agent)
			w.pass(time.Second)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
		})
		convey.Convey("it is not settled while an agent that the balancer introduced has not answered", func() {
			w.peers[0].roster.HandleHeartbeat((&hello{Member: Member{Name: "late", Domain: "junin", Role: Agent, Peer: addressOf(79), Run: 1}, interval: time.Second}).encode(), w.now)
			w.pass(200 * time.Millisecond)
			convey.So(self.DiscoveryComplete(), convey.ShouldBeFalse)
		})
	})
}

func TestSilence(t *testing.T) {
	convey.Convey("A silent agent is passed over after a second, counts as lost after two, and comes back", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.pass(time.Second)
		w.network.Drop = func([]byte, passthrough.Endpoint) bool { return true }
		w.pass(time.Second)
		convey.So(w.status(0, 1).Reachable, convey.ShouldBeFalse)
		convey.So(w.status(0, 1).Silent, convey.ShouldBeFalse)
		w.pass(time.Second)
		convey.So(w.status(0, 1).Silent, convey.ShouldBeTrue)
		w.network.Drop = nil
		w.pass(1200 * time.Millisecond)
		convey.So(w.status(0, 1).Reachable, convey.ShouldBeTrue)
		convey.So(w.status(0, 1).Silent, convey.ShouldBeFalse)
	})
	convey.Convey("A member that nobody hears of is forgotten", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.pass(time.Second)
		w.network.Attach(addressOf(0), nil)
		w.pass(forgetAfter + time.Second)
		convey.So(w.status(0, 1), convey.ShouldBeNil)
	})
}

// sender returns who sent a heartbeat, 0 for another datagram.
func sender(b []byte) passthrough.Endpoint {
	switch passthrough.Kind(b[0]) {
	case passthrough.Hello:
		if h, err := parseHello(b); err == nil {
			return h.Peer
		}
	case passthrough.CompactHeartbeat:
		if b, err := parseBeat(b); err == nil {
			return b.peer
		}
	default:
	}
	return 0
}

// TestSilenceInALargeDeployment covers a finding of the sweep: with the intervals of
// heartbeats the time grew in which a dead agent was missed.
func TestSilenceInALargeDeployment(t *testing.T) {
	convey.Convey("Given a balancer and so many agents that heartbeats are seconds apart", t, func() {
		w := newTown(2, 200)
		for _, p := range w.peers[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		w.pass(8 * time.Second)
		convey.Convey("a dead agent is passed over and counts as lost as soon as in a small one", func() {
			w.network.Drop = func(b []byte, to passthrough.Endpoint) bool { return to == addressOf(5) || sender(b) == addressOf(5) }
			w.pass(3200 * time.Millisecond)
			convey.So(w.status(0, 5).Reachable, convey.ShouldBeFalse)
			convey.So(w.status(0, 5).Silent, convey.ShouldBeTrue)
			convey.So(w.status(0, 6).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("one that answers questions is neither, though its own heartbeats are late", func() {
			h := hello{Member: w.peers[5].self, interval: 250 * time.Millisecond, heard: true}
			w.peers[0].roster.HandleHeartbeat(h.encode(), w.now)
			w.pass(1500 * time.Millisecond)
			convey.So(w.status(0, 5).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("nobody is asked as long as heartbeats come", func() {
			asked := 0
			w.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
				if (passthrough.Kind(b[0]) == passthrough.CompactHeartbeat && b[3]&asksFlag != 0) || (passthrough.Kind(b[0]) == passthrough.Hello && b[4]&asksFlag != 0) {
					asked++
				}
				return false
			}
			w.pass(6 * time.Second)
			convey.So(asked, convey.ShouldEqual, 0)
		})
	})
}

func TestOneWay(t *testing.T) {
	convey.Convey("An agent that does not hear a balancer is not reachable for it", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.pass(time.Second)
		w.network.Drop = func(_ []byte, to passthrough.Endpoint) bool { return to == addressOf(1) }
		w.pass(freshIntervals*greetInterval + time.Second)
		convey.So(w.status(0, 1).Reachable, convey.ShouldBeFalse)
		convey.So(w.status(0, 1).Silent, convey.ShouldBeFalse)
	})
}

func TestOwnStall(t *testing.T) {
	convey.Convey("A process that stood still does not take the others for lost", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.pass(time.Second)
		w.now += 10 * time.Second
		w.peers[0].roster.Tick(w.now)
		convey.So(w.status(0, 1).Silent, convey.ShouldBeFalse)
		convey.So(w.status(0, 1).Reachable, convey.ShouldBeTrue)
		convey.So(w.peers[0].roster.Stalls(), convey.ShouldEqual, 1)
	})
}

func TestRestart(t *testing.T) {
	convey.Convey("A restarted process is known again at once, and heartbeats of its former run are ignored", t, func() {
		w := newTown(1, 2)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.peers[0].roster.Add(addressOf(2), 0)
		w.pass(time.Second)
		old := hello{Member: w.peers[1].self, interval: time.Second}
		w.peers[1].self.Run = 2
		w.start(1)
		w.peers[1].roster.Add(addressOf(0), 0)
		w.pass(200 * time.Millisecond)
		convey.So(w.status(0, 1).Run, convey.ShouldEqual, 2)
		convey.So(w.status(1, 2).Reachable, convey.ShouldBeTrue)
		w.peers[0].roster.HandleHeartbeat(old.encode(), w.now)
		convey.So(w.status(0, 1).Run, convey.ShouldEqual, 2)
	})
}

func TestChangesOfABatch(t *testing.T) {
	convey.Convey("Members that join in one batch of datagrams change the view once", t, func() {
		w := newTown(1, 0)
		for i := 1; i <= 20; i++ {
			h := hello{Member: Member{Name: "new", Role: Agent, Peer: addressOf(i), Run: 1}, interval: time.Second, heard: true}
			w.peers[0].roster.HandleHeartbeat(h.encode(), w.now)
		}
		w.peers[0].roster.NotifyChanges()
		convey.So(w.peers[0].changes, convey.ShouldEqual, 1)
		convey.So(w.peers[0].roster.Members(), convey.ShouldHaveLength, 20)
		w.peers[0].roster.NotifyChanges()
		convey.So(w.peers[0].changes, convey.ShouldEqual, 1)
	})
}

// TestIntroductionsOfAMassRestart covers a finding of the sweep: at 300 VMs each
// restarted process was introduced to all others by all others.
func TestIntroductionsOfAMassRestart(t *testing.T) {
	convey.Convey("Given 60 processes that know each other", t, func() {
		const count = 60
		w := newTown(20, 40)
		for _, p := range w.peers[1:] {
			p.roster.Add(addressOf(0), Balancer)
		}
		w.pass(3 * time.Second)
		introductions := 0
		w.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
			if passthrough.Kind(b[0]) == passthrough.Introduction {
				introductions++
			}
			return false
		}
		restart := func(i int, named ...int) {
			w.peers[i].self.Run++
			w.start(i)
			for _, j := range named {
				w.peers[i].roster.Add(addressOf(j), 0)
			}
		}
		convey.Convey("one that starts again with the directory gets few introductions", func() {
			var all []int
			for j := range count {
				all = append(all, j)
			}
			for i := range 10 {
				restart(i, all...)
			}
			w.pass(2 * time.Second)
			convey.So(introductions, convey.ShouldBeLessThan, 10*4*introducers)
			for i := range 10 {
				convey.So(w.peers[i].roster.Members(), convey.ShouldHaveLength, count-1)
			}
		})
		convey.Convey("one that knows only a seed is introduced by it", func() {
			restart(7, 0)
			w.pass(2 * time.Second)
			convey.So(w.peers[7].roster.Members(), convey.ShouldHaveLength, count-1)
		})
		convey.Convey("one whose directory lacks members hears of them", func() {
			restart(7, 1, 2, 3, 4, 5, 6)
			w.pass(2 * time.Second)
			convey.So(w.peers[7].roster.Members(), convey.ShouldHaveLength, count-1)
		})
	})
}

func TestNewerVersion(t *testing.T) {
	convey.Convey("A heartbeat tells of a newer version", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), 0)
		w.pass(time.Second)
		convey.So(w.peers[0].hints, convey.ShouldBeEmpty)
		w.peers[1].self.Version = 9
		w.peers[1].roster.Announce(w.now)
		w.network.Run()
		convey.So(w.peers[0].hints, convey.ShouldResemble, []uint64{9})
	})
}

func TestHelloIsKeptOverTheWire(t *testing.T) {
	convey.Convey("A heartbeat is read as it was written", t, func() {
		h := hello{
			Member: Member{
				Name: "agent-1", Domain: "junin", Service: "orders", Role: Agent, Peer: addressOf(3), Run: 5, Version: 7,
				ConfirmedAge: 1500 * time.Millisecond,
				Report:    Report{State: steer.Draining, Slots: 2, MeanOpenRequests: 1.25, Flows: 12, Incarnation: 99},
			},
			interval: 250 * time.Millisecond, heard: true,
		}
		read, err := parseHello(h.encode())
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, h)
	})
}

func FuzzDatagrams(f *testing.F) {
	h := hello{Member: Member{Name: "a", Domain: "d", Role: Agent, Peer: 1, Run: 1}, interval: time.Second}
	f.Add(h.encode())
	short := beatOf(&h)
	f.Add(short.encode())
	f.Add(encodeIntroduction([]introduced{{1, Balancer}, {2, Agent}}))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if len(b) == 0 {
			return
		}
		w := newTown(1, 0)
		w.peers[0].roster.HandleHeartbeat(b, w.now)
		w.peers[0].roster.HandleCompactHeartbeat(b, w.now)
		w.peers[0].roster.HandleIntroduction(b)
		w.peers[0].roster.Tick(w.now)
	})
}
