// Command soak runs balancers and agents as separate processes with test doubles of the
// users' platform, injects faults selected by a seed, and checks the documented
// guarantees of the platform as observed by callers and backend servers. With --demo it
// runs only planned changes and crashes of servers.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alexflint/go-arg"

	"bergamotbank/errkind"
	"bergamotbank/platform/standin"
)

// arguments is the command line.
type arguments struct {
	Seeds     int           `arg:"--seeds" default:"1" help:"number of schedules to run"`
	First     uint64        `arg:"--first" default:"1" help:"seed of the first schedule"`
	Length    time.Duration `arg:"--length" default:"20s" help:"length of one schedule"`
	Regress   bool          `arg:"--regressions" help:"run the schedules of past failures instead"`
	Demo      bool          `arg:"--demo" help:"run only planned changes and crashes of servers; only flows of a crashed server may break"`
	Case      string        `arg:"--case" help:"run a fixed sequence once for each seed instead: one-way-cut, overload, restored-store"`
	Steps     int           `arg:"--steps" help:"number of kinds of steps to draw from, to run a seed as before later ones were added"`
	Program   string        `arg:"--program" default:"bin/bergamotd" help:"path of the bergamotd binary"`
	Output    string        `arg:"--output" default:"out/soak" help:"directory for settings and logs"`
	Callers   int           `arg:"--callers" default:"24" help:"number of callers"`
	Balancers int           `arg:"--balancers" help:"number of balancers; without it the size of the deployment depends on the seed"`
	Orders    int           `arg:"--orders" default:"4" help:"number of backend servers of the service orders"`
	Downloads int           `arg:"--downloads" default:"2" help:"number of backend servers of the service downloads"`
	Network   byte          `arg:"--network" default:"71" help:"second byte of the loopback addresses; concurrent runs need networks at least four apart"`
	Zones     int           `arg:"--zones" default:"2" help:"number of failure domains"`
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	if a.Case != "" && scripts[a.Case] == nil {
		parser.Fail("unknown case " + a.Case)
	}
	schedules := a.schedules()
	failed := 0
	for _, plan := range schedules {
		violations, err := run(a, plan)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(errkind.ExitCode(err))
		}
		if violations > 0 {
			failed++
		}
	}
	fmt.Printf("soak: %d passed, %d failed\n", len(schedules)-failed, failed)
	if failed > 0 {
		os.Exit(1)
	}
}

// schedules returns the schedules to run.
func (a arguments) schedules() []schedule {
	var all []schedule
	if a.Regress {
		for _, r := range regressions {
			fmt.Printf("seed %d failed in the past: %s\n", r.seed, r.cause)
			plan := schedule{seed: r.seed, stepCount: r.stepCount, small: !r.series, concurrency: regressionConcurrency}
			if r.series {
				plan.concurrency = defaultConcurrency
			}
			all = append(all, plan)
		}
		return all
	}
	for i := range a.Seeds {
		if a.Case != "" {
			all = append(all, schedule{seed: a.First + uint64(i), script: scripts[a.Case]})
			continue
		}
		stepCount := len(allSteps)
		if a.Steps > 0 {
			stepCount = min(a.Steps, stepCount)
		}
		all = append(all, schedule{seed: a.First + uint64(i), stepCount: stepCount, demo: a.Demo, small: a.Demo, concurrency: defaultConcurrency})
	}
	return all
}

// sizes are the sizes of the deployments of new schedules, smallSize that of the others.
var (
	sizes     = []deploymentSize{{domains: 3, balancers: 6, orders: 7, downloads: 3}, {domains: 4, balancers: 7, orders: 7, downloads: 4}}
	smallSize = deploymentSize{domains: 2, balancers: 4, orders: 4, downloads: 2}
)

// size returns the size of the deployment of a schedule.
func (a arguments) size(plan schedule) deploymentSize {
	size := sizes[plan.seed%uint64(len(sizes))]
	switch {
	case plan.script != nil:
		size = plan.script.size
	case a.Balancers > 0:
		size = deploymentSize{domains: a.Zones, balancers: a.Balancers, orders: a.Orders, downloads: a.Downloads}
	case plan.small:
		size = smallSize
	}
	size.network = a.Network
	// Schedules from before a step was added, and those of the demo, run as before: without
	// relays, which need processor time, and without latency targets.
	size.relayed = plan.script != nil || (!plan.demo && plan.stepCount > stepsBeforeCuts)
	size.targets = size.targets || (plan.script == nil && !plan.demo && plan.stepCount > stepsBeforeTargets)
	return size
}

// run runs one schedule and returns the number of violated guarantees.
func run(a arguments, plan schedule) (int, error) {
	seed := plan.seed
	dir := filepath.Join(a.Output, fmt.Sprintf("seed-%d", seed))
	if err := os.RemoveAll(dir); err != nil {
		return 0, err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return 0, err
	}
	d, err := newDeployment(dir, a.Program, a.size(plan))
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	flowDuration, length := meanFlowDuration, a.Length
	if plan.script != nil {
		flowDuration, length = plan.script.flowDuration, scriptLength
	}
	l, err := startLoad(ctx, d, a.Callers, seed, flowDuration)
	if err != nil {
		return 0, err
	}
	d.fabric.SetRendezvousHashing(plan.script == nil && seed%rendezvousSeedInterval == 1)
	scheduleCtx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	started := time.Now()
	logStep := func(step string) {
		fmt.Printf("seed %d %6.2f s %s\n", seed, time.Since(started).Seconds(), step)
	}
	if plan.script != nil {
		plan.script.run(scheduleCtx, d, seed, logStep)
	} else {
		runSchedule(scheduleCtx, d, plan, logStep)
	}
	checkRecovery(d, l)
	stop()
	l.close()
	return report(seed, d.checker.Report()), nil
}

// rendezvousSeedInterval is the number of consecutive seeds of which one uses rendezvous
// hashing in the fabric, which moves few flows when a balancer joins or leaves.
const rendezvousSeedInterval = 5

// report prints the results of a schedule and returns the number of violations.
func report(seed uint64, r standin.Report) int {
	served, failed := 0, 0
	for _, second := range r.Timeline {
		served += second.Served
		failed += second.Failed
	}
	names := make([]string, 0, len(r.Counts))
	for name := range r.Counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("seed %d count %s: %d\n", seed, name, r.Counts[name])
	}
	for _, text := range r.Violations {
		fmt.Printf("seed %d VIOLATION %s\n", seed, text)
	}
	fmt.Printf("seed %d: %d requests served, %d not served, %d violations\n", seed, served, failed, len(r.Violations))
	return len(r.Violations)
}

// newProbe returns a new caller in a failure domain for a check.
func (d *deployment) newProbe(domain string) (*standin.Caller, error) {
	d.mu.Lock()
	d.probes++
	at := netip.AddrPortFrom(d.size.address(probeNetwork, d.probes), packetPort)
	d.mu.Unlock()
	return standin.NewCaller(domain, at, d.fabric, d.checker, d.holderVM)
}
