package spread_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

// loopbackChanges is the number of changes per measurement.
const loopbackChanges = 50

// deployment is the size of a production deployment. The loopback interface adds no
// delay between failure domains.
type deployment struct {
	name               string
	domains            int
	balancersPerDomain int
	servers            int
}

var deployments = []deployment{{"andes", 3, 2, 10}, {"hokkaido", 4, 2, 11}}

// start starts the processes of a deployment and returns its agents.
func (d deployment) start(f *fleet) []*process {
	f.startMany(d.domains, d.balancersPerDomain)
	homes := f.peers()
	var agents []*process
	for i := range d.servers {
		agentHomes := []spread.Peer{homes[i%len(homes)], homes[(i+1)%len(homes)]}
		agents = append(agents, f.start(fmt.Sprint("server-", i), "domain-0", true, func() []spread.Peer { return agentHomes }))
	}
	return agents
}

// condition is the state of the store and the number of direct offers during a
// measurement.
type condition struct {
	name   string
	faults storetest.Faults
	after  storetest.Faults
	// directOffers is the number of balancers to which the version is offered
	// directly.
	directOffers int
}

var conditions = []condition{
	{"store_up", storetest.Faults{}, storetest.Faults{}, 8},
	{"store_up_no_hand_over", storetest.Faults{}, storetest.Faults{}, 0},
	{"store_slow_300ms", storetest.Faults{Delay: 300 * time.Millisecond}, storetest.Faults{Delay: 300 * time.Millisecond}, 8},
	{"store_down_after", storetest.Faults{}, storetest.Faults{Down: true}, 8},
	{"store_down_after_one_holder", storetest.Faults{StallWatches: true}, storetest.Faults{Down: true, StallWatches: true}, 1},
}

// measureChange publishes a version and returns the time from its acceptance until
// it is active in all processes.
func (f *fleet) measureChange(n int, c condition, agents []*process) time.Duration {
	f.store.SetFaults(c.faults)
	client := store.NewClient(store.Options{Address: f.store.Address()})
	defer client.Close()
	result, err := publish.New(client).Publish(f.t.Context(), publish.Request{Config: testConfig(f.t, n)})
	if err != nil {
		f.t.Fatal(err)
	}
	accepted := time.Now()
	f.store.SetFaults(c.after)
	for _, p := range f.all()[:min(c.directOffers, len(f.all()))] {
		_ = spread.NewOperatorClient().Offer(f.t.Context(), p.peer.Control, *result.Published, result.NewTexts)
	}
	processes := append(f.all(), agents...)
	eventually(f.t, "version active", func() bool {
		return !slices.ContainsFunc(processes, func(p *process) bool { return p.spreader.ActiveVersion() != result.Version })
	})
	latest := accepted
	for _, p := range processes {
		p.mu.Lock()
		if p.activatedAt[result.Version].After(latest) {
			latest = p.activatedAt[result.Version]
		}
		p.mu.Unlock()
	}
	return latest.Sub(accepted)
}

// BenchmarkLoopbackInForce prints the time from the acceptance of a version until it
// is active in all balancers and agents.
func BenchmarkLoopbackInForce(b *testing.B) {
	for range b.N {
		for _, d := range deployments {
			for _, c := range conditions {
				f := newFleet(b)
				agents := d.start(f)
				f.measureChange(0, condition{}, agents)
				var times []time.Duration
				for n := range loopbackChanges {
					times = append(times, f.measureChange(n+1, c, agents))
				}
				slices.Sort(times)
				fmt.Printf("bench in_force_p50/%s/%s %.1f ms\n", d.name, c.name, float64(times[len(times)/2].Microseconds())/1000)
				fmt.Printf("bench in_force_max/%s/%s %.1f ms\n", d.name, c.name, float64(times[len(times)-1].Microseconds())/1000)
			}
		}
	}
}

// BenchmarkPeerBytes prints the bytes that a process exchanges with its peers, per
// second without changes and per change of one service.
func BenchmarkPeerBytes(b *testing.B) {
	const domains, each = 4, 6
	const idlePeriod = 10 * time.Second
	for range b.N {
		for _, services := range []int{100, 400, 1600} {
			f := newFleet(b)
			f.startMany(domains, each)
			f.publishConfig(manyServices(b, services, 80))
			eventually(b, "version 1 active", f.allActive(1))
			time.Sleep(time.Second)
			before := f.network.bytes.Load()
			time.Sleep(idlePeriod)
			idleRate := float64(f.network.bytes.Load()-before) / idlePeriod.Seconds()
			fmt.Printf("bench peer_bytes_at_rest/services=%d %.0f bytes/s/process\n", services, idleRate/(domains*each))
			before = f.network.bytes.Load()
			started := time.Now()
			f.publishConfig(manyServices(b, services, 81))
			eventually(b, "version 2 active", f.allActive(2))
			time.Sleep(2 * time.Second)
			exchanged := float64(f.network.bytes.Load()-before) - idleRate*time.Since(started).Seconds()
			fmt.Printf("bench peer_bytes_per_change/services=%d %.0f bytes/process\n", services, exchanged/(domains*each))
		}
	}
}

// BenchmarkStoreCalls prints the calls to the store of the processes in four failure
// domains, at a simultaneous start and then without changes.
func BenchmarkStoreCalls(b *testing.B) {
	const domains = 4
	const idlePeriod = 10 * time.Second
	for range b.N {
		for _, each := range []int{2, 4, 8, 16} {
			f := newFleet(b)
			f.publishTestConfig(0)
			before := f.store.Calls()
			f.startWithDelayedPeers(domains, each, 300*time.Millisecond)
			eventually(b, "version 1 active", f.allActive(1))
			fmt.Printf("bench restart_store_calls/processes=%d %d calls\n", domains*each, f.store.Calls()-before)
			time.Sleep(time.Second)
			before = f.store.Calls()
			time.Sleep(idlePeriod)
			fmt.Printf("bench store_calls/processes=%d %.2f calls/s\n", domains*each, float64(f.store.Calls()-before)/idlePeriod.Seconds())
			for _, p := range f.all() {
				f.remove(p)
			}
		}
	}
}

// BenchmarkSilentWatch prints the time from the acceptance of a version until it is
// active in all processes, with watches that receive no more responses and without
// direct offers.
func BenchmarkSilentWatch(b *testing.B) {
	const changes = 10
	for range b.N {
		f := newFleet(b)
		f.startMany(3, 2)
		f.measureChange(0, condition{}, nil)
		var times []time.Duration
		for n := range changes {
			times = append(times, f.measureChange(n+1, condition{faults: storetest.Faults{StallWatches: true}}, nil))
		}
		slices.Sort(times)
		fmt.Printf("bench in_force_max/silent_watch %.1f ms\n", float64(times[len(times)-1].Microseconds())/1000)
	}
}
