package fleet

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestNewBalancer(t *testing.T) {
	convey.Convey("An additional balancer gets a unique name and address", t, func() {
		f := &Fleet{network: 16, options: Options{Layout: Layout{Domains: []DomainLayout{{Name: "junin", Balancers: 1}}}}}
		f.assignAddresses()
		vm, err := f.newBalancer("junin")
		convey.So(err, convey.ShouldBeNil)
		convey.So(vm.Name, convey.ShouldEqual, "junin-balancer-2")
		convey.So(vm.Control, convey.ShouldNotEqual, f.balancers[0].Control)
		_, err = f.newBalancer("lima")
		convey.So(err, convey.ShouldNotBeNil)
	})
}

func TestTopology(t *testing.T) {
	convey.Convey("Callers and failure domains have separate delays", t, func() {
		f := &Fleet{network: 16, options: Options{Layout: Layout{
			DomainDelayMS: 5, CallerDelayMS: 1, Domains: []DomainLayout{{Name: "sapporo"}},
		}}}
		text := f.topology()
		convey.So(text, convey.ShouldStartWith, "[default]\ndelay = \"5ms\"\n")
		convey.So(text, convey.ShouldContainSubstring, "from = \"callers\"\nto = \"sapporo\"\nboth = true\ndelay = \"1ms\"")
		convey.So(text, convey.ShouldContainSubstring, "network = \"127.16.1.0/24\"")
	})
}
