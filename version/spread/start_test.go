package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/version/publish"
)

func TestVersionLearnedBeforeTheFirstQuestions(t *testing.T) {
	convey.Convey("A version learned before a start without questions is put in force", t, func() {
		now := time.Unix(1000, 0)
		self := Peer{Name: "a", Domain: "d"}
		m := newMachine(machineOptions{self: self, random: rand.New(rand.NewPCG(1, 1))})
		var version publish.Version
		version.Root.Version = 1
		m.tick(now, []Peer{self}, time.Time{})
		m.storeRead(now, 1)
		convey.So(applies(m.learned(now, version, true)), convey.ShouldEqual, 0)
		convey.So(applies(m.tick(now.Add(peersPatience), []Peer{self}, now)), convey.ShouldEqual, 1)
	})
}

// applies counts the actions that put a version in force.
func applies(actions []action) int {
	count := 0
	for _, a := range actions {
		if a.kind == actApply {
			count++
		}
	}
	return count
}
