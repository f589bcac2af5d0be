package hedge

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/passthrough"
)

const usual = 10 * time.Millisecond

func flowOf(i int) passthrough.Flow { return passthrough.Flow{Caller: passthrough.Endpoint(i)} }

// measured returns a hedger with 1,000 answered openings, and the time after them.
func measured(limit float64) (*Hedger, time.Duration) {
	h, now := New(limit), time.Second
	for i := range 1000 {
		h.Opened(Opening{Flow: flowOf(-i - 1), Service: "feed", First: 1, Packet: []byte{1}}, now)
		h.Answered(flowOf(-i-1), now+usual)
		now += time.Millisecond
	}
	return h, now
}

// due returns the flows for which second copies are sent to agent 2 at a time.
func due(h *Hedger, now time.Duration) []passthrough.Flow {
	var sent []passthrough.Flow
	h.Due(now, func(o *Opening) passthrough.Endpoint {
		sent = append(sent, o.Flow)
		return 2
	})
	return sent
}

func TestDue(t *testing.T) {
	convey.Convey("Given a service whose openings usually take 10 ms", t, func() {
		h, now := measured(0.05)
		open := func(i int, packet []byte, at time.Duration) {
			h.Opened(Opening{Flow: flowOf(i), Service: "feed", First: 1, Packet: packet}, at)
		}
		convey.Convey("an opening is due after twice that, once", func() {
			open(1, []byte{1}, now)
			convey.So(due(h, now+usual), convey.ShouldBeEmpty)
			convey.So(due(h, now+2*usual+time.Millisecond), convey.ShouldHaveLength, 1)
			open(2, []byte{1}, now)
			convey.So(due(h, now+time.Second), convey.ShouldBeEmpty)
		})
		convey.Convey("openings that were answered, reset or may not be repeated are never due", func() {
			open(1, []byte{1}, now)
			h.Answered(flowOf(1), now)
			open(2, []byte{1}, now)
			convey.So(h.Ended(flowOf(2)), convey.ShouldBeNil)
			open(3, nil, now)
			convey.So(due(h, now+time.Second), convey.ShouldBeEmpty)
		})
		convey.Convey("one whose caller has given up is forgotten", func() {
			open(1, []byte{1}, now)
			convey.So(due(h, now+attemptLimit), convey.ShouldBeEmpty)
			convey.So(h.openings, convey.ShouldBeEmpty)
			convey.So(h.services["feed"].openings, convey.ShouldBeEmpty)
		})
		convey.Convey("one for which no server had a free slot stays due and costs no budget", func() {
			open(1, []byte{1}, now)
			h.Due(now+time.Second, func(*Opening) passthrough.Endpoint { return 0 })
			convey.So(h.Counters().HedgesSent, convey.ShouldEqual, 0)
			convey.So(due(h, now+time.Second), convey.ShouldHaveLength, 1)
		})
		convey.Convey("when nothing is answered any more, the delay stays below four times the usual time", func() {
			for i := range 900 {
				open(i, []byte{1}, now)
			}
			due(h, now+attemptLimit)
			convey.So(due(h, now+attemptLimit), convey.ShouldBeEmpty)
			delay, known := h.services["feed"].latency.delay(now + 2*attemptLimit)
			convey.So(known, convey.ShouldBeTrue)
			convey.So(delay.Seconds(), convey.ShouldAlmostEqual, (maxDelayFactor * usual).Seconds(), usual.Seconds()/10)
		})
	})
	convey.Convey("Nothing is due without measurements, or after they have become too old", t, func() {
		h := New(1)
		h.Opened(Opening{Flow: flowOf(1), Service: "feed", Packet: []byte{1}}, time.Second)
		convey.So(due(h, 2*time.Second), convey.ShouldBeEmpty)
		h, now := measured(1)
		now += windows * windowLength
		h.Opened(Opening{Flow: flowOf(1), Service: "feed", Packet: []byte{1}}, now)
		convey.So(due(h, now+time.Second), convey.ShouldBeEmpty)
	})
	convey.Convey("A limit of 0 gives no hedger", t, func() {
		convey.So(New(0), convey.ShouldBeNil)
	})
}

// TestBudget guards against more extra openings than operators allow when every opening is due.
func TestBudget(t *testing.T) {
	for _, limit := range []float64{0.01, 0.05, 0.3, 1} {
		convey.Convey("In every period the second copies are at most the share of its openings, and one", t, func() {
			h, now := measured(limit)
			sent := []int{0}
			for i := range 1500 {
				h.Opened(Opening{Flow: flowOf(i), Service: "feed", First: 1, Packet: []byte{1}}, now)
				now += time.Millisecond
				sent = append(sent, sent[i]+len(due(h, now)))
			}
			for from := range sent {
				for to := from; to < len(sent); to += 7 {
					if float64(sent[to]-sent[from]) > limit*float64(to-from)+1.001 {
						t.Fatalf("limit %v: %d second copies in %d openings", limit, sent[to]-sent[from], to-from)
					}
				}
			}
			convey.So(sent[len(sent)-1], convey.ShouldBeGreaterThan, 0)
		})
	}
}

func TestHolder(t *testing.T) {
	convey.Convey("Given an opening with a second copy", t, func() {
		h, now := measured(0.05)
		h.Opened(Opening{Flow: flowOf(1), Service: "feed", First: 1, Packet: []byte{1}}, now)
		now += 30 * time.Millisecond
		convey.So(due(h, now), convey.ShouldHaveLength, 1)
		holder := func(answered, at time.Duration) passthrough.Endpoint {
			first, other := h.Holder(h.Answered(flowOf(1), now+answered), now+at)
			convey.So(first+other, convey.ShouldEqual, 3)
			return first
		}
		convey.Convey("an answer at once is from the first server; a retransmission tries the other one", func() {
			convey.So(holder(time.Millisecond, time.Millisecond), convey.ShouldEqual, 1)
			convey.So(holder(201*time.Millisecond, 201*time.Millisecond), convey.ShouldEqual, 2)
		})
		convey.Convey("a later answer is probably from the second one", func() {
			convey.So(holder(usual, usual), convey.ShouldEqual, 2)
		})
		convey.Convey("the holder's report names the loser, once, and counts the outcome", func() {
			convey.So(h.Settled(flowOf(1), 2), convey.ShouldEqual, 1)
			convey.So(h.Settled(flowOf(1), 2), convey.ShouldEqual, 0)
			convey.So(h.Counters(), convey.ShouldResemble, Counters{HedgesSent: 1, HedgesWon: 1})
		})
		convey.Convey("a report of the first one, or of the agent that it forwarded the packet to, is a wasted copy", func() {
			h.Moved(flowOf(1), 7)
			convey.So(h.Settled(flowOf(1), 7), convey.ShouldEqual, 2)
			convey.So(h.Counters(), convey.ShouldResemble, Counters{HedgesSent: 1, HedgesWasted: 1})
		})
		convey.Convey("refusals by both agents do not reset the flow after the caller's answer", func() {
			convey.So(h.Refused(flowOf(1), 1, 0), convey.ShouldBeFalse)
			h.Answered(flowOf(1), now)
			convey.So(h.Refused(flowOf(1), 2, 0), convey.ShouldBeFalse)
		})
		convey.Convey("without a report it is wasted when the caller gives up", func() {
			due(h, now+attemptLimit)
			convey.So(h.Counters().HedgesWasted, convey.ShouldEqual, 1)
		})
	})
}
