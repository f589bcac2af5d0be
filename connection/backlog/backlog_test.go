package backlog

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"bergamotbank/connection/passthrough"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func flowOf(i int) passthrough.Flow {
	return passthrough.Flow{Caller: passthrough.MakeEndpoint(uint32(i), 1)}
}

// full is the load of a server without room, idle that of one with room.
var (
	full = Load{Slots: 2, ServiceTime: 30 * time.Millisecond, Requests: 8}
	idle = Load{Slots: 2, ServiceTime: 30 * time.Millisecond}
)

// naive is a reference model of the order: an unsorted list.
type naive struct {
	entries []*Entry
	// passedOver is the number of entries of others forwarded in a row while a priority
	// waited.
	passedOver map[uint8]int
}

// first returns the entry of a priority that goes first: timely ones before late ones, then by
// deadline, then by arrival.
func (n *naive) first(priority uint8, b *Backlog, now time.Duration) *Entry {
	var best *Entry
	late := func(e *Entry) int {
		if e.Late || now > b.latestTimely(e, &idle) {
			return 1
		}
		return 0
	}
	for _, e := range n.entries {
		if e.Priority == priority && (best == nil || cmp.Or(late(e)-late(best), cmp.Compare(e.deadline(), best.deadline())) < 0) {
			best = e
		}
	}
	return best
}

// TestOrderMatchesNaiveModel guards against entries that are forwarded out of their order,
// starve, are lost or are forwarded twice.
func TestOrderMatchesNaiveModel(t *testing.T) {
	convey.Convey("Order, fairness and emptiness of the queue are those of a list that is searched", t, func() {
		rapid.Check(t, func(rt *rapid.T) {
			b, model, now := New(), &naive{passedOver: map[uint8]int{}}, time.Second
			next := func() {
				want := map[uint8]*Entry{}
				for p := range uint8(3) {
					if e := model.first(p, b, now); e != nil {
						want[p] = e
					}
				}
				e, expired := b.Next(idle, now)
				if (e == nil) != (len(want) == 0) {
					rt.Fatalf("next is %v with %d waiting", e, len(model.entries))
				}
				if e == nil {
					return
				}
				if e != want[e.Priority] {
					rt.Fatalf("%v is not the first of its priority", e.Flow)
				}
				if expired != (now > b.latestUseful(e)) {
					rt.Fatal("forwarded after the caller gave up, or the reverse")
				}
				for p := range uint8(3) {
					switch {
					case p == e.Priority || want[p] == nil:
						model.passedOver[p] = 0
					case p < e.Priority && model.passedOver[e.Priority] < int(1/timelyShare)-1:
						rt.Fatalf("priority %d overtaken by %d without a claim", p, e.Priority)
					default:
						model.passedOver[p]++
					}
					if model.passedOver[p] > 2*int(1/lowerPriorityShare) {
						rt.Fatalf("priority %d starves", p)
					}
				}
				model.entries = slices.DeleteFunc(model.entries, func(x *Entry) bool { return x == e })
			}
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				flow := flowOf(rapid.IntRange(1, 30).Draw(rt, "flow"))
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0, 1:
					o := Opening{
						Flow: flow, Priority: rapid.Uint8Range(0, 2).Draw(rt, "priority"), Copy: rapid.Uint32Range(0, 2).Draw(rt, "copy"),
						Target: time.Duration(rapid.IntRange(100, 900).Draw(rt, "target")) * time.Millisecond,
					}
					known := b.Contains(flow)
					if known {
						// A copy of a packet has the route of the first one.
						o.Priority, o.Target = b.entries[flow].Priority, b.entries[flow].Target
						model.entries = slices.DeleteFunc(model.entries, func(e *Entry) bool { return e.Flow == flow })
					}
					v := b.Arrive(o, full, now)
					if v.Decision == Forward || v.Refreshed != known {
						rt.Fatalf("decision %v, refreshed %v", v.Decision, v.Refreshed)
					}
					if v.Decision == Wait {
						model.entries = append(model.entries, b.entries[flow])
					}
				case 2:
					if e := b.Remove(flow); e != nil {
						model.entries = slices.DeleteFunc(model.entries, func(x *Entry) bool { return x == e })
					}
				case 3:
					next()
				case 4:
					now += time.Duration(rapid.IntRange(0, 100).Draw(rt, "elapsed")) * time.Millisecond
				}
				if b.Len() != len(model.entries) {
					rt.Fatalf("%d waiting, want %d", b.Len(), len(model.entries))
				}
			}
			for b.Len() > 0 {
				next()
			}
			if len(model.entries) != 0 || len(b.entries) != 0 {
				rt.Fatal("entries are left")
			}
		})
	})
}

// TestBound checks the decision on arrival in a table of cases. It guards against hops that
// cost more than the wait, and against callers that are held until they give up.
func TestBound(t *testing.T) {
	const target = 300 * time.Millisecond
	other := passthrough.MakeEndpoint(1, 1)
	cases := []struct {
		name      string
		waiting   int
		copy      uint32
		alternate passthrough.Endpoint
		load      Load
		want      Decision
	}{
		{"room", 0, 0, other, idle, Forward},
		{"a wait of a service time, with an alternate", 0, 0, other, Load{Slots: 2, ServiceTime: 30 * time.Millisecond, Requests: 4}, Wait},
		{"a long wait with an alternate", 8, 0, other, full, PassOn},
		{"a long wait without an alternate", 8, 0, 0, full, Wait},
		{"a wait beyond the patience of the caller", 200, 0, 0, full, Refuse},
		{"the last copy behind others", 30, 2, 0, full, Refuse},
		{"the cold rate is exhausted", 0, 0, 0, Load{Slots: 2, ServiceTime: 30 * time.Millisecond, Interval: 100 * time.Millisecond, Blocked: true}, Wait},
		{"a cold rate with a long queue", 9, 0, 0, Load{Slots: 2, ServiceTime: 30 * time.Millisecond, Interval: 500 * time.Millisecond, Blocked: true}, Refuse},
	}
	for _, c := range cases {
		convey.Convey("On arrival: "+c.name, t, func() {
			b := New()
			for i := range c.waiting {
				e := &Entry{Opening: Opening{Flow: flowOf(i), Target: target}, FirstSentAt: 900 * time.Millisecond}
				b.insert(e)
			}
			o := Opening{Flow: flowOf(1000), Copy: c.copy, Target: target, Frame: passthrough.Frame{Alternate: c.alternate}}
			convey.So(b.Arrive(o, c.load, time.Second).Decision, convey.ShouldEqual, c.want)
		})
	}
}

// TestLateEntriesAreBounded guards against a queue that fills with entries that cannot be in
// time while those that can take the whole capacity.
func TestLateEntriesAreBounded(t *testing.T) {
	convey.Convey("Late entries wait only if they are expected to be served before their callers give up", t, func() {
		b := New()
		for i := range 1000 {
			b.Arrive(Opening{Flow: flowOf(i), Target: 100 * time.Millisecond}, full, time.Second)
		}
		// 1.4 s at one request in 15 ms.
		convey.So(b.Len(), convey.ShouldBeLessThan, 1400/15)
		waiting := b.Len()
		convey.So(b.Expire(full, time.Second+attemptLimit), convey.ShouldHaveLength, waiting)
		convey.So(b.Expire(full, time.Second+attemptLimit), convey.ShouldBeEmpty)
		convey.So(b.Len(), convey.ShouldEqual, 0)
	})
}

// TestLateHigherPriority guards against timely entries that starve behind late ones of a higher
// priority, and against orders that starve because they are late.
func TestLateHigherPriority(t *testing.T) {
	convey.Convey("Late orders and timely queries alternate, and neither waits for the other when it may not be forwarded", t, func() {
		b, now := New(), time.Second
		for i := range 20 {
			late := &Entry{Opening: Opening{Flow: flowOf(i), Priority: 1, Target: 300 * time.Millisecond}, FirstSentAt: now - 500*time.Millisecond, Late: true}
			timely := &Entry{Opening: Opening{Flow: flowOf(100 + i), Priority: 2, Target: 250 * time.Millisecond}, FirstSentAt: now}
			b.insert(late)
			b.insert(timely)
		}
		orders := 0
		for range 20 {
			e, _ := b.Next(idle, now)
			if e.Priority == 1 {
				orders++
			}
		}
		convey.So(orders, convey.ShouldEqual, 10)
		// Timely orders take the capacity, so late ones get only idle slots.
		for range 100 {
			b.level(1).timelyRate.add(now)
		}
		busy := Load{Slots: 2, ServiceTime: 30 * time.Millisecond, Requests: 2}
		for range 10 {
			e, _ := b.Next(busy, now)
			convey.So(e.Priority, convey.ShouldEqual, 2)
		}
		e, _ := b.Next(busy, now)
		convey.So(e, convey.ShouldBeNil)
		e, _ = b.Next(idle, now)
		convey.So(e.Priority, convey.ShouldEqual, 1)
	})
}

// TestReservations guards against slots that stay reserved for callers that have opened their
// flows elsewhere.
func TestReservations(t *testing.T) {
	convey.Convey("A reservation ends with the first request, with the flow, or when the caller can no longer follow up", t, func() {
		b := New()
		for i := range 20 {
			b.Reserve(flowOf(i), 0)
			b.Started(flowOf(i), 0, 10*time.Millisecond)
		}
		convey.So(b.Reserved(10*time.Millisecond), convey.ShouldEqual, 0)
		b.Reserve(flowOf(1), time.Second)
		b.Reserve(flowOf(2), time.Second)
		b.Release(flowOf(1))
		convey.So(b.Reserved(time.Second+minReservation-1), convey.ShouldEqual, 1)
		// A copy of the opening packet renews the reservation.
		b.Reserve(flowOf(2), time.Second+minReservation-1)
		convey.So(b.Reserved(time.Second+minReservation), convey.ShouldEqual, 1)
		convey.So(b.Reserved(time.Second+2*minReservation), convey.ShouldEqual, 0)
		// Two slots, and two thirds of a request during a handshake with its deviation.
		convey.So(b.limit(&idle), convey.ShouldEqual, 4)
		unknown := Load{Slots: 2}
		convey.So(b.limit(&unknown), convey.ShouldEqual, 4)
		slow := Load{Slots: 2, ServiceTime: 300 * time.Millisecond}
		convey.So(b.limit(&slow), convey.ShouldEqual, 3)
	})
}

// BenchmarkQueue1000 measures an arrival and the departure of the first entry with 1,000 entries
// waiting.
func BenchmarkQueue1000(b *testing.B) {
	queue := New()
	now := time.Second
	add := func(i int) {
		e := &Entry{Opening: Opening{Flow: flowOf(i), Priority: uint8(i % 2), Target: time.Hour}, FirstSentAt: now}
		queue.insert(e)
	}
	for i := range 1000 {
		add(i)
	}
	datagram := make([]byte, 80)
	// The service time is so short that every arrival is let in.
	busy := Load{Slots: 2, ServiceTime: time.Microsecond, Requests: 8}
	free := Load{Slots: 2, ServiceTime: time.Microsecond}
	for i := 1000; b.Loop(); i++ {
		now += time.Microsecond
		if v := queue.Arrive(Opening{Flow: flowOf(i), Priority: uint8(i % 2), Target: time.Hour, Datagram: datagram}, busy, now); v.Decision != Wait {
			b.Fatal(v.Decision)
		}
		if e, _ := queue.Next(free, now); e == nil {
			b.Fatal("none")
		}
	}
	// An iteration is an arrival and a departure.
	fmt.Printf("bench backlog_operation_at_1000 %.0f ns/operation\n", float64(b.Elapsed().Nanoseconds())/float64(2*b.N))
}
