package spread_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/version/spread"
)

// maxTimeToActive is the maximum time from the acceptance of a version until it is
// active in all processes.
const maxTimeToActive = 5 * time.Second

func TestVersionReachesEveryProcess(t *testing.T) {
	convey.Convey("A version reaches watchers, other processes and leaves", t, func() {
		f := newFleet(t)
		f.startMany(2, 4)
		leaf := f.start("server-1", "domain-0", true, func() []spread.Peer { return f.peers()[:2] })
		f.publishTestConfig(0)
		published := time.Now()
		eventually(t, "version 1 active", f.allActive(1))
		eventually(t, "version 1 active at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 1 })
		// Readiness also needs the response of a synchronized peer, which may come later.
		eventually(t, "leaf ready", leaf.spreader.Ready)
		convey.So(time.Since(published), convey.ShouldBeLessThanOrEqualTo, maxTimeToActive)
		convey.So(leaf.spreader.ActiveVersion(), convey.ShouldEqual, 1)
		f.publishTestConfig(1)
		eventually(t, "version 2 active", f.allActive(2))
		eventually(t, "version 2 active at the leaf", func() bool { return leaf.spreader.ActiveVersion() == 2 })
		convey.So(leaf.spreader.Current().Config.DomainOut("domain-0"), convey.ShouldBeTrue)
	})
}
