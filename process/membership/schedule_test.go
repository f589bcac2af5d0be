package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fault is one step of a random schedule.
type fault struct {
	name string
	run  func(f *fleet, index int)
}

// scheduleChecks is the number of random schedules.
const scheduleChecks = 60

// scheduleFaults are the faults of the random schedules.
var scheduleFaults = []fault{
	{"pause a balancer", func(f *fleet, i int) { f.pause(f.nodes[i%len(f.nodes)].testProcess) }},
	{"pause an agent", func(f *fleet, i int) { f.pause(f.agents[i%len(f.agents)].testProcess) }},
	{"resume all processes", func(f *fleet, _ int) { f.resumeAll() }},
	{"restart a balancer", func(f *fleet, i int) {
		n := f.nodes[i%len(f.nodes)]
		f.startNode(n, f.seeds(3))
	}},
	{"replace a server", func(f *fleet, i int) {
		a := f.agents[i%len(f.agents)]
		self := a.core.self
		self.Server += "x"
		self.Incarnation = uint64(f.now.UnixMilli() + int64(i%7-3)*100_000)
		a.name = self.Server
		f.startAgent(a, self)
	}},
	{"announce a change", func(f *fleet, i int) {
		a := f.agents[i%len(f.agents)]
		a.core.setState(f.now, State(i%4), uint16(i%100))
		a.perform()
	}},
	{"partition a failure domain", func(f *fleet, i int) {
		domain := f.nodes[i%len(f.nodes)].domain
		f.partitioned = func(from, to *testProcess) bool { return (from.domain == domain) != (to.domain == domain) }
	}},
	{"block everything sent by a process", func(f *fleet, i int) {
		p := f.agents[i%len(f.agents)].testProcess
		if i%2 == 0 {
			p = f.nodes[i%len(f.nodes)].testProcess
		}
		f.partitioned = func(from, _ *testProcess) bool { return from == p }
	}},
	{"end the partition", func(f *fleet, _ int) { f.partitioned = func(_, _ *testProcess) bool { return false } }},
	{"lose datagrams", func(f *fleet, i int) { f.loss = float64(i%4) * 0.1 }},
}

func (f *fleet) resumeAll() {
	for _, n := range f.nodes {
		if n.paused {
			f.resume(n.testProcess)
		}
	}
	for _, a := range f.agents {
		if a.paused {
			f.resume(a.testProcess)
		}
	}
}

// sharedAddress returns a packet address that two servers of a view have.
func sharedAddress(view View) (string, bool) {
	seen := make(map[uint64]bool)
	for _, r := range view.Servers {
		key := packAddr(r.Packet)
		if seen[key] {
			return r.Packet.String(), true
		}
		seen[key] = true
	}
	return "", false
}

func TestViewsAgreeAfterRandomFaults(t *testing.T) {
	setRapidChecks(scheduleChecks)
	defer setRapidChecks(defaultChecks)
	rapid.Check(t, func(t *rapid.T) {
		f := newThreeDomainFleet(rapid.Uint64().Draw(t, "seed"), 2, 3)
		if _, converged := f.converge(); !converged {
			t.Fatal("fleet does not converge")
		}
		for range rapid.IntRange(1, 8).Draw(t, "faults") {
			fault := scheduleFaults[rapid.IntRange(0, len(scheduleFaults)-1).Draw(t, "fault")]
			t.Log(fault.name)
			fault.run(f, rapid.IntRange(0, 100).Draw(t, "index"))
			f.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "milliseconds")) * time.Millisecond)
			for _, n := range f.nodes {
				if addr, shared := sharedAddress(n.core.currentView); shared {
					t.Fatalf("view of %s has two servers at %s", n.name, addr)
				}
			}
		}
		f.partitioned = func(_, _ *testProcess) bool { return false }
		f.loss = 0
		f.resumeAll()
		if _, converged := f.converge(); !converged {
			t.Fatal("views do not agree 2 minutes after the last fault")
		}
	})
}
