package endpoint_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestAnswersReachTheCaller(t *testing.T) {
	convey.Convey("Callers' streams through two balancers get all bytes back", t, func() {
		n := newNetwork(t, 2)
		agents := n.newAgents(3)
		n.steerAll(agents, servers(agents...))
		caller := n.newEndpoint("caller")
		for range 20 {
			s, err := n.open(caller)
			convey.So(err, convey.ShouldBeNil)
			convey.So(s.echo(100_000), convey.ShouldBeNil)
			convey.So(s.Close(), convey.ShouldBeNil)
		}
	})
}
