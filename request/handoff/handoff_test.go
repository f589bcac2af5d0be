package handoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestBudget(t *testing.T) {
	convey.Convey("Hand-offs stay a share of the requests received", t, func() {
		p := NewPicker()
		random := rand.New(rand.NewPCG(1, 1))
		peers := []Peer{{"a", 100}, {"b", 100}}
		now := time.Unix(0, 0)
		handed := 0
		const received = 10_000
		for range received {
			p.RecordRequest()
			if _, ok := p.Choose(peers, true, now, random.IntN); ok {
				handed++
			}
		}
		convey.So(float64(handed), convey.ShouldBeLessThanOrEqualTo, budgetShare*received+budgetBurst)
		convey.So(float64(handed), convey.ShouldBeGreaterThan, budgetShare*received*0.9)
		_, ok := p.Choose(peers, false, now, random.IntN)
		convey.So(ok, convey.ShouldBeTrue)
	})
}

func TestChoice(t *testing.T) {
	convey.Convey("The better of two is chosen; leaving and refusing siblings are left alone", t, func() {
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
		chosen, ok = p.Choose(peers, true, now.Add(refusalPenalty), random.IntN)
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(chosen.Name, convey.ShouldEqual, "a")
	})
	convey.Convey("Refusals in a row lengthen the penalty up to its bound, and state is forgotten", t, func() {
		p := NewPicker()
		now := time.Unix(100, 0)
		for range 100 {
			p.RecordRefused("a", now)
		}
		convey.So(p.known["a"].blockedUntil.Equal(now.Add(maxPenalty)), convey.ShouldBeTrue)
		p.Retain(nil)
		convey.So(len(p.known), convey.ShouldEqual, 0)
	})
}
