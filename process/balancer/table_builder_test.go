package balancer

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/process/routing"
)

func TestServiceInputsExcludeOutDomains(t *testing.T) {
	convey.Convey("Servers of a domain that is out of service are neither current nor previous owners", t, func() {
		c, view := benchFleet(26, 2)
		c.Domains[3].Out = true
		for _, input := range serviceInputs(&routing.Tracker{}, c, view) {
			convey.So(input.OutDomains, convey.ShouldResemble, []string{c.Domains[3].Name})
			for _, server := range input.Servers {
				convey.So(server.Domain, convey.ShouldNotEqual, c.Domains[3].Name)
			}
		}
	})
	convey.Convey("Servers of services that are not configured are ignored", t, func() {
		c, view := benchFleet(26, 2)
		c.Services = c.Services[:1]
		inputs := serviceInputs(&routing.Tracker{}, c, view)
		convey.So(len(inputs), convey.ShouldEqual, 1)
		convey.So(len(inputs[0].Servers), convey.ShouldEqual, 13)
	})
}
