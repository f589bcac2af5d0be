package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"bergamotbank/platform/standin"
)

const (
	// stableWindow is how long after a fault the promises with a time bound rest.
	stableWindow = 4 * time.Second
	// stopTimeout bounds a planned stop.
	stopTimeout = 6 * time.Second
	// restartDelay is how long an ended process stays away.
	restartDelay = 300 * time.Millisecond
	// configBound is the time in which a version must be in force, slackForCallers
	// what opening a flow may take.
	configBound     = 3 * time.Second
	slackForCallers = time.Second
)

// step is one kind of trouble.
type step struct {
	name string
	// demo marks those of the demo: planned changes, which must break no flow, and
	// the crash of a server, which breaks only its own.
	demo bool
	run  func(d *deployment, r *rand.Rand)
}

// hurt runs a fault for which promises with a time bound rest.
func hurt(d *deployment, name string, length time.Duration, begin, end func()) {
	d.judge.AddFaultWindow(name, length+stableWindow)
	begin()
	time.Sleep(length)
	end()
	d.judge.AddFaultWindow(name, stableWindow)
}

func someBalancer(d *deployment, r *rand.Rand) *process { return d.balancers[r.IntN(len(d.balancers))] }
func someVM(d *deployment, r *rand.Rand) *vm            { return d.vms[r.IntN(len(d.vms))] }
func someTime(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func restart(d *deployment, p *process) {
	if err := p.start(); err != nil {
		d.judge.ReportViolation("%s does not start: %v", p.name, err)
	}
}

// storeFault runs a fault of the store.
func storeFault(name string, faults func(r *rand.Rand) standin.Faults) step {
	return step{name, false, func(d *deployment, r *rand.Rand) {
		f := faults(r)
		hurt(d, name, someTime(r, time.Second, 5*time.Second), func() { d.store.SetFaults(f) }, func() { d.store.SetFaults(standin.Faults{}) })
	}}
}

// steps are the first kinds of trouble.
var steps = []step{
	{"stop a balancer and start it again", true, func(d *deployment, r *rand.Rand) {
		p := someBalancer(d, r)
		p.signal(syscall.SIGTERM)
		if !p.wait(stopTimeout) {
			d.judge.ReportViolation("%s did not stop in %s", p.name, stopTimeout)
			p.kill()
		}
		time.Sleep(restartDelay)
		restart(d, p)
	}},
	{"drain a server and start another", true, func(d *deployment, r *rand.Rand) {
		v := someVM(d, r)
		server := v.take()
		if server == nil {
			return
		}
		server.Drain(serveAfterDrain)
		if err := d.startServer(v); err != nil {
			d.judge.ReportViolation("server of %s: %v", v.process.name, err)
		}
	}},
	{"add a route", true, func(d *deployment, _ *rand.Rand) {
		route, excused := d.addRoute(), d.judge.InFaultWindow()
		time.Sleep(configBound)
		c, err := d.probe()
		if err != nil {
			d.judge.ReportViolation("probe: %v", err)
			return
		}
		defer c.Close()
		f := c.Open(route)
		if f == nil && !excused && !d.judge.InFaultWindow() {
			d.judge.ReportViolation("a route is not in force %s after it was written", configBound)
		}
	}},
	{"take a zone out and bring it back", true, func(d *deployment, r *rand.Rand) {
		zone := zoneName(r.IntN(d.size.zones))
		d.setOut(zone, true)
		time.Sleep(someTime(r, 3*time.Second, 8*time.Second))
		d.setOut(zone, false)
	}},
	{"change the settings of every process", true, func(d *deployment, _ *rand.Rand) {
		each(d.processes(), func(p *process) { p.signal(syscall.SIGHUP) })
	}},
	{"kill a balancer", false, func(d *deployment, r *rand.Rand) {
		p := someBalancer(d, r)
		hurt(d, "kill "+p.name, restartDelay, p.kill, func() { restart(d, p) })
	}},
	{"pause a balancer", false, func(d *deployment, r *rand.Rand) {
		p := someBalancer(d, r)
		hurt(d, "pause "+p.name, someTime(r, time.Second, 4*time.Second), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}},
	{"kill an agent beside a living server", false, func(d *deployment, r *rand.Rand) {
		p := someVM(d, r).process
		hurt(d, "kill "+p.name, restartDelay, p.kill, func() { restart(d, p) })
	}},
	{"pause an agent", false, func(d *deployment, r *rand.Rand) {
		p := someVM(d, r).process
		hurt(d, "pause "+p.name, someTime(r, time.Second, 4*time.Second), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}},
	{"crash a server and start it again", true, func(d *deployment, r *rand.Rand) {
		v := someVM(d, r)
		hurt(d, "crash "+v.process.name, someTime(r, 100*time.Millisecond, 3*time.Second), v.crash, func() { d.revive(v) })
	}},
	{"kill every process", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "kill all", restartDelay, func() { each(d.processes(), (*process).kill) },
			func() { each(d.processes(), func(p *process) { restart(d, p) }) })
	}},
	{"power loss of everything", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "power", time.Second, func() {
			each(d.processes(), (*process).kill)
			each(d.vms, (*vm).crash)
		}, func() {
			each(d.processes(), func(p *process) { restart(d, p) })
			each(d.vms, d.revive)
		})
	}},
	storeFault("store silent", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Outage: standin.Unresponsive, ExpireLeases: r.IntN(2) == 0}
	}),
	storeFault("store busy", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Outage: standin.Unavailable, ExpireLeases: r.IntN(2) == 0}
	}),
	storeFault("store limits calls", func(*rand.Rand) standin.Faults { return standin.Faults{Outage: standin.RateLimited} }),
	storeFault("store resets connections", func(*rand.Rand) standin.Faults { return standin.Faults{Outage: standin.ConnectionReset} }),
	storeFault("store slow", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Delay: someTime(r, 100*time.Millisecond, 900*time.Millisecond)}
	}),
	storeFault("store loses answers", func(*rand.Rand) standin.Faults { return standin.Faults{ResponseLossRate: 0.4} }),
	{"watches are deaf while a route is added", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "deaf", 4*time.Second, func() {
			d.store.SetFaults(standin.Faults{StallWatches: true})
			d.addRoute()
		}, func() { d.store.SetFaults(standin.Faults{}); d.store.Compact() })
	}},
	{"connections to the store go silent for good", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "silent connections", 0, d.proxy.Blackhole, func() {})
	}},
	{"connections to the store are reset", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "reset connections", 0, d.proxy.ResetConnections, func() {})
	}},
	{"one way to the store is cut", false, func(d *deployment, r *rand.Rand) {
		up := r.IntN(2) == 0
		hurt(d, "one way", someTime(r, time.Second, 4*time.Second),
			func() { d.proxy.SetFaults(standin.ProxyFaults{DropRequests: up, DropResponses: !up}) },
			func() { d.proxy.SetFaults(standin.ProxyFaults{}) })
	}},
	{"the way to the store is slow", false, func(d *deployment, r *rand.Rand) {
		hurt(d, "delay", someTime(r, time.Second, 4*time.Second),
			func() { d.proxy.SetFaults(standin.ProxyFaults{Delay: 300 * time.Millisecond}) },
			func() { d.proxy.SetFaults(standin.ProxyFaults{}) })
	}},
}

// laterSteps came after schedules that failed once, which draw only from steps.
var laterSteps = []step{
	{"callers' packets are lost, late and sent twice", false, func(d *deployment, r *rand.Rand) {
		faults := standin.FabricFaults{DropRate: 0.1 * r.Float64(), DuplicateRate: 0.3 * r.Float64(), MaxDelay: someTime(r, time.Millisecond, 60*time.Millisecond)}
		hurt(d, "packets", someTime(r, time.Second, 4*time.Second),
			func() { d.fabric.SetFaults(faults) }, func() { d.fabric.SetFaults(standin.FabricFaults{}) })
	}},
	{"all leases end and no request shows it", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "revoked leases", 0, d.store.RevokeLeases, func() {})
	}},
	{"a server comes back with a wrong clock", false, func(d *deployment, r *rand.Rand) {
		v := someVM(d, r)
		clockError := someTime(r, -10*time.Second, 10*time.Second)
		hurt(d, "clock of "+v.process.name, restartDelay, v.crash, func() {
			v.setClockError(clockError)
			d.revive(v)
		})
	}},
	{"power loss of everything while leases are gone", false, func(d *deployment, _ *rand.Rand) {
		hurt(d, "power and leases", time.Second, func() {
			d.store.RevokeLeases()
			each(d.processes(), (*process).kill)
			each(d.vms, (*vm).crash)
		}, func() {
			each(d.processes(), func(p *process) { restart(d, p) })
			each(d.vms, d.revive)
		})
	}},
}

// allSteps are all kinds of trouble, in the order in which they came.
var allSteps = slices.Concat(steps, laterSteps)

func each[T any](all []T, work func(T)) {
	var done sync.WaitGroup
	for _, one := range all {
		done.Add(1)
		go func() { defer done.Done(); work(one) }()
	}
	done.Wait()
}

// revive starts the server of a VM when none runs.
func (d *deployment) revive(v *vm) {
	v.mu.Lock()
	running := v.server != nil || v.draining
	v.mu.Unlock()
	if running {
		return
	}
	if err := d.startServer(v); err != nil {
		d.judge.ReportViolation("server of %s: %v", v.process.name, err)
	}
}

// schedule says which steps are drawn.
type schedule struct {
	seed uint64
	// steps is the number of kinds of trouble to draw from.
	steps int
	// demo leaves out all other faults.
	demo bool
}

// runSchedule runs steps drawn by the seed until ctx ends; series overlap. Steps about
// the same VM wait for each other.
func runSchedule(ctx context.Context, d *deployment, plan schedule, say func(string)) {
	r := rand.New(rand.NewPCG(plan.seed, 7))
	var running sync.WaitGroup
	busy := make(chan struct{}, overlap)
	for ctx.Err() == nil {
		s := allSteps[r.IntN(plan.steps)]
		own := rand.New(rand.NewPCG(r.Uint64(), 11))
		gap := someTime(r, 200*time.Millisecond, 2*time.Second)
		if plan.demo && !s.demo {
			continue
		}
		busy <- struct{}{}
		say(s.name)
		running.Add(1)
		go func() {
			defer running.Done()
			s.run(d, own)
			<-busy
		}()
		pause(ctx, gap)
	}
	running.Wait()
	// A pause may have met a process that another step restarted meanwhile.
	for _, p := range d.processes() {
		p.signal(syscall.SIGCONT)
	}
	for _, v := range d.vms {
		d.revive(v)
	}
}

// overlap is the number of steps at the same time.
const overlap = 3

// checkRecovery tells whether everything is served again after the last fault.
func checkRecovery(d *deployment, l *load) {
	time.Sleep(recovery)
	for i := range recoveryRequests {
		c := l.callers[i%len(l.callers)]
		if !l.exchange(c, ordersRoute, fmt.Sprintf("recovered-%d", i), orderSize, true) {
			d.judge.ReportViolation("a request is not served %s after the last fault", recovery)
		}
	}
}

const (
	// recovery is the time in which service must be whole after the last fault.
	recovery         = 6 * time.Second
	recoveryRequests = 40
)
