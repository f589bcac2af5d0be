package spread_test

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/version/spread"
)

func TestVersionReachesEveryProcess(t *testing.T) {
	convey.Convey("A version reaches watchers, other processes and leaves", t, func() {
		f := newFleet(t)
		f.startMany(2, 4)
		leaf := f.start("server-1", "domain-0", true, func() []spread.Peer { return f.peers()[:2] })
		f.publishText(0)
		eventually(t, "version 1 in force", f.inForce(1))
		eventually(t, "version 1 in force at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 1 })
		convey.So(leaf.spreader.Ready(), convey.ShouldBeTrue)
		f.publishText(1)
		eventually(t, "version 2 in force", f.inForce(2))
		eventually(t, "version 2 in force at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 2 })
		convey.So(leaf.spreader.Current().Config.DomainOut("domain-0"), convey.ShouldBeTrue)
	})
}
