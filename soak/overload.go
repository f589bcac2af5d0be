package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/platform/standin"
)

// Routes and servers of a deployment with latency targets. The service times are long, so that
// few requests per second exceed the capacity.
const (
	orderPriority  = 1
	queryPriority  = 2
	latencyTarget  = 400 * time.Millisecond
	downloadTarget = 800 * time.Millisecond
	timedSlots     = 2
	orderWork      = 50 * time.Millisecond
	downloadWork   = 5 * time.Millisecond
	// openAttempts is the number of flows that a caller opens for a request at most.
	openAttempts = 3
)

// queriesRoute is the route of queries in a deployment with latency targets.
var queriesRoute = endpoint("198.18.0.3:443")

// speeds are the factors on the service times of servers.
var speeds = []float64{0.6, 1.0, 1.6}

func routesWithoutTargets() map[passthrough.Endpoint]standin.Route {
	return map[passthrough.Endpoint]standin.Route{
		ordersRoute:    {Service: "orders", Kind: standin.Safe},
		downloadsRoute: {Service: "downloads", Kind: standin.Safe},
	}
}

func routesWithTargets() map[passthrough.Endpoint]standin.Route {
	return map[passthrough.Endpoint]standin.Route{
		ordersRoute:    {Service: "orders", Kind: standin.Unsafe, Priority: orderPriority, LatencyTarget: latencyTarget},
		queriesRoute:   {Service: "orders", Kind: standin.Safe, Priority: queryPriority, LatencyTarget: latencyTarget},
		downloadsRoute: {Service: "downloads", Kind: standin.Download, Priority: queryPriority, LatencyTarget: downloadTarget},
	}
}

// serverCapacity returns the slots and the service time of the servers of a VM. The calling
// function holds v.mu.
func (d *deployment) serverCapacity(v *vm) (slots int, serviceTime time.Duration) {
	if !d.size.targets {
		return 4, 5 * time.Millisecond
	}
	work := orderWork
	if v.service != "orders" {
		work = downloadWork
	}
	return timedSlots, time.Duration(v.speed * float64(work))
}

// capacity returns the number of requests per second that the running servers of orders can serve.
func (d *deployment) capacity() float64 {
	sum := 0.0
	for _, v := range d.vms {
		v.mu.Lock()
		if slots, serviceTime := d.serverCapacity(v); v.service == "orders" && v.server != nil {
			sum += float64(slots) / serviceTime.Seconds()
		}
		v.mu.Unlock()
	}
	return sum
}

// tally counts requests of one priority by what their callers got.
type tally struct{ inTime, late, refused, failed int }

func (t tally) total() float64 { return float64(t.inTime + t.late + t.refused + t.failed) }

// sendTimed sends an order or a query on a flow of its own, counts what the caller gets, and
// returns it. The request is sent again if it is known not to have run, for both kinds alike, so
// that their results can be compared.
func (d *deployment) sendTimed(c *standin.Caller, id string, unsafe bool, prefix string) tally {
	route, name := queriesRoute, "queries"
	if unsafe {
		route, name = ordersRoute, "orders"
	}
	started, outcome := time.Now(), standin.NotOpened
	for n := 0; n < openAttempts && outcome.Retryable(true); n++ {
		outcome = standin.NotOpened
		if f := c.Open(route); f != nil {
			outcome = f.Request(id, orderBytes, unsafe, requestTimeout)
			f.Close()
		}
	}
	d.checker.RecordCompletion(outcome == standin.Served)
	var result tally
	switch {
	case outcome == standin.Served && time.Since(started) <= latencyTarget:
		result.inTime, name = 1, name+" in time"
	case outcome == standin.Served:
		result.late, name = 1, name+" late"
	case outcome.Retryable(true):
		result.refused, name = 1, name+" refused"
	default:
		result.failed, name = 1, name+" failed"
	}
	d.checker.Count(prefix + name)
	return result
}

const (
	// orderInterval is the number of requests of the added demand of which one is an order.
	orderInterval = 5
	// comparisonSize is the number of orders from which the results of orders and queries are
	// compared, comparisonSlack the difference of their shares that may be chance.
	comparisonSize  = 100
	comparisonSlack = 0.1
)

// overload adds demand of a multiple of the capacity to that of the other callers for a time, and
// checks that orders are served no worse than queries. In a deployment without targets it does nothing.
func overload(d *deployment, r *rand.Rand, factor float64, length time.Duration) {
	if !d.size.targets {
		return
	}
	d.demand.Lock()
	defer d.demand.Unlock()
	var callers []*standin.Caller
	for i := range d.size.domains {
		c, err := d.newProbe(domainName(i))
		if err != nil {
			d.checker.ReportViolation("caller: %v", err)
			return
		}
		defer c.Close()
		callers = append(callers, c)
	}
	var (
		running         sync.WaitGroup
		mu              sync.Mutex
		orders, queries tally
	)
	started, at := time.Now(), time.Duration(0)
	rate := factor * d.capacity()
	for n := 0; at < length; n++ {
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		c, unsafe := callers[r.IntN(len(callers))], n%orderInterval == 0
		id := fmt.Sprintf("%s.%d", c.LastPort(), n)
		time.Sleep(time.Until(started.Add(at)))
		running.Go(func() {
			result, sum := d.sendTimed(c, id, unsafe, "overload: "), &queries
			if unsafe {
				sum = &orders
			}
			mu.Lock()
			defer mu.Unlock()
			sum.inTime, sum.late = sum.inTime+result.inTime, sum.late+result.late
			sum.refused, sum.failed = sum.refused+result.refused, sum.failed+result.failed
		})
	}
	running.Wait()
	// A fault of one VM concerns few of the requests. One of the whole deployment may concern more
	// orders than queries by chance.
	if orders.total() < comparisonSize || !d.checker.InTouchSince(started, netip.Addr{}) {
		return
	}
	d.checker.Count("overload: comparisons of orders with queries")
	compareWithQueries(d, orders, queries)
}

// compareWithQueries checks that the shares of orders served in time and served at all are not
// below those of queries.
func compareWithQueries(d *deployment, orders, queries tally) {
	compare := func(name string, served func(tally) int) {
		orderShare, queryShare := float64(served(orders))/orders.total(), float64(served(queries))/queries.total()
		if orderShare < queryShare-comparisonSlack {
			d.checker.ReportViolation("orders were served worse than queries under overload: %.3f and %.3f of them %s", orderShare, queryShare, name)
		}
	}
	compare("in time", func(t tally) int { return t.inTime })
	compare("at all", func(t tally) int { return t.inTime + t.late })
}
