//go:build review

// Command rig-2 plays the scripted cases 6 to 10 of the review: a small deployment of the
// project's own programs among stand-ins of callers, servers and the platform.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"sync"
	"time"
)

// scenario plays a case. trouble is false if the disturbance is to be left out.
type scenario func(r *record, trouble bool) error

var scenarios = map[string]scenario{
	"rolling":   playRolling,
	"take-back": playTakeBack,
	"late-beat": playLateBeat,
}

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

func main() {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "file that lists what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *path))
}

func run(name, path string) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return cannotRun
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disturbance %t", name, trouble)
	if err := play(r, trouble); err != nil {
		r.printf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	broken := r.breaches()
	for _, b := range broken {
		fmt.Println(b)
	}
	fmt.Printf("case %s, disturbance %t: rule broken %d times\n", name, trouble, len(broken))
	r.printf("rule broken %d times", len(broken))
	if len(broken) > 0 {
		return ruleBroken
	}
	return ruleHeld
}

// tally counts the outcomes of requests.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[outcome]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprint(t.counts)
}

// pool says how callers use their flows.
type pool struct {
	// pause and up to jitter more pass between two requests of a caller.
	pause, jitter time.Duration
	// limit is the time limit of a request.
	limit time.Duration
	// renewAfter is the age at which a caller closes a flow and opens another; 0 for a flow for
	// each request.
	renewAfter time.Duration
}

// callers are the running callers of a deployment.
type callers struct {
	d    *deployment
	stop chan struct{}
	all  sync.WaitGroup
	tally
}

// startPool starts a number of callers in each zone.
func startPool(d *deployment, perZone int, p pool) (*callers, error) {
	c := &callers{d: d, stop: make(chan struct{})}
	for z, zone := range d.zones {
		h, err := newCallerHost(d, zone, d.ip(callerNet, 1+z))
		if err != nil {
			return nil, err
		}
		for range perZone {
			c.all.Go(func() { c.use(h, route(1), p) })
		}
	}
	return c, nil
}

// finish stops the callers and reports the outcomes of their requests.
func (c *callers) finish() {
	close(c.stop)
	c.all.Wait()
	c.d.record.printf("requests: %s", &c.tally)
	fmt.Println("requests:", &c.tally)
}

// use sends requests until the callers are stopped.
func (c *callers) use(h *callerHost, route netip.AddrPort, p pool) {
	var f *callerFlow
	var openedAt time.Time
	for {
		select {
		case <-c.stop:
			if f != nil {
				f.finish()
			}
			return
		case <-time.After(p.pause + rand.N(p.jitter)):
		}
		if f != nil && time.Since(openedAt) > p.renewAfter {
			f.finish()
			f = nil
		}
		if f == nil {
			if f = h.open(route); f == nil {
				c.add("not opened")
				continue
			}
			openedAt = time.Now()
		}
		outcome := f.request(newRequestID(), p.limit)
		c.add(outcome)
		if outcome != served {
			f.forget()
			f = nil
		}
	}
}
