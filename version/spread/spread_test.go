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
		f.publishTestConfig(0)
		eventually(t, "version 1 active", f.allActive(1))
		eventually(t, "version 1 active at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 1 })
		eventually(t, "leaf ready", leaf.spreader.Ready)
		convey.So(leaf.spreader.ActiveVersion(), convey.ShouldEqual, 1)
		f.publishTestConfig(1)
		eventually(t, "version 2 active", f.allActive(2))
		eventually(t, "version 2 active at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 2 })
		convey.So(leaf.spreader.Current().Config.DomainOut("domain-0"), convey.ShouldBeTrue)
	})
}
