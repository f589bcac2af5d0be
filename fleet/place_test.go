package fleet

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestNextBalancer(t *testing.T) {
	convey.Convey("A further balancer gets a name and an address of its own", t, func() {
		f := &Fleet{network: 16, options: Options{Layout: Layout{Domains: []DomainLayout{{Name: "junin", Balancers: 1}}}}}
		f.place()
		vm, err := f.nextBalancer("junin")
		convey.So(err, convey.ShouldBeNil)
		convey.So(vm.Name, convey.ShouldEqual, "junin-balancer-2")
		convey.So(vm.Control, convey.ShouldNotEqual, f.balancers[0].Control)
		_, err = f.nextBalancer("lima")
		convey.So(err, convey.ShouldNotBeNil)
	})
}
