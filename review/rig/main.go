//go:build review

package main

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name.
var cases = map[string]func(rec *record, trouble bool) error{
	"stray-heartbeat":   strayHeartbeat,
	"cold-agent-killed": coldAgentKilled,
	"frozen-balancer":   frozenBalancer,
}

// main plays the case that the first argument names, and writes record.txt into the
// folder that the second one names.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(exitFailed)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.logf("the case could not run: %v", err)
	}
	rec.close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(exitFailed)
	case len(rec.violations) > 0:
		fmt.Printf("the rule was broken %d times; the first: %s\n", len(rec.violations), rec.violations[0])
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}

// place is a machine of a case: the zone and the service of its server.
type place struct {
	zone    int
	service string
}

// openHook is called for each opening packet that a server takes.
type openHook func(s *server, key flowKey, copyNumber uint32, at time.Time)

// build starts a deployment with a balancer in each zone.
func build(rec *record, zones []string, c config, places []place, onOpen openHook) (*deployment, []*process, error) {
	d, err := newDeployment(rec, zones, c)
	if err != nil {
		return nil, nil, err
	}
	if c.routes == nil {
		c.routes = map[netip.AddrPort]string{}
		for i, service := range c.services {
			c.routes[d.route(i)] = service
		}
	}
	d.writeManifest(c)
	var balancers []*process
	for zone := range zones {
		b, err := d.addBalancer(zone)
		if err != nil {
			return d, nil, err
		}
		balancers = append(balancers, b)
	}
	for i, p := range places {
		m, err := d.addMachine(fmt.Sprintf("side-%s-%d", zones[p.zone], i+1), i, p.zone, p.service)
		if err != nil {
			return d, nil, err
		}
		if err := m.agent.start(); err != nil {
			return d, nil, err
		}
		if err := d.startServer(m, 0, onOpen); err != nil {
			return d, nil, err
		}
	}
	return d, balancers, d.waitReady()
}
