//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"bergamotbank/platform/standin"
)

// Ports on every machine; each machine has a loopback address of its own.
const (
	packetPort    = 8172
	readinessPort = 8167
	controlPort   = 8166
	outboundPort  = 8162
	peerPort      = 7720
	metricsPort   = 9600
	appPort       = 8165
	storePort     = 8169
)

// Values of the settings and the manifest, as in the site aaco-aretes.
const (
	heartbeatInterval = 1200 * time.Millisecond
	healthPath        = "/health"
	slots             = 2
)

// deployment is a small deployment with its platform.
type deployment struct {
	dir    string
	net    byte
	rec    *record
	store  *standin.Store
	fabric *standin.Fabric
	zones  []string
	seeds  []string

	mu        sync.Mutex
	processes []*process
	machines  []*machine
	version   int
	config    config
	inForce   map[netip.AddrPort]map[string]bool
}

// config is what the operator's manifest says.
type config struct {
	// routes maps the addresses of routes to services.
	routes    map[netip.AddrPort]string
	services  []string
	coldStart time.Duration
	coldPerS  float64
	timeoutMs int
}

// machine is a machine with a server and an agent.
type machine struct {
	name, zone, service string
	ip                  netip.Addr
	agent               *process
	server              *server
}

func newDeployment(rec *record, zones []string, c config) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, store: standin.NewStore(), zones: zones, config: c, inForce: map[netip.AddrPort]map[string]bool{}}
	if err := d.serveStore(); err != nil {
		return nil, err
	}
	if d.fabric, err = standin.NewFabric(); err != nil {
		return nil, err
	}
	for i := range zones {
		d.seeds = append(d.seeds, fmt.Sprintf("%s:%d", d.balancerIP(i), controlPort))
	}
	return d, nil
}

// serveStore serves the store in a loopback network whose addresses are free.
func (d *deployment) serveStore() error {
	var err error
	for range 50 {
		d.net = byte(20 + rand.IntN(200))
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip(9, 1), storePort)); err != nil {
			continue
		}
		go func() { _ = (&http.Server{Handler: d.store}).Serve(listener) }()
		return nil
	}
	return err
}

func (d *deployment) ip(part byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.net, part, byte(i + 1)})
}

func (d *deployment) balancerIP(i int) netip.Addr { return d.ip(0, i) }

// route returns the address of a route.
func (d *deployment) route(i int) netip.AddrPort { return netip.AddrPortFrom(d.ip(7, i), 443) }

// writeManifest writes the next version of the manifest.
func (d *deployment) writeManifest(c config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = c
	d.version += 3
	var routes, services []map[string]any
	for address, service := range c.routes {
		if d.inForce[address] == nil {
			d.inForce[address] = map[string]bool{}
		}
		d.inForce[address][service] = true
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": address.Addr().String(), "prefix": fmt.Sprintf("/%d/", address.Port()), "kind": "unsafe",
			"timeoutMs": c.timeoutMs, "targetLatencyMs": 150, "priority": 1, "service": service, "maxAttempts": 2,
		})
	}
	for _, service := range c.services {
		services = append(services, map[string]any{
			"name": service, "healthCheckPath": healthPath, "maxConnections": 2000, "protocol": "h1", "tls": false,
			"coldStartS": c.coldStart.Seconds(), "coldPerS": c.coldPerS,
		})
	}
	body, _ := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	d.store.Write("op/config", body)
	d.rec.logf("operator writes version %d", d.version)
}

// allowed reports whether any manifest sent the route to the service.
func (d *deployment) allowed(route netip.AddrPort, service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForce[route][service]
}

// settings renders the template of a role as the platform does.
func (d *deployment) settings(template, name, zone, service string, ip netip.Addr) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var quoted []string
	for _, z := range d.zones {
		quoted = append(quoted, strconv.Quote(z))
	}
	seeds, _ := json.Marshal(d.seeds)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	return strings.NewReplacer(
		"{{nodeName}}", name, "{{zone}}", zone, "{{service}}", service, "{{listen.datagramAddress}}", at(packetPort),
		"{{listen.control}}", at(controlPort), "{{listen.readinessAddress}}", at(readinessPort), "{{listen.outbound}}", at(outboundPort),
		"{{platform.address}}", fmt.Sprintf("%s:%d", d.ip(9, 1), storePort), "{{seeds|json}}", string(seeds),
		"{{ipAddress}}", ip.String(), "{{internalPortRange.0}}", strconv.Itoa(peerPort), "{{app}}", at(appPort),
		"{{#zones}}\"{{@}}\"{{,}}{{/zones}}", strings.Join(quoted, ", "), "{{heartbeatIntervalMs}}", strconv.FormatInt(heartbeatInterval.Milliseconds(), 10),
		"{{bounds.flowLifetimeS}}", "60", "{{platform.minTtlMs}}", "1000",
	).Replace(string(text)), nil
}

// newProcess prepares a process of a role with the command of the deploy file.
func (d *deployment) newProcess(role, template, name, zone, service string, ip netip.Addr) (*process, error) {
	text, err := d.settings(template, name, zone, service, ip)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(d.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, dir: d.dir, rec: d.rec, args: []string{"target/bergamotd", role, "--settings", file}, onEnd: d.endedByItself}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, nil
}

// restartDelay is the delay after which the platform restarts a process that ended.
const restartDelay = 500 * time.Millisecond

func (d *deployment) endedByItself(p *process, text string) {
	d.rec.count("processes that ended by themselves")
	d.rec.logf("process %s ends by itself: %s", p.name, text)
	time.AfterFunc(restartDelay, func() { _ = p.start() })
}

// addBalancer starts the balancer of a zone.
func (d *deployment) addBalancer(zone int) (*process, error) {
	ip := d.balancerIP(zone)
	p, err := d.newProcess("passthrough-balancer", "deploy/balancer.toml.tmpl", fmt.Sprintf("frontend-%s-1", d.zones[zone]), d.zones[zone], "", ip)
	if err != nil {
		return nil, err
	}
	d.fabric.Add(standin.Balancer{Domain: d.zones[zone], Packet: netip.AddrPortFrom(ip, packetPort), Readiness: netip.AddrPortFrom(ip, readinessPort)})
	return p, p.start()
}

// addMachine prepares a machine beside whose server an agent runs.
func (d *deployment) addMachine(name string, index, zone int, service string) (*machine, error) {
	m := &machine{name: name, zone: d.zones[zone], service: service, ip: d.ip(1, index)}
	var err error
	m.agent, err = d.newProcess("passthrough-agent", "deploy/agent.toml.tmpl", name, m.zone, service, m.ip)
	d.mu.Lock()
	d.machines = append(d.machines, m)
	d.mu.Unlock()
	return m, err
}

var serverNumber int

// startServer starts a server on a machine.
func (d *deployment) startServer(m *machine, coldFor time.Duration, onOpen func(*server, flowKey, uint32, time.Time)) error {
	serverNumber++
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(m.ip, port) }
	s, err := startServer(serverOptions{
		id: fmt.Sprintf("i-%04x", 0x1000+serverNumber), service: m.service, zone: m.zone, app: at(appPort), outbound: at(outboundPort), control: at(controlPort),
		slots: slots, work: 10 * time.Millisecond, coldFor: coldFor, heartbeat: heartbeatInterval, rec: d.rec, onOpen: onOpen,
	})
	m.server = s
	return err
}

// waitReady waits until all balancers are in rotation.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.fabric.Ready() == len(d.zones) {
			time.Sleep(2 * heartbeatInterval)
			return nil
		}
	}
	return fmt.Errorf("%d of %d balancers are ready", d.fabric.Ready(), len(d.zones))
}

// serverOf returns the server that runs and holds an open flow, nil for none.
func (d *deployment) serverOf(key flowKey) *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.machines {
		if m.server != nil && m.server.holds(key) {
			return m.server
		}
	}
	return nil
}

// close ends all processes that the rig started.
func (d *deployment) close() {
	d.mu.Lock()
	processes, machines := d.processes, d.machines
	d.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, m := range machines {
		if m.server != nil && m.server.running.Load() {
			m.server.crash()
		}
	}
	d.fabric.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}

// callerAddr is the address of a caller, whose packets arrive at the port of the
// balancers.
func (d *deployment) callerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(d.ip(2, i), packetPort)
}

// openFlows returns the number of open flows by server.
func (d *deployment) openFlows() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	open := map[string]int{}
	for _, m := range d.machines {
		if m.server == nil {
			continue
		}
		m.server.mu.Lock()
		for _, f := range m.server.flows {
			if f.open && !f.ended {
				open[m.server.id]++
			}
		}
		m.server.mu.Unlock()
	}
	return open
}
