package passthrough

import (
	"fmt"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestOwners(t *testing.T) {
	convey.Convey("Every flow has two owners if there are several agents, independent of their order", t, func() {
		for _, count := range []int{0, 1, 14, 58} {
			var agents, reversed []Owner
			for i := range count {
				agents = append(agents, Owner{Name: fmt.Sprintf("agent-%d", i), Peer: MakeEndpoint(0x0a000001+uint32(i), 7000)})
				reversed = append([]Owner{agents[i]}, reversed...)
			}
			o, other := NewOwners(agents), NewOwners(reversed)
			for i := range 100 {
				flow := Flow{Caller: MakeEndpoint(0x64400001, uint16(1024+i)), Service: MakeEndpoint(0xc6120001, 443)}
				first, second := o.Pair(flow)
				convey.So(first != 0, convey.ShouldEqual, count > 0)
				convey.So(first != second, convey.ShouldEqual, count > 1)
				a, b := other.Pair(flow)
				convey.So([]Endpoint{a, b}, convey.ShouldResemble, []Endpoint{first, second})
			}
		}
	})
}
