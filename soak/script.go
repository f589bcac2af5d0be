package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"bergamotbank/platform/standin"
)

// script is a fixed sequence of faults and planned changes.
type script struct {
	size deploymentSize
	// flowDuration is the mean duration of the callers' long flows.
	flowDuration time.Duration
	// run runs the sequence. The seed selects the failure domain that it concerns.
	run func(ctx context.Context, d *deployment, seed uint64, logStep func(string))
}

// scripts are the sequences by the names that --case accepts.
var scripts = map[string]*script{
	"one-way-cut": {
		size:         deploymentSize{domains: 3, balancers: 6, orders: 7, downloads: 3, spareBalancers: 3, spareVMs: true},
		flowDuration: 10 * scriptLength,
		run:          releaseDuringCut,
	},
	"overload": {
		size:         deploymentSize{domains: 3, balancers: 6, orders: 7, downloads: 3, targets: true},
		flowDuration: meanFlowDuration,
		run: func(ctx context.Context, d *deployment, seed uint64, logStep func(string)) {
			sleep(ctx, timeBeforeCut)
			logStep("the demand exceeds the capacity")
			overload(d, rand.New(rand.NewPCG(seed, 11)), overloadFactor, overloadLength)
		},
	},
	"restored-store": {
		size:         deploymentSize{domains: 3, balancers: 6, orders: 7, downloads: 3},
		flowDuration: meanFlowDuration,
		run:          restoreRepeatedly,
	},
}

// Times of releaseDuringCut. A cut longer than the time for which a process contacts an address
// that does not answer, and changes of the balancers after stabilizationTime, when flows move
// and their holders are looked up.
const (
	scriptLength  = 30 * time.Second
	timeBeforeCut = 4 * time.Second
	cutLength     = 5500 * time.Millisecond
	releaseDelay  = 500 * time.Millisecond
	releaseGap    = time.Second
)

const (
	// overloadFactor is the added demand of the overload sequence as a multiple of the capacity.
	overloadFactor = 1.1
	overloadLength = 8 * time.Second
)

// releaseDuringCut releases both services while nothing gets into a failure domain, and then
// adds balancers and restarts all. docs/incidents/incomplete-view.md describes a day on which
// such a sequence reset flows of running servers.
func releaseDuringCut(ctx context.Context, d *deployment, seed uint64, logStep func(string)) {
	var work sync.WaitGroup
	defer work.Wait()
	sleep(ctx, timeBeforeCut)
	domain := domainName(int(seed % uint64(d.size.domains)))
	logStep("nothing gets into " + domain)
	work.Go(func() {
		sleep(ctx, releaseDelay)
		release(d, 0, d.size.orders)
	})
	work.Go(func() {
		sleep(ctx, releaseDelay)
		release(d, d.size.orders, d.size.downloads)
	})
	cutDomain(d, domain, standin.Cut{In: true}, cutLength)
	logStep("the cut has ended")
	sleep(ctx, stabilizationTime)
	logStep("balancers are added and restarted")
	for _, p := range d.balancers[d.size.balancers:] {
		restart(d, p)
	}
	sleep(ctx, seriesGap)
	inSeries(d.balancers, seriesGap, func(p *process) { restartGracefully(d, p) })
	<-ctx.Done()
}

// release replaces 45% of the servers of a service, whose VMs begin at an index, by servers on
// spare VMs.
func release(d *deployment, first, count int) {
	var replaced []int
	for i := range (count*45 + 99) / 100 {
		replaced = append(replaced, first+i)
	}
	inSeries(replaced, releaseGap, func(i int) {
		v := d.vms[i]
		if err := d.startVM(d.spares[i]); err != nil {
			d.checker.ReportViolation("replacement of %s: %v", v.process.name, err)
		}
		if server := v.detachServer(); server != nil {
			server.Drain(serveAfterDrain)
		}
		stopGracefully(d, v.process)
	})
}
