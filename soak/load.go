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
	// requestLimit is how long a caller waits for an answer.
	requestLimit = 1200 * time.Millisecond
	// requestPause is the mean pause between requests of a flow.
	requestPause = 120 * time.Millisecond
	// flowLife is the mean life of a long flow.
	flowLife     = 8 * time.Second
	orderSize    = 300
	downloadSize = 12000
)

// load runs callers until its context ends.
type load struct {
	d       *deployment
	callers []*standin.Caller
	done    sync.WaitGroup
}

// startLoad starts callers; each has a long flow and downloads now and then.
func startLoad(ctx context.Context, d *deployment, count int, seed uint64) (*load, error) {
	l := &load{d: d}
	for i := range count {
		at := netip.AddrPortFrom(d.size.address(callerNetwork, i), packetPort)
		c, err := standin.NewCaller(zoneName(i%d.size.zones), at, d.fabric, d.judge, d.alive)
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

// close waits for the callers to end.
func (l *load) close() {
	l.done.Wait()
	for _, c := range l.callers {
		c.Close()
	}
}

// run is one caller: long flows of orders and status, and flows for one download.
func (l *load) run(ctx context.Context, c *standin.Caller, random *rand.Rand, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		if random.IntN(4) == 0 {
			l.exchange(c, downloadsRoute, fmt.Sprintf("d%d.%d", i, n), downloadSize, false)
			continue
		}
		f := c.Open(ordersRoute)
		if f == nil {
			l.d.judge.Count("flows not opened")
			l.d.judge.RecordCompletion(false)
			pause(ctx, requestPause)
			continue
		}
		l.useFlow(ctx, c, f, random, fmt.Sprintf("o%d.%d", i, n))
		f.Close()
	}
}

// useFlow sends requests on a flow until it ends.
func (l *load) useFlow(ctx context.Context, c *standin.Caller, f *standin.Flow, random *rand.Rand, prefix string) {
	end := time.Now().Add(time.Duration(random.ExpFloat64() * float64(flowLife)))
	for n := 0; ctx.Err() == nil && time.Now().Before(end); n++ {
		unsafe := random.IntN(3) == 0
		id := fmt.Sprintf("%s.%d", prefix, n)
		outcome := f.Request(id, orderSize, unsafe, requestLimit)
		if outcome == standin.Shed || outcome == standin.Served {
			l.d.judge.RecordCompletion(outcome == standin.Served)
			pause(ctx, time.Duration(random.ExpFloat64()*float64(requestPause)))
			continue
		}
		l.d.judge.Count("requests not served on open flows")
		if !outcome.Retryable(unsafe) {
			l.d.judge.RecordCompletion(false)
		} else if l.exchange(c, ordersRoute, id, orderSize, unsafe) {
			l.d.judge.Count("requests served by a repeat")
		}
		return
	}
}

// exchange sends one request on a flow of its own and tells whether it was served.
func (l *load) exchange(c *standin.Caller, route passthrough.Endpoint, id string, size int, unsafe bool) bool {
	f := c.Open(route)
	if f == nil {
		l.d.judge.Count("flows not opened")
		l.d.judge.RecordCompletion(false)
		return false
	}
	defer f.Close()
	served := f.Request(id, size, unsafe, 2*requestLimit) == standin.Served
	l.d.judge.RecordCompletion(served)
	return served
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
