package link

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/standin/fault"
)

func TestSchedule(t *testing.T) {
	now := time.Unix(1000, 0)
	pair := Pair{From: netip.MustParseAddrPort("127.0.1.1:1"), To: netip.MustParseAddrPort("127.0.1.2:1")}
	convey.Convey("A link without delay forwards packets immediately", t, func() {
		convey.So(NewSchedule(1).Due(&Link{LossRate: 0.5}, pair, now).IsZero(), convey.ShouldBeTrue)
	})
	convey.Convey("Jitter keeps the order between two addresses", t, func() {
		s := NewSchedule(1)
		link := &Link{Delay: fault.Duration(3 * time.Millisecond), Jitter: fault.Duration(2 * time.Millisecond)}
		last := now
		for range 100 {
			due := s.Due(link, pair, now)
			convey.So(due, convey.ShouldHappenOnOrBetween, now.Add(3*time.Millisecond), now.Add(5*time.Millisecond))
			convey.So(due, convey.ShouldHappenOnOrAfter, last)
			last = due
		}
	})
	convey.Convey("The configured share of packets is reordered", t, func() {
		s := NewSchedule(1)
		link := &Link{ReorderRate: 0.1}
		reordered := 0
		for range 1000 {
			if s.Due(link, pair, now).After(now) {
				reordered++
			}
		}
		convey.So(reordered, convey.ShouldBeBetween, 70, 130)
	})
}

func TestDelayQueue(t *testing.T) {
	convey.Convey("Packets are sent in order of due time, then of arrival", t, func() {
		now := time.Unix(1000, 0)
		var sent []byte
		q := NewQueue(func(packets []*DelayedPacket) {
			for _, p := range packets {
				sent = append(sent, p.Payload...)
			}
		}, func() {})
		for i, milliseconds := range []int{5, 1, 1, 9} {
			q.add(&DelayedPacket{Due: now.Add(time.Duration(milliseconds) * time.Millisecond), Payload: []byte{byte('a' + i)}})
		}
		convey.So(q.flush(now), convey.ShouldEqual, time.Millisecond)
		convey.So(q.flush(now.Add(5*time.Millisecond)), convey.ShouldEqual, 4*time.Millisecond)
		convey.So(string(sent), convey.ShouldEqual, "bca")
	})
	convey.Convey("A full queue drops packets and reports each drop", t, func() {
		overflow := 0
		q := NewQueue(func([]*DelayedPacket) {}, func() { overflow++ })
		for range MaxQueuedPackets + 3 {
			q.add(&DelayedPacket{})
		}
		convey.So(overflow, convey.ShouldEqual, 3)
	})
}
