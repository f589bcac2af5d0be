package spread

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// changes is the number of changes per measurement.
const changes = 50

// deploymentSize is the size of a production deployment.
type deploymentSize struct {
	name               string
	domains            int
	balancersPerDomain int
	servers            int
	crossDomainDelay   time.Duration
}

var sizes = []deploymentSize{
	{"andes", 3, 2, 10, 3 * time.Millisecond},
	{"hokkaido", 4, 2, 11, 5 * time.Millisecond},
}

// activationTimes publishes versions and returns the times until each is active in
// all processes, sorted. The store is down after each publication if downAfter is
// true.
func activationTimes(b *testing.B, s deploymentSize, storeDelay time.Duration, downAfter bool) []time.Duration {
	m := newSimulation(1, s.domains, s.balancersPerDomain, s.crossDomainDelay)
	m.storeDelay = storeDelay
	m.addLeaves(s.servers)
	m.advance(20 * time.Second)
	var times []time.Duration
	for range changes {
		m.storeUp = true
		m.advance(time.Duration(3000+m.random.IntN(2000)) * time.Millisecond)
		start := m.now
		m.storeUp = !downAfter
		v := m.publish()
		for _, p := range m.processes[:s.domains*s.balancersPerDomain] {
			p.schedule(s.crossDomainDelay, func() { p.learn(v, true) })
		}
		m.advance(30 * time.Second)
		if got := m.activeCount(v.Root.Version); got != len(m.processes) {
			b.Fatalf("version %d active in %d of %d processes", v.Root.Version, got, len(m.processes))
		}
		latest := start
		for _, p := range m.processes {
			if p.activatedAt.After(latest) {
				latest = p.activatedAt
			}
		}
		times = append(times, latest.Sub(start))
	}
	slices.Sort(times)
	return times
}

// BenchmarkModelInForce prints the virtual time from the acceptance of a version
// until it is active in all processes. bergamotctl offers the version directly to
// the balancers, at most two in each failure domain.
func BenchmarkModelInForce(b *testing.B) {
	cases := []struct {
		name       string
		storeDelay time.Duration
		downAfter  bool
	}{{"store_up", time.Millisecond, false}, {"store_slow_500ms", 500 * time.Millisecond, false}, {"store_down_after", time.Millisecond, true}}
	for range b.N {
		for _, s := range sizes {
			for _, c := range cases {
				times := activationTimes(b, s, c.storeDelay, c.downAfter)
				fmt.Printf("bench model_in_force_p50/%s/%s %.1f ms\n", s.name, c.name, milliseconds(times[len(times)/2]))
				fmt.Printf("bench model_in_force_max/%s/%s %.1f ms\n", s.name, c.name, milliseconds(times[len(times)-1]))
			}
		}
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// BenchmarkModelLoad prints the calls to the store and the messages of each process
// by the number of processes, with one change every ten seconds, and the calls to
// the store when all processes restart at once.
func BenchmarkModelLoad(b *testing.B) {
	const domainSize = 100
	const span = 60
	for range b.N {
		var first, last float64
		counts := []int{100, 400, 1000, 2600}
		for _, count := range counts {
			m := newSimulation(1, count/domainSize, domainSize, 5*time.Millisecond)
			m.publish()
			m.advance(5 * time.Second)
			fmt.Printf("bench model_restart_store_calls_5s/processes=%d %d calls\n", count, m.storeCalls)
			m.advance(10 * time.Second)
			m.storeCalls, m.messages = 0, 0
			worst := time.Duration(0)
			for range span / 10 {
				v := m.publish()
				start := m.now
				m.advance(10 * time.Second)
				if got := m.activeCount(v.Root.Version); got != count {
					b.Fatalf("version %d active in %d of %d processes", v.Root.Version, got, count)
				}
				for _, p := range m.processes {
					worst = max(worst, p.activatedAt.Sub(start))
				}
			}
			calls := float64(m.storeCalls) / span
			fmt.Printf("bench model_store_calls/processes=%d %.2f calls/s\n", count, calls)
			fmt.Printf("bench model_messages/processes=%d %.2f messages/s/process\n", count, float64(m.messages)/span/float64(count))
			fmt.Printf("bench model_in_force_max/processes=%d %.1f ms\n", count, milliseconds(worst))
			if count == counts[0] {
				first = calls
			}
			last = calls
		}
		fmt.Printf("bench model_store_calls_slope %.4f calls/s/process\n", (last-first)/float64(counts[len(counts)-1]-counts[0]))
	}
}

// BenchmarkTick measures a tick of a process with 2,599 peers.
func BenchmarkTick(b *testing.B) {
	m := newSimulation(1, 26, 100, 5*time.Millisecond)
	p := m.processes[0]
	peers := m.peers()
	now := m.now
	for b.Loop() {
		now = now.Add(DefaultTick)
		p.machine.tick(now, peers, now)
		clear(p.machine.openQueries)
	}
}
