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

// checkProcess compares a process with the reference model: the current version is
// the highest version ever received, and active versions only increase.
func checkProcess(t *rapid.T, m *simulation, p *simProcess) {
	var highest uint64
	for _, version := range p.learned {
		highest = max(highest, version)
	}
	if got := p.machine.version(); got != highest {
		t.Fatalf("%s: version %d, the reference model has %d", p.peer.Name, got, highest)
	}
	if !slices.IsSorted(p.applied) {
		t.Fatalf("%s: applied versions are not sorted: %v", p.peer.Name, p.applied)
	}
	if highest > m.stored.Root.Version {
		t.Fatalf("%s: version %d was never accepted", p.peer.Name, highest)
	}
}

// TestMachinesMatchReferenceModel runs state machines through random publications,
// store outages, network partitions, pauses and restarts.
func TestMachinesMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "each"), 5*time.Millisecond)
		pick := func() *simProcess { return rapid.SampledFrom(m.processes).Draw(t, "process") }
		steps := map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				if !m.storeUp {
					t.Skip("refused")
				}
				m.publish()
			},
			"publish, offer, store down": func(t *rapid.T) {
				if !m.storeUp {
					t.Skip("refused")
				}
				v := m.publish()
				pick().learn(v, true)
				m.storeUp = false
			},
			"store down": func(*rapid.T) { m.storeUp = false },
			"store up":   func(*rapid.T) { m.storeUp = true },
			"disconnect": func(*rapid.T) { pick().partitioned = true },
			"heal":       func(*rapid.T) { pick().partitioned = false },
			"restart":    func(*rapid.T) { pick().restart() },
			"pause": func(t *rapid.T) {
				pick().pausedUntil = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			},
			"reads fail": func(*rapid.T) { m.failingReads = 2 },
			"short wait": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond) },
			"long wait":  func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for _, p := range m.processes {
					checkProcess(t, m, p)
				}
			},
		}
		t.Repeat(steps)
		checkConvergence(t, m)
	})
}

// checkConvergence heals the network partitions and checks that all processes reach
// the highest version of any process without the store, and then the version in the
// store.
func checkConvergence(t *rapid.T, m *simulation) {
	var highest uint64
	for _, p := range m.processes {
		p.partitioned = false
		highest = max(highest, p.machine.version())
	}
	m.storeUp = false
	m.advance(15 * time.Second)
	for _, p := range m.processes {
		if p.machine.version() != highest {
			t.Fatalf("%s: version %d without the store, want the highest version %d", p.peer.Name, p.machine.version(), highest)
		}
	}
	m.storeUp = true
	m.advance(30 * time.Second)
	for _, p := range m.processes {
		checkProcess(t, m, p)
		if p.machine.version() != m.stored.Root.Version || !p.machine.status(m.now).synchronized {
			t.Fatalf("%s: version %d with the store, want the stored version %d", p.peer.Name, p.machine.version(), m.stored.Root.Version)
		}
		if m.stored.Root.Version > 0 && p.applied[len(p.applied)-1] != m.stored.Root.Version {
			t.Fatalf("%s: applied versions %v", p.peer.Name, p.applied)
		}
	}
}

// TestElectionMatchesSorting compares isWatcher with a sort of all processes of the
// failure domain by rank.
func TestElectionMatchesSorting(t *testing.T) {
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
			return cmp.Or(cmp.Compare(watcherRank(b), watcherRank(a)), cmp.Compare(b.Name, a.Name))
		})
		want := slices.Contains(ranked[:min(watchersPerDomain, len(ranked))], self)
		m := newMachine(machineOptions{self: self})
		m.setPeers(all)
		if got := isWatcher(self, m.localPeers); got != want {
			t.Fatalf("isWatcher = %v, want %v", got, want)
		}
	})
}

// TestHalfOfTheProcessesPartitioned publishes while half of the processes reach
// neither the store nor any peer.
func TestHalfOfTheProcessesPartitioned(t *testing.T) {
	m := newSimulation(1, 3, 4, 3*time.Millisecond)
	m.advance(5 * time.Second)
	for i, p := range m.processes {
		p.partitioned = i%2 == 0
	}
	m.publish()
	m.advance(5 * time.Second)
	if got := m.activeCount(1); got != len(m.processes)/2 {
		t.Fatalf("%d processes have the version during the partition", got)
	}
	for _, p := range m.processes {
		p.partitioned = false
	}
	m.advance(3 * time.Second)
	if got := m.activeCount(1); got != len(m.processes) {
		t.Fatalf("%d of %d processes have the version 3 s after the partition", got, len(m.processes))
	}
}

// TestWatchersPartitionedFromTheStore publishes while only the watchers cannot reach
// the store.
func TestWatchersPartitionedFromTheStore(t *testing.T) {
	m := newSimulation(1, 1, 6, 3*time.Millisecond)
	m.advance(5 * time.Second)
	for _, p := range m.processes {
		p.storePartitioned = p.watching
	}
	m.publish()
	m.advance(storeContactTimeout + 5*time.Second)
	if got := m.activeCount(1); got != len(m.processes) {
		t.Fatalf("%d of %d processes have the version", got, len(m.processes))
	}
}

// TestIsolatedProcess checks that a process that reaches neither the store nor any
// peer keeps its version, records one event, and catches up once it is reconnected.
func TestIsolatedProcess(t *testing.T) {
	m := newSimulation(1, 2, 3, 3*time.Millisecond)
	m.publish()
	m.advance(5 * time.Second)
	p := m.processes[0]
	p.partitioned = true
	m.publish()
	m.advance(20 * time.Second)
	if count := p.countEvents(event.StoreUnreachable); count != 1 || p.applied[len(p.applied)-1] != 1 {
		t.Fatalf("isolated: %d events, applied versions %v", count, p.applied)
	}
	p.partitioned = false
	m.advance(5 * time.Second)
	if count := p.countEvents(event.StoreReachable); count != 1 || p.applied[len(p.applied)-1] != 2 {
		t.Fatalf("reconnected: %d events, applied versions %v", count, p.applied)
	}
}

func (p *simProcess) countEvents(kind event.Kind) int {
	count := 0
	for _, e := range p.events {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

// TestPausedProcess checks that a process that was paused is not ready until it has
// repeated its startup queries.
func TestPausedProcess(t *testing.T) {
	m := newSimulation(1, 2, 3, 3*time.Millisecond)
	m.publish()
	m.advance(5 * time.Second)
	p := m.processes[0]
	resumed := m.now.Add(10 * time.Second)
	actions := p.machine.tick(resumed, m.peers(), p.contact)
	queries := 0
	for _, a := range actions {
		if a.kind == actQueryPeer {
			queries++
		}
	}
	if p.machine.status(resumed).synchronized || queries != startupQueries {
		t.Fatalf("resumed: synchronized %v, %d queries", p.machine.status(resumed).synchronized, queries)
	}
	if p.machine.version() != 1 {
		t.Fatalf("version %d after the pause", p.machine.version())
	}
}

// TestOneFetchPerVersion checks that notifications of a version from several peers
// lead to one fetch, and that another peer is queried only if the fetch fails.
func TestOneFetchPerVersion(t *testing.T) {
	m := newMachine(machineOptions{self: Peer{Name: "a"}, random: newSimulation(1, 1, 1, time.Millisecond).random})
	now := time.Unix(1000, 0)
	b, c := Peer{Name: "b"}, Peer{Name: "c"}
	if got := m.handlePeerVersion(now, b, 3); len(got) != 1 || got[0].peer != b {
		t.Fatalf("first notification: %v", got)
	}
	if got := m.handlePeerVersion(now, c, 3); len(got) != 0 {
		t.Fatalf("second notification: %v", got)
	}
	got := m.handleQueryFailure(now, b)
	if len(got) != 1 || got[0].kind != actQueryPeer || got[0].peer != c {
		t.Fatalf("after the failure: %v", got)
	}
	m.handleVersion(now, publish.Version{Root: publish.Root{Version: 3}}, false)
	if got := m.handlePeerVersion(now, b, 3); len(got) != 0 {
		t.Fatalf("notification of the current version: %v", got)
	}
}

// TestOlderAndConflictingVersions checks that an older version is ignored, since a
// response may arrive late, and that different content with the number of the current
// version is rejected.
func TestOlderAndConflictingVersions(t *testing.T) {
	m := newMachine(machineOptions{self: Peer{Name: "a"}, random: newSimulation(1, 1, 1, time.Millisecond).random})
	now := time.Unix(1000, 0)
	m.handleVersion(now, publish.Version{Root: publish.Root{Version: 3}}, true)
	if got := m.handleVersion(now, publish.Version{Root: publish.Root{Version: 2}}, true); len(got) != 0 || m.version() != 3 {
		t.Fatalf("older version: %v, now at %d", got, m.version())
	}
	conflicting := publish.Root{Version: 3, Sections: []publish.SectionRef{{Name: "domains"}}}
	got := m.handleVersion(now, publish.Version{Root: conflicting}, false)
	if len(got) != 1 || got[0].event.Kind != event.VersionRejected || len(m.current.Root.Sections) != 0 {
		t.Fatalf("conflicting content: %v", got)
	}
}
