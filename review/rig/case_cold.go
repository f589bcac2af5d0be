//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// opening is an opening packet that a server took.
type opening struct{ sent, arrived time.Time }

// coldAgentKilled adds a server, which is cold, and kills the agent beside it right
// after a heartbeat that said so. The platform restarts the agent.
func coldAgentKilled(rec *record, trouble bool) error {
	const (
		calm      = 5 * time.Second
		coldStart = 5 * time.Second
		after     = 6 * time.Second
		coldPerS  = 4.0
		overshoot = 1.5
		slack     = 5.0
		pause     = 80 * time.Millisecond
		workers   = 16
	)
	var mu sync.Mutex
	sent := map[flowKey][3]time.Time{}
	taken := map[string][]opening{}
	onOpen := func(s *server, key flowKey, copyNumber uint32, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		cold := s.coldRemaining() > 0
		rec.logf("server %s takes flow %s, cold=%v", s.id, key.caller, cold)
		if cold {
			taken[s.id] = append(taken[s.id], opening{sent[key][min(copyNumber, 2)], at})
		}
	}
	d, _, err := build(rec, []string{"junin", "pasco"}, config{services: []string{"catalogo"}, timeoutMs: 5000, coldStart: coldStart, coldPerS: coldPerS},
		[]place{{0, "catalogo"}, {0, "catalogo"}, {1, "catalogo"}}, onOpen)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range workers {
		c, err := newCaller(d.zones[i%len(d.zones)], d.callerAddr(i), d.fabric, rec)
		if err != nil {
			return err
		}
		c.sentOpen = func(key flowKey, copyNumber uint32, at time.Time) {
			mu.Lock()
			defer mu.Unlock()
			times := sent[key]
			times[copyNumber] = at
			sent[key] = times
		}
		running.Go(func() { d.pull(c, i, d.route(0), pause, stop) })
	}
	time.Sleep(calm)
	rec.logf("a server is added in zone %s", d.zones[1])
	m, err := d.addMachine("side-pasco-4", 3, 1, "catalogo")
	if err != nil {
		return err
	}
	if err := m.agent.start(); err != nil {
		return err
	}
	if err := d.startServer(m, coldStart, onOpen); err != nil {
		return err
	}
	for m.server.confirmed.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
	if trouble {
		m.agent.kill()
		time.Sleep(restartDelay)
		if err := m.agent.start(); err != nil {
			return err
		}
	}
	time.Sleep(after)
	close(stop)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	limit := coldPerS*overshoot + slack
	for id, openings := range taken {
		most := mostInOneSecond(openings)
		rec.logf("cold server %s took %d flows while cold, at most %d in one second; the limit is %.0f", id, len(openings), most, limit)
		if float64(most) > limit {
			rec.violation("FAILBACK: the cold server %s got %d requests in one second; the limit is %.0f x %.1f + %.0f = %.0f", id, most, coldPerS, overshoot, slack, limit)
		}
	}
	return nil
}

// pull opens a flow for each request until stop.
func (d *deployment) pull(c *caller, worker int, route netip.AddrPort, pause time.Duration, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		f, result := c.open(route)
		if f == nil {
			c.rec.logf("caller %s opens a flow: %s", c.addr, result)
			c.rec.count("flows " + string(result))
			continue
		}
		id := fmt.Sprintf("r-%d-%d", worker, n)
		result, _ = f.request(id, time.Duration(d.config.timeoutMs)*time.Millisecond)
		c.rec.logf("caller %s sends request %s on flow %s: %s", c.addr, id, f.key.caller, result)
		c.rec.count("requests " + string(result))
		f.finish()
	}
}

// mostInOneSecond returns the largest number of openings that were sent and arrived
// inside one second.
func mostInOneSecond(openings []opening) int {
	most := 0
	for _, first := range openings {
		n := 0
		for _, o := range openings {
			if !o.sent.Before(first.sent) && !o.arrived.After(first.sent.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
