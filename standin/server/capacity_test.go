package server

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var (
	start  = time.Unix(1000, 0)
	limits = Limits{Slots: 2, Queue: 2, ColdSlots: 1, ColdQueue: 1, ColdFor: 5 * time.Second, CrashedFor: time.Second}
)

func arrivals(c *capacity, count int, now time.Time) []admission {
	var decisions []admission
	for range count {
		decisions = append(decisions, c.admit(now))
	}
	return decisions
}

func TestCapacity(t *testing.T) {
	shedding := limits
	shedding.ShedAbove = 3
	warm := start.Add(5 * time.Second)
	cases := []struct {
		name   string
		limits Limits
		now    time.Time
		want   []admission
		state  State
	}{
		{
			"warm: runs on its slots, queues, then crashes", limits, warm,
			[]admission{admitRun, admitRun, admitWait, admitWait, admitCrash, admitReset},
			StateCrashed,
		},
		{
			"cold: runs one request and crashes under full load", limits, start,
			[]admission{admitRun, admitWait, admitCrash, admitReset},
			StateCrashed,
		},
		{
			"shedding: rejects before it crashes", shedding, warm,
			[]admission{admitRun, admitRun, admitWait, admitShed, admitShed},
			StateWarm,
		},
	}
	for _, c := range cases {
		convey.Convey("A server "+c.name, t, func() {
			capacity := newCapacity(c.limits, start)
			convey.So(arrivals(capacity, len(c.want), c.now), convey.ShouldResemble, c.want)
			convey.So(capacity.state(c.now), convey.ShouldEqual, c.state)
		})
	}
	convey.Convey("A crashed server restarts cold and then becomes warm", t, func() {
		c := newCapacity(limits, start)
		arrivals(c, 3, start)
		convey.So(c.state(start.Add(time.Second)), convey.ShouldEqual, StateCold)
		convey.So(c.state(start.Add(6*time.Second)), convey.ShouldEqual, StateWarm)
		convey.So(c.running+c.waiting, convey.ShouldEqual, 0)
	})
	convey.Convey("The end of an execution starts waiting requests, as many as the state has free slots for", t, func() {
		c := newCapacity(limits, start)
		arrivals(c, 2, start)
		convey.So(c.finish(start), convey.ShouldEqual, 1)
		arrivals(c, 1, start)
		arrivals(c, 1, warm)
		convey.So(c.finish(warm), convey.ShouldEqual, 2)
		convey.So(c.running, convey.ShouldEqual, 2)
		convey.So(c.waiting, convey.ShouldEqual, 0)
	})
}
