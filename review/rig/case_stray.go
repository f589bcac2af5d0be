//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// strayHeartbeat sends one heartbeat of another writer, with a service that the
// manifest does not name, to the agent of a running server whose flows are open.
func strayHeartbeat(rec *record, trouble bool) error {
	const (
		callers   = 4
		flowsEach = 12
		calm      = 8 * time.Second
		after     = 10 * time.Second
		pause     = 400 * time.Millisecond
	)
	d, _, err := build(rec, []string{"junin", "pasco"}, config{services: []string{"pedidos"}, timeoutMs: 1200},
		[]place{{0, "pedidos"}, {0, "pedidos"}, {1, "pedidos"}, {1, "pedidos"}}, func(*server, flowKey, uint32, time.Time) {})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range callers {
		c, err := newCaller(d.zones[i%len(d.zones)], d.callerAddr(i), d.fabric, rec)
		if err != nil {
			return err
		}
		c.onReset = func(key flowKey) {
			if s := d.serverOf(key); s != nil {
				rec.violation("FLOW: the open flow %s to %s is reset by the system while its server %s lives and holds it", key.caller, key.route, s.id)
			}
		}
		for n := range flowsEach {
			running.Go(func() { d.useFlow(c, fmt.Sprintf("r-%d-%d", i, n), pause, stop) })
		}
	}
	time.Sleep(calm)
	target, open := d.machines[0], d.openFlows()
	for _, m := range d.machines {
		if open[m.server.id] > open[target.server.id] {
			target = m
		}
	}
	rec.logf("open flows by server: %v", open)
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"service": "other5c1", "address": d.ip(1, 100).String() + ":8165", "zone": "elsewhere", "version": "v1", "slots": 2,
			"state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		})
		status, err := putHeartbeat(context.Background(), target.server.control, "i-9999", body)
		rec.logf("another writer sends a heartbeat to the agent of %s: %s: status %d %s", target.server.id, body, status, errorText(err))
	}
	time.Sleep(after)
	close(stop)
	running.Wait()
	rec.logf("flows open at the end: %v", d.openFlows())
	return nil
}

// useFlow keeps a flow open and sends a request after each pause; it opens a new flow
// when the last one has ended.
func (d *deployment) useFlow(c *caller, name string, pause time.Duration, stop <-chan struct{}) {
	var f *callerFlow
	for n := 0; ; n++ {
		select {
		case <-stop:
			if f != nil {
				f.finish()
			}
			return
		case <-time.After(pause):
		}
		if f == nil {
			opened, result := c.open(d.route(0))
			if opened == nil {
				c.rec.logf("caller %s opens a flow: %s", c.addr, result)
				continue
			}
			f = opened
		}
		id := fmt.Sprintf("%s-%d", name, n)
		result, _ := f.request(id, time.Duration(d.config.timeoutMs)*time.Millisecond)
		c.rec.logf("caller %s sends request %s on flow %s: %s", c.addr, id, f.key.caller, result)
		c.rec.count("requests " + string(result))
		if result != served {
			c.forget(f)
			f = nil
		}
	}
}
