package spread

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotbank/event"
	"bergamotbank/version/publish"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// checkProcess compares a process with the naive version: the highest version
// ever learned is current, and versions in force only rise.
func checkProcess(t *rapid.T, m *model, p *modelProcess) {
	var highest uint64
	for _, version := range p.learned {
		highest = max(highest, version)
	}
	if got := p.machine.version(); got != highest {
		t.Fatalf("%s: version %d, the naive one has %d", p.peer.Name, got, highest)
	}
	if !slices.IsSorted(p.applied) {
		t.Fatalf("%s: went back: %v", p.peer.Name, p.applied)
	}
	if highest > m.stored.Root.Version {
		t.Fatalf("%s: version %d was never accepted", p.peer.Name, highest)
	}
}

// TestMachinesAgainstNaive drives machines through publishing, outages, cuts
// and restarts.
func TestMachinesAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "each"), 5*time.Millisecond)
		pick := func() *modelProcess { return rapid.SampledFrom(m.processes).Draw(t, "process") }
		steps := map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				if !m.storeUp {
					t.Skip("refused")
				}
				m.publish()
			},
			"publish, hand over, store down": func(t *rapid.T) {
				if !m.storeUp {
					t.Skip("refused")
				}
				v := m.publish()
				pick().learn(v, true)
				m.storeUp = false
			},
			"store down": func(*rapid.T) { m.storeUp = false },
			"store up":   func(*rapid.T) { m.storeUp = true },
			"cut":        func(*rapid.T) { pick().cut = true },
			"heal":       func(*rapid.T) { pick().cut = false },
			"restart":    func(*rapid.T) { pick().restart() },
			"pause": func(t *rapid.T) {
				pick().pausedUntil = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			},
			"reads fail":  func(*rapid.T) { m.failReads = 2 },
			"short while": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond) },
			"long while":  func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, p := range m.processes {
					checkProcess(t, m, p)
				}
			},
		}
		t.Repeat(steps)
		settle(t, m)
	})
}

// settle heals the network and checks that the highest version held by a
// process reaches all without the store, and the store's with it.
func settle(t *rapid.T, m *model) {
	var highest uint64
	for _, p := range m.processes {
		p.cut = false
		highest = max(highest, p.machine.version())
	}
	m.storeUp = false
	m.advance(15 * time.Second)
	for _, p := range m.processes {
		if p.machine.version() != highest {
			t.Fatalf("%s: version %d without the store, %d is held", p.peer.Name, p.machine.version(), highest)
		}
	}
	m.storeUp = true
	m.advance(30 * time.Second)
	for _, p := range m.processes {
		checkProcess(t, m, p)
		if p.machine.version() != m.stored.Root.Version || !p.machine.status(m.now).synchronized {
			t.Fatalf("%s: version %d with the store, %d is stored", p.peer.Name, p.machine.version(), m.stored.Root.Version)
		}
		if m.stored.Root.Version > 0 && p.applied[len(p.applied)-1] != m.stored.Root.Version {
			t.Fatalf("%s: in force %v", p.peer.Name, p.applied)
		}
	}
}

// TestElectionAgainstNaive compares the election with sorting all processes of
// the failure domain by rank.
func TestElectionAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Peer
		for i := range rapid.IntRange(1, 30).Draw(t, "count") {
			all = append(all, Peer{Name: fmt.Sprint("b-", i), Domain: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")})
		}
		self := rapid.SampledFrom(all).Draw(t, "self")
		var ranked []Peer
		for _, p := range all {
			if p.Domain == self.Domain {
				ranked = append(ranked, p)
			}
		}
		slices.SortFunc(ranked, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(b.Name, a.Name))
		})
		want := slices.Contains(ranked[:min(watchersPerDomain, len(ranked))], self)
		m := newMachine(machineOptions{self: self})
		m.know(all)
		if got := isWatcher(self, m.near); got != want {
			t.Fatalf("watcher %v, the naive one says %v", got, want)
		}
	})
}

// TestHalfOfThePeersBehind publishes while half of the processes are cut off.
func TestHalfOfThePeersBehind(t *testing.T) {
	m := newModel(1, 3, 4, 3*time.Millisecond)
	m.advance(5 * time.Second)
	for i, p := range m.processes {
		p.cut = i%2 == 0
	}
	m.publish()
	m.advance(5 * time.Second)
	if got := m.inForce(1); got != len(m.processes)/2 {
		t.Fatalf("%d processes have the version during the cut", got)
	}
	for _, p := range m.processes {
		p.cut = false
	}
	m.advance(3 * time.Second)
	if got := m.inForce(1); got != len(m.processes) {
		t.Fatalf("%d of %d processes have the version 3 s after the cut", got, len(m.processes))
	}
}

// TestWatchersCutFromTheStore publishes while the watchers alone do not reach
// the store.
func TestWatchersCutFromTheStore(t *testing.T) {
	m := newModel(1, 1, 6, 3*time.Millisecond)
	m.advance(5 * time.Second)
	for _, p := range m.processes {
		p.storeCut = p.watching
	}
	m.publish()
	m.advance(storePatience + 5*time.Second)
	if got := m.inForce(1); got != len(m.processes) {
		t.Fatalf("%d of %d processes have the version", got, len(m.processes))
	}
}

// TestIsolatedProcess checks that a process that reaches neither store nor peers
// keeps its version, says so, and catches up by itself.
func TestIsolatedProcess(t *testing.T) {
	m := newModel(1, 2, 3, 3*time.Millisecond)
	m.publish()
	m.advance(5 * time.Second)
	p := m.processes[0]
	p.cut = true
	m.publish()
	m.advance(20 * time.Second)
	if told := p.countEvents(event.StoreUnreachable); told != 1 || p.applied[len(p.applied)-1] != 1 {
		t.Fatalf("isolated: told %d times, in force %v", told, p.applied)
	}
	p.cut = false
	m.advance(5 * time.Second)
	if told := p.countEvents(event.StoreReachable); told != 1 || p.applied[len(p.applied)-1] != 2 {
		t.Fatalf("back: told %d times, in force %v", told, p.applied)
	}
}

func (p *modelProcess) countEvents(kind event.Kind) int {
	count := 0
	for _, e := range p.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// TestPausedProcess checks that a process which was paused is not ready until it
// has asked several peers again.
func TestPausedProcess(t *testing.T) {
	m := newModel(1, 2, 3, 3*time.Millisecond)
	m.publish()
	m.advance(5 * time.Second)
	p := m.processes[0]
	resumed := m.now.Add(10 * time.Second)
	actions := p.machine.tick(resumed, m.peers(), p.contact)
	asked := 0
	for _, a := range actions {
		if a.kind == actAsk {
			asked++
		}
	}
	if p.machine.status(resumed).synchronized || asked != startQuestions {
		t.Fatalf("resumed, ready %v, %d questions", p.machine.status(resumed).synchronized, asked)
	}
	if p.machine.version() != 1 {
		t.Fatalf("version %d after the pause", p.machine.version())
	}
}

// TestOneFetchPerVersion checks that notices of one version lead to one fetch.
func TestOneFetchPerVersion(t *testing.T) {
	m := newMachine(machineOptions{self: Peer{Name: "a"}, random: newModel(1, 1, 1, time.Millisecond).random})
	now := time.Unix(1000, 0)
	b, c := Peer{Name: "b"}, Peer{Name: "c"}
	if got := m.hinted(now, b, 3); len(got) != 1 || got[0].peer != b {
		t.Fatalf("first notice: %v", got)
	}
	if got := m.hinted(now, c, 3); len(got) != 0 {
		t.Fatalf("second notice: %v", got)
	}
	got := m.failed(now, b)
	if len(got) != 1 || got[0].kind != actAsk || got[0].peer != c {
		t.Fatalf("after the failure: %v", got)
	}
	m.learned(now, publish.Version{Root: publish.Root{Version: 3}}, false)
	if got := m.hinted(now, b, 3); len(got) != 0 {
		t.Fatalf("notice of the version held: %v", got)
	}
}

// TestOlderAndForeignVersions checks that an answer that comes late changes
// nothing, and that another content under the same number is refused.
func TestOlderAndForeignVersions(t *testing.T) {
	m := newMachine(machineOptions{self: Peer{Name: "a"}, random: newModel(1, 1, 1, time.Millisecond).random})
	now := time.Unix(1000, 0)
	m.learned(now, publish.Version{Root: publish.Root{Version: 3}}, true)
	if got := m.learned(now, publish.Version{Root: publish.Root{Version: 2}}, true); len(got) != 0 || m.version() != 3 {
		t.Fatalf("older version: %v, now at %d", got, m.version())
	}
	foreign := publish.Root{Version: 3, Sections: []publish.SectionRef{{Name: "domains"}}}
	got := m.learned(now, publish.Version{Root: foreign}, false)
	if len(got) != 1 || got[0].event.Kind != event.VersionRejected || len(m.current.Root.Sections) != 0 {
		t.Fatalf("foreign content: %v", got)
	}
}
