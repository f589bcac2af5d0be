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
		for since := DefaultTick; since < peerDiscoveryTimeout; since += DefaultTick {
			convey.So(applies(m.tick(now.Add(since), []Peer{self}, now)), convey.ShouldEqual, 0)
		}
		convey.So(applies(m.tick(now.Add(peerDiscoveryTimeout), []Peer{self}, now)), convey.ShouldEqual, 1)
	})
}

// TestHeldUpStartCallsNoStore guards the store when many processes start together on a busy
// machine: one that was held up for most of the second for which it waits for peers went on
// without any, watched the store and read the version from it.
func TestHeldUpStartCallsNoStore(t *testing.T) {
	convey.Convey("Given a process that is held up for 0.9 s after its start", t, func() {
		now := time.Unix(1000, 0)
		self, watchers := Peer{Name: "b", Domain: "d"}, []Peer{{Name: "a", Domain: "d"}, {Name: "c", Domain: "d"}}
		convey.So(isWatcher(self, watchers), convey.ShouldBeFalse)
		m := newMachine(machineOptions{self: self, random: rand.New(rand.NewPCG(1, 1))})
		m.tick(now, nil, time.Time{})
		now = now.Add(DefaultTick / 2)
		m.tick(now, nil, time.Time{})
		now = now.Add(900 * time.Millisecond)
		convey.Convey("it does not call the store before it has had time to discover its peers", func() {
			for _, a := range m.tick(now, nil, time.Time{}) {
				convey.So(a.kind, convey.ShouldNotBeIn, actStartWatch, actReadStore)
			}
			for _, a := range m.tick(now.Add(DefaultTick/10), watchers, time.Time{}) {
				convey.So(a.kind, convey.ShouldNotEqual, actStartWatch)
			}
		})
		convey.Convey("it watches the store if it finds no peers within a second of its own time", func() {
			watches := 0
			for i := range peerDiscoveryTimeout / DefaultTick {
				for _, a := range m.tick(now.Add(i*DefaultTick), nil, time.Time{}) {
					if a.kind == actStartWatch {
						watches++
					}
				}
			}
			convey.So(watches, convey.ShouldEqual, 1)
		})
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
