package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/version/publish"
)

func TestVersionLearnedBeforeStartupQueries(t *testing.T) {
	convey.Convey("A version learned before a startup without peers is applied", t, func() {
		now := time.Unix(1000, 0)
		self := Peer{Name: "a", Domain: "d"}
		m := newMachine(machineOptions{self: self, random: rand.New(rand.NewPCG(1, 1))})
		var version publish.Version
		version.Root.Version = 1
		m.tick(now, []Peer{self}, time.Time{})
		m.handleStoreRead(now, 1)
		convey.So(applies(m.handleVersion(now, version, true)), convey.ShouldEqual, 0)
		convey.So(applies(m.tick(now.Add(peerDiscoveryTimeout), []Peer{self}, now)), convey.ShouldEqual, 1)
	})
}

// applies counts the actions that apply a version.
func applies(actions []action) int {
	count := 0
	for _, a := range actions {
		if a.kind == actApply {
			count++
		}
	}
	return count
}
