//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// frozenBalancer freezes a balancer while a server ends for good and its address goes
// to a server of another service. The manifest changes afterwards.
func frozenBalancer(rec *record, trouble bool) error {
	const (
		calm      = 6 * time.Second
		freeze    = 2750 * time.Millisecond
		unnoticed = 100 * time.Millisecond
		reuse     = 2 * time.Second
		stormFor  = 4 * time.Second
		stormGap  = 330 * time.Millisecond
		pause     = 60 * time.Millisecond
		workers   = 16
		afterWake = 2 * time.Second
	)
	c := config{services: []string{"pedidos", "catalogo"}, timeoutMs: 1200}
	var d *deployment
	onOpen := func(s *server, key flowKey, _ uint32, _ time.Time) {
		rec.logf("server %s (%s) takes flow %s to %s", s.id, s.service, key.caller, key.route)
		if !d.allowed(key.route, s.service) {
			rec.violation("ROUTE: server %s of service %s takes the flow %s to %s, which no manifest sends to that service", s.id, s.service, key.caller, key.route)
		}
	}
	d, balancers, err := build(rec, []string{"junin", "pasco"}, c, []place{{0, "pedidos"}, {0, "catalogo"}, {1, "pedidos"}, {1, "catalogo"}},
		func(s *server, key flowKey, n uint32, at time.Time) { onOpen(s, key, n, at) })
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return err
	}
	c = d.config
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range workers {
		caller, err := newCaller(d.zones[0], d.callerAddr(i), d.fabric, rec)
		if err != nil {
			return err
		}
		running.Go(func() { d.pull(caller, i, d.route(i%2), pause, stop) })
	}
	time.Sleep(calm)
	if trouble {
		old := d.machines[0]
		rec.logf("machine %s is lost", old.name)
		old.agent.kill()
		old.server.crash()
		time.Sleep(unnoticed)
		rec.logf("machine %s freezes", balancers[0].name)
		balancers[0].signal(syscall.SIGSTOP)
		time.Sleep(reuse - unnoticed)
		m, err := d.addMachine("side-junin-5", 0, 0, "catalogo")
		if err != nil {
			return err
		}
		rec.logf("the address of %s goes to %s of service catalogo", old.name, m.name)
		if err := m.agent.start(); err != nil {
			return err
		}
		if err := d.startServer(m, 0, onOpen); err != nil {
			return err
		}
		time.Sleep(unnoticed + freeze - reuse)
		rec.logf("machine %s wakes", balancers[0].name)
		balancers[0].signal(syscall.SIGCONT)
	} else {
		time.Sleep(unnoticed + freeze)
	}
	time.Sleep(afterWake)
	for end := time.Now().Add(stormFor); time.Now().Before(end); time.Sleep(stormGap) {
		c.timeoutMs += 10
		d.writeManifest(c)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	running.Wait()
	rec.logf("flows open at the end: %v", d.openFlows())
	fmt.Printf("processes that ended by themselves: %d\n", rec.counts["processes that ended by themselves"])
	return nil
}
