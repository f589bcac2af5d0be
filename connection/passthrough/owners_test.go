package passthrough

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// numberedOwners returns owners with the given number of agents, in reverse order if
// reversed is set.
func numberedOwners(count int, reversed bool) *Owners {
	o := &Owners{}
	for i := range count {
		if reversed {
			i = count - 1 - i
		}
		o.Add(fmt.Sprintf("agent-%d", i), numberedPeer(i))
	}
	return o
}

func numberedPeer(i int) Endpoint { return MakeEndpoint(0x0a000001+uint32(i), 7000) }

func numberedFlow(i int) Flow {
	return Flow{Caller: MakeEndpoint(0x64400001+uint32(i/60000), uint16(1024+i%60000)), Service: MakeEndpoint(0xc6120001, 443)}
}

func TestOwners(t *testing.T) {
	convey.Convey("Every flow has two owners if there are several agents, independent of their order", t, func() {
		for _, count := range []int{0, 1, 2, 14, 58} {
			o, other := numberedOwners(count, false), numberedOwners(count, true)
			for i := range 100 {
				flow := numberedFlow(i)
				first, second := o.Pair(flow)
				convey.So(first != 0, convey.ShouldEqual, count > 0)
				convey.So(first != second, convey.ShouldEqual, count > 1)
				a, b := other.Pair(flow)
				convey.So([]Endpoint{a, b}, convey.ShouldResemble, []Endpoint{first, second})
			}
		}
	})
	convey.Convey("Agents own similar shares of the flows", t, func() {
		const agents, flows = 58, 58_000
		o := numberedOwners(agents, false)
		owned := map[Endpoint]int{}
		for i := range flows {
			first, second := o.Pair(numberedFlow(i))
			owned[first]++
			owned[second]++
		}
		for i := range agents {
			convey.So(owned[numberedPeer(i)], convey.ShouldBeBetween, 2*flows/agents*8/10, 2*flows/agents*12/10)
		}
	})
	convey.Convey("An agent that leaves and returns changes only the owners of its own flows", t, func() {
		const leaving = 7
		before, o := numberedOwners(30, false), numberedOwners(30, false)
		o.Remove(numberedPeer(leaving))
		for i := range 1000 {
			first, second := before.Pair(numberedFlow(i))
			a, b := o.Pair(numberedFlow(i))
			convey.So(a, convey.ShouldNotEqual, numberedPeer(leaving))
			convey.So(b, convey.ShouldNotEqual, numberedPeer(leaving))
			if first != numberedPeer(leaving) && second != numberedPeer(leaving) {
				convey.So([]Endpoint{a, b}, convey.ShouldResemble, []Endpoint{first, second})
			}
		}
		o.Add(fmt.Sprintf("agent-%d", leaving), numberedPeer(leaving))
		o.Add(fmt.Sprintf("agent-%d", leaving), numberedPeer(leaving))
		for i := range 1000 {
			first, second := before.Pair(numberedFlow(i))
			a, b := o.Pair(numberedFlow(i))
			convey.So([]Endpoint{a, b}, convey.ShouldResemble, []Endpoint{first, second})
		}
	})
}

// BenchmarkOwners measures the time to find the owners of a flow, by the number of agents.
func BenchmarkOwners(b *testing.B) {
	for _, agents := range []int{58, 136, 1000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			o := numberedOwners(agents, false)
			for i := range b.N {
				o.Pair(numberedFlow(i % 1000))
			}
			fmt.Printf("bench owners/%d %.0f ns\n", agents, float64(b.Elapsed().Nanoseconds())/float64(b.N))
		})
	}
}
