package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/platform/standin"
)

const (
	// requestTimeout is the timeout of a request on an open flow.
	requestTimeout = 1200 * time.Millisecond
	// meanRequestPause is the mean interval between requests on a flow.
	meanRequestPause = 120 * time.Millisecond
	// meanFlowDuration is the mean duration of a long flow in a schedule.
	meanFlowDuration = 8 * time.Second
	orderBytes       = 300
	downloadBytes    = 12000
)

// load runs callers until its context is done.
type load struct {
	d       *deployment
	callers []*standin.Caller
	// flowDuration is the mean duration of a long flow.
	flowDuration time.Duration
	done         sync.WaitGroup
}

// startLoad starts callers. Each uses long flows and occasionally downloads.
func startLoad(ctx context.Context, d *deployment, count int, seed uint64, flowDuration time.Duration) (*load, error) {
	l := &load{d: d, flowDuration: flowDuration}
	for i := range count {
		at := netip.AddrPortFrom(d.size.address(callerNetwork, i), packetPort)
		c, err := standin.NewCaller(domainName(i%d.size.domains), at, d.fabric, d.checker, d.holderVM)
		if err != nil {
			return nil, err
		}
		l.callers = append(l.callers, c)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		l.done.Add(1)
		go func() { defer l.done.Done(); l.run(ctx, c, random, i) }()
	}
	return l, nil
}

// close waits for the callers to finish and closes them.
func (l *load) close() {
	l.done.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

// run runs one caller: long flows for orders, and flows for a single download.
func (l *load) run(ctx context.Context, c *standin.Caller, random *rand.Rand, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		if l.d.size.targets && random.IntN(2) == 0 {
			l.d.sendTimed(c, fmt.Sprintf("t%d.%d", i, n), random.IntN(3) == 0, "")
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanRequestPause)))
			continue
		}
		if random.IntN(4) == 0 {
			l.exchange(c, downloadsRoute, fmt.Sprintf("d%d.%d", i, n), downloadBytes, false)
			continue
		}
		f := c.Open(ordersRoute)
		if f == nil {
			l.d.checker.Count("flows not opened")
			l.d.checker.RecordCompletion(false)
			sleep(ctx, meanRequestPause)
			continue
		}
		l.useFlow(ctx, c, f, random, fmt.Sprintf("o%d.%d", i, n))
		f.Close()
	}
}

// useFlow sends requests on a flow for an exponentially distributed time, or until one
// is not served. It retries that request on a new flow if this is safe.
func (l *load) useFlow(ctx context.Context, c *standin.Caller, f *standin.Flow, random *rand.Rand, prefix string) {
	end := time.Now().Add(time.Duration(random.ExpFloat64() * float64(l.flowDuration)))
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		unsafe := random.IntN(3) == 0
		id := fmt.Sprintf("%s.%d", prefix, n)
		outcome := f.Request(id, orderBytes, unsafe, requestTimeout)
		if outcome == standin.Shed || outcome == standin.Served {
			l.d.checker.RecordCompletion(outcome == standin.Served)
			sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanRequestPause)))
			continue
		}
		l.d.checker.Count("requests not served on open flows")
		if !outcome.Retryable(unsafe) {
			l.d.checker.RecordCompletion(false)
		} else if l.exchange(c, ordersRoute, id, orderBytes, unsafe) {
			l.d.checker.Count("requests served by a retry")
		}
		return
	}
}

// exchange sends one request on a new flow and reports whether it was served.
func (l *load) exchange(c *standin.Caller, route passthrough.Endpoint, id string, size int, unsafe bool) bool {
	f := c.Open(route)
	if f == nil {
		l.d.checker.Count("flows not opened")
		l.d.checker.RecordCompletion(false)
		return false
	}
	defer f.Close()
	served := f.Request(id, size, unsafe, 2*requestTimeout) == standin.Served
	l.d.checker.RecordCompletion(served)
	return served
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
