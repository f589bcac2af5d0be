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
	var verdicts []admission
	for range count {
		verdicts = append(verdicts, c.arrive(now))
	}
	return verdicts
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
			"warm: runs on its slots, queues, then falls over", limits, warm,
			[]admission{admitRun, admitRun, admitWait, admitWait, admitFall, admitReset},
			StateCrashed,
		},
		{
			"cold: bears one and falls over under full load", limits, start,
			[]admission{admitRun, admitWait, admitFall, admitReset},
			StateCrashed,
		},
		{
			"shedding: refuses before it falls over", shedding, warm,
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
	convey.Convey("A fallen server comes back cold and then warms up", t, func() {
		c := newCapacity(limits, start)
		arrivals(c, 3, start)
		convey.So(c.state(start.Add(time.Second)), convey.ShouldEqual, StateCold)
		convey.So(c.state(start.Add(6*time.Second)), convey.ShouldEqual, StateWarm)
		convey.So(c.running+c.waiting, convey.ShouldEqual, 0)
	})
	convey.Convey("The end of a run starts waiting requests, as many as the state has room for", t, func() {
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
