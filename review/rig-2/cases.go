//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"sync"
	"time"
)

// route returns the address of a route.
func route(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n)}), 8443)
}

// manifest returns a manifest with a route for each service.
func manifest(version int, coldPerS float64, kind string, services ...string) []byte {
	var routes, rows []map[string]any
	for i, service := range services {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "host": route(i + 1).Addr().String(), "prefix": fmt.Sprintf("/%d/", route(i+1).Port()), "kind": kind,
			"timeoutMs": 5000, "targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 2,
		})
		rows = append(rows, map[string]any{
			"name": service, "healthCheckPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false, "coldStartS": 6.0, "coldPerS": coldPerS,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": rows,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": idleTimeout.Milliseconds()},
	})
	return body
}

func repeat(service string, count int) []string {
	var list []string
	for range count {
		list = append(list, service)
	}
	return list
}

// The rolling restart: the time between two processes, the time from the end of a process to its
// next start, and the number of rounds.
const (
	rollGap      = 2800 * time.Millisecond
	restartDelay = 3 * time.Second
	rollRounds   = 3
)

// playRolling restarts all processes in turn, each by SIGTERM, while callers send requests on flows
// that they keep open. No server is touched.
func playRolling(r *record, trouble bool) error {
	d, err := newDeployment(r, size{
		zones: 3, balancersPerZone: 2, servers: repeat("catalogue", 10),
		manifest: func(*deployment) []byte { return manifest(3, 0, "download", "catalogue") },
	})
	if err != nil {
		return err
	}
	defer d.close()
	c, err := startPool(d, 30, pool{pause: 200 * time.Millisecond, jitter: 600 * time.Millisecond, limit: 5 * time.Second, renewAfter: 50 * time.Second})
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	for range rollRounds {
		if !trouble {
			time.Sleep(rollGap * time.Duration(len(d.vms)))
			continue
		}
		var agents, balancers []*process
		for _, v := range d.vms {
			agents = append(agents, v.agent)
		}
		balancers = append(balancers, d.balancers...)
		var rolls sync.WaitGroup
		rolls.Go(func() { roll(agents) })
		rolls.Go(func() { roll(balancers) })
		rolls.Wait()
		time.Sleep(time.Second)
	}
	c.finish()
	return nil
}

// roll restarts processes, one each rollGap, and waits until all have started again.
func roll(processes []*process) {
	var all sync.WaitGroup
	for _, p := range processes {
		all.Go(func() { p.restart(restartDelay) })
		time.Sleep(rollGap)
	}
	all.Wait()
}

// playLateBeat lets a server crash and start again at its address. Later its agent is restarted,
// and a heartbeat of the crashed server arrives that was delayed on its way.
func playLateBeat(r *record, trouble bool) error {
	d, err := newDeployment(r, size{
		zones: 2, balancersPerZone: 1, servers: repeat("orders", 4),
		manifest: func(*deployment) []byte { return manifest(3, 0, "unsafe", "orders") },
	})
	if err != nil {
		return err
	}
	defer d.close()
	c, err := startPool(d, 20, pool{pause: 200 * time.Millisecond, jitter: 600 * time.Millisecond, limit: 1200 * time.Millisecond, renewAfter: 8 * time.Second})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	v := d.vms[1]
	crashed := v.server
	d.disturb(v.ip)
	crashed.crash()
	delayed := crashed.beat()
	time.Sleep(500 * time.Millisecond)
	if err := v.startServer(); err != nil {
		return err
	}
	// The new server has registered and holds flows, and its VM has been calm for long.
	time.Sleep(3 * stableWindow)
	v.agent.restart(500 * time.Millisecond)
	if trouble {
		d.awaitListener(d.addr(v.ip, controlPort))
		r.printf("a delayed heartbeat of crashed server %s arrives", crashed.id)
		d.sendBeat(context.Background(), d.addr(v.ip, controlPort), crashed.id, delayed)
	}
	time.Sleep(8 * time.Second)
	c.finish()
	return nil
}

// The bounds of FAILBACK in the manifest and the settings.
const (
	coldPerS      = 10.0
	coldOvershoot = 1.5
	coldSlack     = 5
	coldLength    = 6 * time.Second
)

// playTakeBack evacuates a zone, lets its servers become cold and takes the zone back, while
// callers open a flow for each request.
func playTakeBack(r *record, trouble bool) error {
	d, err := newDeployment(r, size{
		zones: 2, balancersPerZone: 1, servers: repeat("orders", 4), coldLimit: coldPerS*coldOvershoot + coldSlack,
		manifest: func(*deployment) []byte { return manifest(3, coldPerS, "unsafe", "orders") },
	})
	if err != nil {
		return err
	}
	defer d.close()
	c, err := startPool(d, 30, pool{pause: 150 * time.Millisecond, jitter: 100 * time.Millisecond, limit: 1200 * time.Millisecond})
	if err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	const zone = "zone-1"
	for range 3 {
		if !trouble {
			time.Sleep(14 * time.Second)
			continue
		}
		r.printf("op/evacuate/%s is written", zone)
		d.store.SetDomainOut(zone, true)
		time.Sleep(8 * time.Second)
		for _, v := range d.vms {
			if v.zone == zone {
				v.server.setCold(coldLength)
				r.printf("server %s is cold for %s", v.server.id, coldLength)
			}
		}
		time.Sleep(300 * time.Millisecond)
		r.printf("op/evacuate/%s is removed", zone)
		d.store.SetDomainOut(zone, false)
		time.Sleep(6 * time.Second)
	}
	c.finish()
	return nil
}
