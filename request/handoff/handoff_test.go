package handoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	convey.Convey("Hand-offs are limited to a share of the requests received", t, func() {
		p := NewPicker()
		random := rand.New(rand.NewPCG(1, 1))
		peers := []Peer{{"a", 100}, {"b", 100}}
		now := time.Unix(0, 0)
		handedOff := 0
		const received = 10_000
		for range received {
			p.RecordRequest()
			if _, ok := p.Choose(peers, true, now, random.IntN); ok {
				handedOff++
			}
		}
		convey.So(float64(handedOff), convey.ShouldBeLessThanOrEqualTo, budgetPerRequest*received+budgetBurst)
		convey.So(float64(handedOff), convey.ShouldBeGreaterThan, budgetPerRequest*received*0.9)
		_, ok := p.Choose(peers, false, now, random.IntN)
		convey.So(ok, convey.ShouldBeTrue)
	})
}

func TestChoose(t *testing.T) {
	convey.Convey("The better of two siblings is chosen, except those that are draining or have refused", t, func() {
		p := NewPicker()
		random := rand.New(rand.NewPCG(1, 1))
		peers := []Peer{{"a", 100}, {"b", 10}, {"c", 0}}
		now := time.Unix(100, 0)
		for range 10 {
			chosen, ok := p.Choose(peers, true, now, random.IntN)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(chosen.Name, convey.ShouldEqual, "a")
		}
		p.RecordAccepted("a", 0, now)
		p.RecordAccepted("b", 3, now)
		chosen, _ := p.Choose(peers, true, now, random.IntN)
		convey.So(chosen.Name, convey.ShouldEqual, "b")
		p.RecordRefused("b", now)
		chosen, _ = p.Choose(peers, true, now, random.IntN)
		convey.So(chosen.Name, convey.ShouldEqual, "a")
		p.RecordRefused("a", now)
		_, ok := p.Choose(peers, true, now, random.IntN)
		convey.So(ok, convey.ShouldBeFalse)
		chosen, ok = p.Choose(peers, true, now.Add(initialBackoff), random.IntN)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(chosen.Name, convey.ShouldEqual, "a")
	})
	convey.Convey("Consecutive refusals increase the backoff up to its maximum, and Retain removes state", t, func() {
		p := NewPicker()
		now := time.Unix(100, 0)
		for range 100 {
			p.RecordRefused("a", now)
		}
		convey.So(p.siblings["a"].backoffUntil.Equal(now.Add(maxBackoff)), convey.ShouldBeTrue)
		p.Retain(nil)
		convey.So(len(p.siblings), convey.ShouldEqual, 0)
	})
}
