package lifecycle

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/request/limit"
)

var start = time.Unix(1_000_000, 0)

func kinds(actions []Action) []ActionKind {
	list := make([]ActionKind, 0, len(actions))
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func TestAdmission(t *testing.T) {
	deadline := start.Add(10 * time.Second)
	convey.Convey("Requests start within the limit, are queued by deadline, and are refused if the queue is full", t, func() {
		c := NewController(1, 100, start)
		convey.So(kinds(c.Arrive(1, deadline, start)), convey.ShouldResemble, []ActionKind{ActionStart})
		for id := ID(2); id < 2+queuePerSlot; id++ {
			convey.So(c.Arrive(id, deadline.Add(-time.Duration(id)*time.Millisecond), start), convey.ShouldBeEmpty)
		}
		refused := c.Arrive(99, deadline, start)
		convey.So(refused[0].Reason, convey.ShouldEqual, errkind.Overloaded)
		next := c.Finish(limit.Sample{Latency: time.Millisecond}, start.Add(time.Millisecond))
		convey.So(next[0].ID, convey.ShouldEqual, 1+queuePerSlot)
	})
	convey.Convey("A request that cannot finish in time is refused on arrival or while it is queued", t, func() {
		c := NewController(1, 100, start)
		c.Arrive(1, deadline, start)
		now := start.Add(time.Second)
		c.Finish(limit.Sample{Latency: time.Second}, now)
		c.Arrive(2, now.Add(5*time.Second), now)
		late := c.Arrive(3, now.Add(1500*time.Millisecond), now)
		convey.So(late[0].Reason, convey.ShouldEqual, errkind.DeadlineTooClose)
		convey.So(c.Arrive(4, now.Add(2500*time.Millisecond), now), convey.ShouldBeEmpty)
		expired := c.Tick(now.Add(2 * time.Second))
		convey.So(expired[0].ID, convey.ShouldEqual, 4)
		convey.So(expired[0].Reason, convey.ShouldEqual, errkind.DeadlineTooClose)
	})
	convey.Convey("A drain refuses new requests immediately and queued ones after drainGrace", t, func() {
		c := NewController(1, 100, start)
		c.Arrive(1, deadline, start)
		c.Arrive(2, deadline, start)
		c.Arrive(3, deadline, start)
		convey.So(kinds(c.Drain(start)), convey.ShouldResemble, []ActionKind{ActionAnnounce})
		convey.So(c.Arrive(4, deadline, start)[0].Reason, convey.ShouldEqual, errkind.Draining)
		started := c.Finish(limit.Sample{Latency: time.Second}, start.Add(time.Second))
		convey.So(started[0].ID, convey.ShouldEqual, 2)
		refused := c.Tick(start.Add(drainGrace + time.Millisecond))
		convey.So(refused[0].ID, convey.ShouldEqual, 3)
		convey.So(refused[0].Reason, convey.ShouldEqual, errkind.Draining)
	})
	convey.Convey("A stream releases its slot and still counts as open", t, func() {
		c := NewController(1, 2, start)
		c.Arrive(1, deadline, start)
		c.Arrive(2, deadline, start)
		started := c.StartStream(limit.Sample{Latency: time.Millisecond}, start)
		convey.So(started[0].ID, convey.ShouldEqual, 2)
		convey.So(c.Open(), convey.ShouldEqual, 2)
		convey.So(c.Arrive(3, deadline, start)[0].Reason, convey.ShouldEqual, errkind.Overloaded)
		c.FinishStream(limit.Sample{}, start)
		convey.So(c.Open(), convey.ShouldEqual, 1)
	})
	convey.Convey("A request handed off by a sibling starts immediately or is refused", t, func() {
		c := NewController(1, 100, start)
		convey.So(kinds(c.ArriveWithoutQueueing(1, deadline, start)), convey.ShouldResemble, []ActionKind{ActionStart})
		refused := c.ArriveWithoutQueueing(2, deadline, start)
		convey.So(refused[0].Reason, convey.ShouldEqual, errkind.Overloaded)
		c.Finish(limit.Sample{Latency: time.Millisecond}, start)
		convey.So(kinds(c.ArriveWithoutQueueing(3, deadline, start)), convey.ShouldResemble, []ActionKind{ActionStart})
	})
	convey.Convey("A canceled request is removed from the queue and never starts", t, func() {
		c := NewController(1, 100, start)
		c.Arrive(1, deadline, start)
		c.Arrive(2, deadline, start)
		queued, _ := c.Cancel(2, start)
		convey.So(queued, convey.ShouldBeTrue)
		convey.So(c.Finish(limit.Sample{Latency: time.Millisecond}, start), convey.ShouldBeEmpty)
		convey.So(c.Open(), convey.ShouldEqual, 0)
	})
}
