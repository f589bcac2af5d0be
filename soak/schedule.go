package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/platform/standin"
)

const (
	// stabilizationTime is the time after a fault during which guarantees with a time
	// limit are not checked.
	stabilizationTime = 4 * time.Second
	// stopTimeout is the timeout of a graceful shutdown.
	stopTimeout = 6 * time.Second
	// restartDelay is the time between the exit of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// maxActivationTime is the time within which a new version must be active,
	// slackForCallers the time allowed for opening a flow.
	maxActivationTime = 3 * time.Second
	slackForCallers   = time.Second
)

// step is one kind of fault or planned change.
type step struct {
	name string
	// demo is true for the steps of the demo: planned changes, which must not break
	// any flow, and the crash of a server, which breaks only its own flows.
	demo bool
	run  func(d *deployment, r *rand.Rand)
}

// injectFault runs a fault during which guarantees with a time limit are not checked for the
// VMs that it concerns; none stands for the whole deployment.
func injectFault(d *deployment, name string, length time.Duration, begin, end func(), vms ...netip.Addr) {
	d.checker.Disturb(name, length+stabilizationTime, vms...)
	begin()
	time.Sleep(length)
	end()
	d.checker.Disturb(name, stabilizationTime, vms...)
}

func randomBalancer(d *deployment, r *rand.Rand) *process {
	return d.balancers[r.IntN(len(d.balancers))]
}
func randomVM(d *deployment, r *rand.Rand) *vm { return d.vms[r.IntN(len(d.vms))] }
func randomDuration(r *rand.Rand, minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(r.Int64N(int64(maximum-minimum)))
}

func restart(d *deployment, p *process) {
	if err := p.start(); err != nil {
		d.checker.ReportViolation("%s does not start: %v", p.name, err)
	}
}

// stopGracefully stops a process with SIGTERM.
func stopGracefully(d *deployment, p *process) {
	if !p.end(syscall.SIGTERM, stopTimeout) {
		d.checker.ReportViolation("%s did not stop in %s", p.name, stopTimeout)
		p.kill()
	}
}

func restartGracefully(d *deployment, p *process) {
	stopGracefully(d, p)
	time.Sleep(restartDelay)
	restart(d, p)
}

// replaceServer drains a server, restarts the agent of its VM once the server has ended, and
// starts the next server there, of the given service.
func replaceServer(d *deployment, v *vm, service string, pause time.Duration) {
	server := v.detachServer()
	if server == nil {
		return
	}
	server.Drain(serveAfterDrain)
	v.process.hold(true)
	stopGracefully(d, v.process)
	time.Sleep(pause)
	if err := d.setService(v, service); err != nil {
		d.checker.ReportViolation("settings of %s: %v", v.process.name, err)
	}
	v.process.hold(false)
	restart(d, v.process)
	if err := d.startServer(v); err != nil {
		d.checker.ReportViolation("server of %s: %v", v.process.name, err)
	}
}

// maxSeries is the number of members of a series in a large deployment, so that a schedule ends
// in time.
const maxSeries = 12

// series returns a random run of at most maxSeries items.
func series[T any](items []T, r *rand.Rand) []T {
	if len(items) <= maxSeries {
		return items
	}
	first := r.IntN(len(items) - maxSeries + 1)
	return items[first : first+maxSeries]
}

// inSeries calls work for each item after a gap, without waiting for the calls before.
func inSeries[T any](items []T, gap time.Duration, work func(T)) {
	var done sync.WaitGroup
	for _, item := range items {
		done.Go(func() { work(item) })
		time.Sleep(gap)
	}
	done.Wait()
}

// storeFaultStep returns a step that injects a fault of the store.
func storeFaultStep(name string, faults func(r *rand.Rand) standin.Faults) step {
	return step{name, false, func(d *deployment, r *rand.Rand) {
		f := faults(r)
		injectFault(d, name, randomDuration(r, time.Second, 5*time.Second), func() { d.store.SetFaults(f) }, func() { d.store.SetFaults(standin.Faults{}) })
	}}
}

// initialSteps are the steps of the first version.
var initialSteps = []step{
	{"restart a balancer gracefully", true, func(d *deployment, r *rand.Rand) { restartGracefully(d, randomBalancer(d, r)) }},
	{"drain a server and start a replacement", true, func(d *deployment, r *rand.Rand) {
		v := randomVM(d, r)
		server := v.detachServer()
		if server == nil {
			return
		}
		server.Drain(serveAfterDrain)
		if err := d.startServer(v); err != nil {
			d.checker.ReportViolation("server of %s: %v", v.process.name, err)
		}
	}},
	{"add a route", true, func(d *deployment, _ *rand.Rand) { checkAddedRoute(d, domainName(0)) }},
	{"take a failure domain out of service and return it to service", true, func(d *deployment, r *rand.Rand) {
		domain := domainName(r.IntN(d.size.domains))
		d.setDomainOut(domain, true)
		time.Sleep(randomDuration(r, 3*time.Second, 8*time.Second))
		d.setDomainOut(domain, false)
	}},
	{"reload the settings of every process", true, func(d *deployment, _ *rand.Rand) {
		forEachConcurrently(d.processes(), (*process).reload)
	}},
	{"kill a balancer", false, func(d *deployment, r *rand.Rand) {
		p := randomBalancer(d, r)
		injectFault(d, "kill "+p.name, restartDelay, p.kill, func() { restart(d, p) }, p.ip)
	}},
	{"pause a balancer", false, func(d *deployment, r *rand.Rand) {
		p := randomBalancer(d, r)
		injectFault(d, "pause "+p.name, randomDuration(r, time.Second, 4*time.Second), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, p.ip)
	}},
	{"kill an agent while its server keeps running", false, func(d *deployment, r *rand.Rand) {
		p := randomVM(d, r).process
		injectFault(d, "kill "+p.name, restartDelay, p.kill, func() { restart(d, p) }, p.ip)
	}},
	{"pause an agent", false, func(d *deployment, r *rand.Rand) {
		p := randomVM(d, r).process
		injectFault(d, "pause "+p.name, randomDuration(r, time.Second, 4*time.Second), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) }, p.ip)
	}},
	{"crash a server and restart it", true, func(d *deployment, r *rand.Rand) {
		v := randomVM(d, r)
		injectFault(d, "crash "+v.process.name, randomDuration(r, 100*time.Millisecond, 3*time.Second), v.crash, func() { d.ensureServer(v) }, v.ip)
	}},
	{"kill every process", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "kill all", restartDelay, func() { forEachConcurrently(d.processes(), (*process).kill) },
			func() { forEachConcurrently(d.processes(), func(p *process) { restart(d, p) }) })
	}},
	{"power loss of the whole deployment", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "power", time.Second, func() {
			forEachConcurrently(d.processes(), (*process).kill)
			forEachConcurrently(d.vms, (*vm).crash)
		}, func() {
			forEachConcurrently(d.processes(), func(p *process) { restart(d, p) })
			forEachConcurrently(d.vms, d.ensureServer)
		})
	}},
	storeFaultStep("store unresponsive", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Outage: standin.Unresponsive, ExpireLeases: r.IntN(2) == 0}
	}),
	storeFaultStep("store unavailable", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Outage: standin.Unavailable, ExpireLeases: r.IntN(2) == 0}
	}),
	storeFaultStep("store rate-limits calls", func(*rand.Rand) standin.Faults { return standin.Faults{Outage: standin.RateLimited} }),
	storeFaultStep("store resets connections", func(*rand.Rand) standin.Faults { return standin.Faults{Outage: standin.ConnectionReset} }),
	storeFaultStep("store slow", func(r *rand.Rand) standin.Faults {
		return standin.Faults{Delay: randomDuration(r, 100*time.Millisecond, 900*time.Millisecond)}
	}),
	storeFaultStep("store responses are lost", func(*rand.Rand) standin.Faults { return standin.Faults{ResponseLossRate: 0.4} }),
	{"watches stall while a route is added", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "stalled watches", 4*time.Second, func() {
			d.store.SetFaults(standin.Faults{StallWatches: true})
			d.addRoute()
		}, func() { d.store.SetFaults(standin.Faults{}); d.store.Compact() })
	}},
	{"connections to the store are blackholed", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "blackholed connections", 0, d.proxy.Blackhole, func() {})
	}},
	{"connections to the store are reset", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "reset connections", 0, d.proxy.ResetConnections, func() {})
	}},
	{"one direction of the connections to the store is blocked", false, func(d *deployment, r *rand.Rand) {
		dropRequests := r.IntN(2) == 0
		injectFault(d, "blocked direction", randomDuration(r, time.Second, 4*time.Second),
			func() {
				d.proxy.SetFaults(standin.ProxyFaults{DropRequests: dropRequests, DropResponses: !dropRequests})
			},
			func() { d.proxy.SetFaults(standin.ProxyFaults{}) })
	}},
	{"connections to the store are slow", false, func(d *deployment, r *rand.Rand) {
		injectFault(d, "delay", randomDuration(r, time.Second, 4*time.Second),
			func() { d.proxy.SetFaults(standin.ProxyFaults{Delay: 300 * time.Millisecond}) },
			func() { d.proxy.SetFaults(standin.ProxyFaults{}) })
	}},
}

// addedSteps were added later. They follow initialSteps, so that the schedules of
// earlier failures, with a smaller stepCount, still draw the same steps.
var addedSteps = []step{
	{"callers' packets are lost, delayed and duplicated", false, func(d *deployment, r *rand.Rand) {
		faults := standin.FabricFaults{DropRate: 0.1 * r.Float64(), DuplicateRate: 0.3 * r.Float64(), MaxDelay: randomDuration(r, time.Millisecond, 60*time.Millisecond)}
		injectFault(d, "packets", randomDuration(r, time.Second, 4*time.Second),
			func() { d.fabric.SetFaults(faults) }, func() { d.fabric.SetFaults(standin.FabricFaults{}) })
	}},
	{"all leases are revoked without an error response", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "revoked leases", 0, d.store.RevokeLeases, func() {})
	}},
	{"a server restarts with a clock error", false, func(d *deployment, r *rand.Rand) {
		v := randomVM(d, r)
		clockError := randomDuration(r, -10*time.Second, 10*time.Second)
		injectFault(d, "clock of "+v.process.name, restartDelay, v.crash, func() {
			v.setClockError(clockError)
			d.ensureServer(v)
		}, v.ip)
	}},
	{"power loss of the whole deployment with revoked leases", false, func(d *deployment, _ *rand.Rand) {
		injectFault(d, "power loss with revoked leases", time.Second, func() {
			d.store.RevokeLeases()
			forEachConcurrently(d.processes(), (*process).kill)
			forEachConcurrently(d.vms, (*vm).crash)
		}, func() {
			forEachConcurrently(d.processes(), func(p *process) { restart(d, p) })
			forEachConcurrently(d.vms, d.ensureServer)
		})
	}},
	{"restart an agent gracefully", true, func(d *deployment, r *rand.Rand) { restartGracefully(d, randomVM(d, r).process) }},
	{"restart all balancers in turn", true, func(d *deployment, r *rand.Rand) {
		inSeries(series(d.balancers, r), randomDuration(r, seriesGap, 2*seriesGap), func(p *process) { restartGracefully(d, p) })
	}},
	{"restart all agents in turn", true, func(d *deployment, r *rand.Rand) {
		gap := randomDuration(r, seriesGap/4, seriesGap)
		for _, v := range series(d.vms, r) {
			restartGracefully(d, v.process)
			time.Sleep(gap)
		}
	}},
	{"release a service", true, func(d *deployment, r *rand.Rand) {
		service := []string{"orders", "downloads"}[r.IntN(2)]
		var released []*vm
		for _, v := range d.vms {
			if v.serves(service) {
				released = append(released, v)
			}
		}
		inSeries(series(released, r), randomDuration(r, seriesGap/2, seriesGap), func(v *vm) { replaceServer(d, v, service, restartDelay) })
	}},
	{"the address of a server goes to another service", true, func(d *deployment, r *rand.Rand) {
		v := randomVM(d, r)
		service := "orders"
		if v.serves(service) && d.servers(service) > minServers {
			service = "downloads"
		} else if !v.serves(service) && d.servers("downloads") <= minServers {
			return
		}
		replaceServer(d, v, service, addressReuseTime)
	}},
	{"manifests in quick succession", true, func(d *deployment, r *rand.Rand) {
		for range 5 + r.IntN(10) {
			d.addRoute()
			time.Sleep(manifestGap)
		}
	}},
	{"another writer sends heartbeats to an agent", true, func(d *deployment, r *rand.Rand) {
		v, service := randomVM(d, r), "downloads"
		if v.serves("orders") {
			service = "orders"
		}
		other := addrPort(d.size.address(serverNetwork, 249), backendPort)
		bodies := standin.ForeignHeartbeats(service, v.domain, addrPort(v.ip, backendPort), other)
		for i, body := range bodies[r.IntN(len(bodies)):] {
			if standin.PutHeartbeat(addrPort(v.ip, controlPort), fmt.Sprintf("stray-%d", i), body) {
				d.checker.ReportViolation("%s confirmed a heartbeat of another writer: %s", v.process.name, body)
			}
		}
	}},
	{"kill several agents, one after the other", false, func(d *deployment, r *rand.Rand) {
		for range 2 + r.IntN(3) {
			p := randomVM(d, r).process
			injectFault(d, "kill "+p.name, randomDuration(r, restartDelay, 3*restartDelay), p.kill, func() { restart(d, p) }, p.ip)
		}
	}},
	{"a failure domain is cut off from the others", false, func(d *deployment, r *rand.Rand) {
		cut := []standin.Cut{{In: true}, {Out: true}, {In: true, Out: true}}[r.IntN(3)]
		cutDomain(d, domainName(r.IntN(d.size.domains)), cut, randomDuration(r, time.Second, 6*time.Second))
	}},
	{"the demand exceeds the capacity", false, func(d *deployment, r *rand.Rand) {
		overload(d, r, 1.1+0.5*r.Float64(), randomDuration(r, 2*time.Second, 5*time.Second))
	}},
	{"the store returns from an older copy", false, restoreStore},
}

// checkAddedRoute adds a route and checks that callers of a failure domain can use it in time.
func checkAddedRoute(d *deployment, domain string) {
	route, inTouch := d.addRoute(), d.checker.InTouch(d.vmAddresses()...)
	time.Sleep(maxActivationTime)
	d.demand.RLock()
	defer d.demand.RUnlock()
	c, err := d.newProbe(domain)
	if err != nil {
		d.checker.ReportViolation("probe: %v", err)
		return
	}
	defer c.Close()
	f := c.Open(route)
	taken := d.fabric.BalancersOf(passthrough.Flow{Caller: c.LastPort(), Service: route})
	if f == nil && inTouch && d.checker.InTouch(append(taken, d.vmAddresses()...)...) {
		d.checker.ReportViolation("a route is not active %s after it was written", maxActivationTime)
	}
}

// stepsBeforeCuts and stepsBeforeTargets are the numbers of steps before failure domains could be
// cut off and before routes had latency targets.
const (
	stepsBeforeCuts    = 35
	stepsBeforeTargets = 36
)

// cutDomain cuts a failure domain off from the others for a time.
func cutDomain(d *deployment, domain string, cut standin.Cut, length time.Duration) {
	injectFault(d, "cut of "+domain, length, func() { d.network.Cut(domain, cut) },
		func() { d.network.Cut(domain, standin.Cut{}) }, d.domainVMs(domain)...)
}

const (
	// seriesGap is the time between two members of a series of planned changes.
	seriesGap = 1300 * time.Millisecond
	// manifestGap is the time between two manifests of a series.
	manifestGap = 330 * time.Millisecond
	// addressReuseTime is the time after which the address of a server may be used again.
	addressReuseTime = 2 * time.Second
	// minServers is the number of servers that a service keeps.
	minServers = 2
)

// allSteps are all steps, in the order in which they were added.
var allSteps = slices.Concat(initialSteps, addedSteps)

func forEachConcurrently[T any](items []T, work func(T)) {
	var done sync.WaitGroup
	for _, item := range items {
		done.Add(1)
		go func() { defer done.Done(); work(item) }()
	}
	done.Wait()
}

// ensureServer starts a server on a VM unless one is running or draining.
func (d *deployment) ensureServer(v *vm) {
	v.mu.Lock()
	running := v.server != nil || v.draining
	v.mu.Unlock()
	if running {
		return
	}
	if err := d.startServer(v); err != nil {
		d.checker.ReportViolation("server of %s: %v", v.process.name, err)
	}
}

// schedule selects the steps of a run.
type schedule struct {
	seed uint64
	// stepCount is the number of steps, from the start of allSteps, to draw from.
	stepCount int
	// demo restricts the schedule to steps of the demo.
	demo bool
	// small selects the size of the deployment of the first schedules.
	small bool
	// concurrency is the number of steps that may run at the same time.
	concurrency int
	// script replaces the drawn steps if it is not nil.
	script *script
}

// runSchedule runs steps selected by the seed until ctx is done, up to plan.concurrency at a
// time, and passes the name of each to logStep.
func runSchedule(ctx context.Context, d *deployment, plan schedule, logStep func(string)) {
	r := rand.New(rand.NewPCG(plan.seed, 7))
	var running sync.WaitGroup
	semaphore := make(chan struct{}, plan.concurrency)
	for ctx.Err() == nil {
		s := allSteps[r.IntN(plan.stepCount)]
		stepRand := rand.New(rand.NewPCG(r.Uint64(), 11))
		gap := randomDuration(r, 200*time.Millisecond, 2*time.Second)
		if plan.demo && !s.demo {
			continue
		}
		semaphore <- struct{}{}
		logStep(s.name)
		running.Add(1)
		go func() {
			defer running.Done()
			s.run(d, stepRand)
			<-semaphore
		}()
		sleep(ctx, gap)
	}
	running.Wait()
	// A SIGSTOP may have hit a process that another step restarted in the meantime.
	for _, p := range d.processes() {
		p.signal(syscall.SIGCONT)
	}
	for _, v := range d.vms {
		d.ensureServer(v)
	}
}

// defaultConcurrency and regressionConcurrency are the numbers of concurrent steps of new
// schedules and of those that failed in the past.
const (
	defaultConcurrency    = 5
	regressionConcurrency = 3
)

// checkRecovery checks that requests are served again after the last fault.
func checkRecovery(d *deployment, l *load) {
	time.Sleep(recoveryTime)
	for i := range recoveryRequests {
		c := l.callers[i%len(l.callers)]
		if !l.exchange(c, ordersRoute, fmt.Sprintf("recovered-%d", i), orderBytes, true) {
			d.checker.ReportViolation("a request is not served %s after the last fault", recoveryTime)
		}
	}
}

const (
	// recoveryTime is the time after the last fault within which all requests must be
	// served again.
	recoveryTime     = 6 * time.Second
	recoveryRequests = 40
)
