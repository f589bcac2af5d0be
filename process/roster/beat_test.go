package roster

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
)

func TestBeatIsKeptOverTheWire(t *testing.T) {
	convey.Convey("A beat is read as it was written, in its size", t, func() {
		b := beat{
			state: steer.Failing, heard: true, run: 7, peer: addressOf(3), version: 1 << 40, interval: 250 * time.Millisecond,
			confirmed: 1500 * time.Millisecond, work: 1.25, flows: 812, incarnation: 99,
		}
		encoded := b.encode()
		convey.So(encoded, convey.ShouldHaveLength, beatSize)
		read, err := parseBeat(encoded)
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, b)
	})
}

// wholeLost drops the given number of whole heartbeats of a process, all others pass.
func (w *town) wholeLost(from, count int) {
	w.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
		if passthrough.Kind(b[0]) != passthrough.Hello || sender(b) != addressOf(from) || count == 0 {
			return false
		}
		count--
		return true
	}
}

func TestBeats(t *testing.T) {
	convey.Convey("Given a balancer and an agent that know each other", t, func() {
		w := newTown(1, 1)
		w.peers[0].roster.Add(addressOf(1), Agent)
		w.pass(4 * time.Second)
		whole, beats := 0, 0
		count := func(b []byte, _ passthrough.Endpoint) bool {
			switch passthrough.Kind(b[0]) {
			case passthrough.Hello:
				whole++
			case passthrough.CompactHeartbeat:
				beats++
			default:
			}
			return false
		}

		convey.Convey("most heartbeats are beats, and they carry load, state, version and age", func() {
			w.network.Drop = count
			w.peers[1].self.Report.MeanOpenRequests, w.peers[1].self.Report.Flows = 1.5, 12
			w.peers[1].self.Report.State, w.peers[1].self.Version = steer.Draining, 3
			w.pass(4 * time.Second)
			convey.So(beats, convey.ShouldBeGreaterThan, 5*whole)
			convey.So(w.status(0, 1).Report, convey.ShouldResemble, Report{State: steer.Draining, Slots: 2, MeanOpenRequests: 1.5, Flows: 12})
			convey.So(w.status(0, 1).Version, convey.ShouldEqual, 3)
			convey.So(w.peers[0].hints, convey.ShouldContain, uint64(3))
		})
		convey.Convey("a question in a heartbeat of either form is answered at once", func() {
			answers := 0
			w.network.Drop = func(b []byte, _ passthrough.Endpoint) bool {
				if sender(b) == addressOf(1) {
					answers++
				}
				return false
			}
			h := hello{Member: w.peers[0].self, interval: time.Second, heard: true, asks: true}
			w.peers[1].roster.HandleHeartbeat(h.encode(), w.now)
			w.network.Run()
			convey.So(answers, convey.ShouldEqual, 1)
			short := beatOf(&h)
			w.peers[1].roster.HandleCompactHeartbeat(short.encode(), w.now)
			w.network.Run()
			convey.So(answers, convey.ShouldEqual, 2)
			h.asks = false
			w.peers[1].roster.HandleHeartbeat(h.encode(), w.now)
			w.network.Run()
			convey.So(answers, convey.ShouldEqual, 2)
		})
		convey.Convey("a change of the service comes whole, also when the first ones are lost", func() {
			w.wholeLost(1, 2)
			w.peers[1].self.Service = "catalogue"
			w.pass(1100 * time.Millisecond)
			convey.So(w.status(0, 1).Service, convey.ShouldEqual, "catalogue")
		})
		convey.Convey("a restarted agent is known although its first whole heartbeats are lost", func() {
			w.peers[1].self.Run, w.peers[1].self.Service = 2, "catalogue"
			w.start(1)
			w.peers[1].roster.Add(addressOf(0), Balancer)
			w.wholeLost(1, 3)
			w.pass(2 * time.Second)
			convey.So(w.status(0, 1).Run, convey.ShouldEqual, 2)
			convey.So(w.status(0, 1).Service, convey.ShouldEqual, "catalogue")
			convey.So(w.status(0, 1).Reachable, convey.ShouldBeTrue)
		})
		convey.Convey("beats of a run that is not known do not keep the former run alive", func() {
			b := beat{run: 9, peer: addressOf(1), interval: time.Second, heard: true}
			w.network.Attach(addressOf(1), nil)
			w.peers[0].roster.HandleCompactHeartbeat(b.encode(), w.now)
			w.peers[0].roster.Tick(w.now)
			convey.So(w.status(0, 1).Reachable, convey.ShouldBeFalse)
		})
		convey.Convey("a process that forgot the agent asks it to tell everything", func() {
			w.start(0)
			w.pass(1500 * time.Millisecond)
			convey.So(w.status(0, 1), convey.ShouldNotBeNil)
			convey.So(w.status(0, 1).Service, convey.ShouldEqual, "orders")
		})
	})
}
