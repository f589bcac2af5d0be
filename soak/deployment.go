package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/platform/standin"
)

// Ports of all VMs.
const (
	packetPort    = 29000
	readinessPort = 29001
	controlPort   = 29002
	peerPort      = 29003
	outboundPort  = 29004
	backendPort   = 29005
	metricsPort   = 29006
	storePort     = 29007
	proxyPort     = 29008
)

const (
	heartbeat     = 500 * time.Millisecond
	startTimeout  = 10 * time.Second
	evacuateBound = 5 * time.Second
	// coldTime is how long a server is slow after its start.
	coldTime = time.Second
	// serveAfterDrain is how long a server goes on after its drain is confirmed.
	serveAfterDrain = 3500 * time.Millisecond
)

// size is how many processes a deployment has, and where on the loopback range: its
// balancers are at 127.network.0.0/16, its servers, callers and probes above.
type size struct {
	network                             byte
	zones, balancers, orders, downloads int
}

// Offsets of the second byte of addresses, from the network of the balancers.
const (
	serverNetwork = iota + 1
	callerNetwork
	probeNetwork
)

// address returns an address of the deployment.
func (s size) address(offset byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network + offset, byte(i / 250), byte(i%250 + 1)})
}

// storeHost is the last byte but one of the store's address.
const storeHost = 255

func (s size) store(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, storeHost, 1}), port)
}

// vm is a backend server with its agent.
type vm struct {
	process       *process
	service, zone string
	ip            netip.Addr

	mu     sync.Mutex
	server *standin.Server
	starts int
	// clockError is how far the clock of the next server is wrong.
	clockError time.Duration
	// draining tells that the former server is still leaving.
	draining bool
}

// deployment runs balancers and agents as processes among stand-ins.
type deployment struct {
	dir, program string
	size         size
	judge        *standin.Checker
	store        *standin.Store
	proxy        *standin.Proxy
	fabric       *standin.Fabric
	http         *http.Server
	balancers    []*process
	vms          []*vm

	mu      sync.Mutex
	version int
	routes  map[passthrough.Endpoint]string
	extra   int
	probes  int
	out     map[string]time.Time
}

var (
	ordersRoute    = endpoint("198.18.0.1:443")
	downloadsRoute = endpoint("198.18.0.2:443")
)

func endpoint(text string) passthrough.Endpoint {
	return passthrough.EndpointOf(netip.MustParseAddrPort(text))
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

// newDeployment starts the stand-ins and all processes.
func newDeployment(dir, program string, s size) (*deployment, error) {
	d := &deployment{
		dir: dir, program: program, size: s, judge: standin.NewChecker(), store: standin.NewStore(),
		routes: map[passthrough.Endpoint]string{ordersRoute: "orders", downloadsRoute: "downloads"},
		out:    map[string]time.Time{},
	}
	listener, err := net.Listen("tcp", s.store(storePort).String())
	if err != nil {
		return nil, err
	}
	d.http = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.http.Serve(listener) }()
	if d.proxy, err = standin.NewProxy(s.store(proxyPort).String(), listener.Addr().String()); err != nil {
		return nil, err
	}
	if d.fabric, err = standin.NewFabric(); err != nil {
		return nil, err
	}
	d.writeManifest()
	for i := range s.balancers {
		if err := d.addBalancer(i); err != nil {
			return nil, err
		}
	}
	for i := range s.orders + s.downloads {
		service := "orders"
		if i >= s.orders {
			service = "downloads"
		}
		if _, err := d.addVM(i, service); err != nil {
			return nil, err
		}
	}
	return d, d.waitReady()
}

// waitReady waits until every balancer is in rotation.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.fabric.Ready() == d.size.balancers {
			// The agents' first reports come a heartbeat later.
			time.Sleep(2 * heartbeat)
			return nil
		}
	}
	return fmt.Errorf("%d of %d balancers are ready after %s", d.fabric.Ready(), d.size.balancers, startTimeout)
}

// close ends everything.
func (d *deployment) close() {
	for _, p := range d.processes() {
		p.kill()
	}
	for _, v := range d.vms {
		v.crash()
	}
	d.fabric.Close()
	d.proxy.Close()
	_ = d.http.Close()
}

func (d *deployment) processes() []*process {
	all := append([]*process(nil), d.balancers...)
	for _, v := range d.vms {
		all = append(all, v.process)
	}
	return all
}

func at(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// commonSettings are the settings of every process.
func (d *deployment) commonSettings(name, zone string, ip netip.Addr) string {
	zones := ""
	for i := range d.size.zones {
		zones += fmt.Sprintf("%q, ", zoneName(i))
	}
	return fmt.Sprintf("name = %q\ndomain = %q\npacket = %q\ncontrol = %q\nstore = %q\nseeds = [%q]\n",
		name, zone, at(ip, packetPort), at(ip, controlPort), d.size.store(proxyPort), at(d.size.address(0, 0), controlPort)) + "%s" +
		fmt.Sprintf("[passthrough]\npeer = %q\ndomains = [%s]\nreadiness = %q\nmetrics = %q\nheartbeat = %q\n",
			at(ip, peerPort), zones, at(ip, readinessPort), at(ip, metricsPort), heartbeat)
}

func (d *deployment) addBalancer(i int) error {
	ip := d.size.address(0, i)
	zone, name := zoneName(i%d.size.zones), fmt.Sprintf("balancer-%d", i)
	text := fmt.Sprintf(d.commonSettings(name, zone, ip), "[balancer]\nstop_grace = \"1500ms\"\n")
	p := &process{name: name, program: d.program, role: "passthrough-balancer", dir: d.dir}
	if err := os.WriteFile(filepath.Join(d.dir, name+".toml"), []byte(text), 0o600); err != nil {
		return err
	}
	d.balancers = append(d.balancers, p)
	d.fabric.Add(standin.Balancer{Domain: zone, Packet: at(ip, packetPort), Readiness: at(ip, readinessPort)})
	return p.start()
}

func (d *deployment) addVM(i int, service string) (*vm, error) {
	ip := d.size.address(serverNetwork, i)
	zone, name := zoneName(i%d.size.zones), fmt.Sprintf("agent-%d", i)
	text := fmt.Sprintf(d.commonSettings(name, zone, ip), fmt.Sprintf("[agent]\nservice = %q\n", service)) +
		fmt.Sprintf("outbound = %q\nbackend = %q\n", at(ip, outboundPort), at(ip, backendPort))
	v := &vm{service: service, zone: zone, ip: ip, process: &process{name: name, program: d.program, role: "passthrough-agent", dir: d.dir}}
	if err := os.WriteFile(filepath.Join(d.dir, name+".toml"), []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.vms = append(d.vms, v)
	if err := v.process.start(); err != nil {
		return nil, err
	}
	return v, d.startServer(v)
}

// startServer starts a new incarnation of the server of a VM.
func (d *deployment) startServer(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = false
	v.starts++
	server, err := standin.StartServer(standin.ServerOptions{
		ID: fmt.Sprintf("%s-%s-%d", v.service, v.ip, v.starts), Service: v.service, Domain: v.zone,
		Listen: at(v.ip, backendPort), Outbound: at(v.ip, outboundPort), Control: at(v.ip, controlPort),
		Slots: 4, Queue: 8, ServiceTime: 5 * time.Millisecond, ColdDuration: coldTime, ClockError: v.clockError, HeartbeatInterval: heartbeat, Checker: d.judge,
		Routes:    func() map[passthrough.Endpoint]bool { return d.routesOf(v.service) },
		DomainOut: d.barred,
	})
	if err == nil {
		v.server = server
	}
	return err
}

func (v *vm) setClockError(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clockError = d
}

func (v *vm) crash() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.server != nil {
		v.server.Crash()
		v.server = nil
	}
}

// take removes the server of a VM, to drain it.
func (v *vm) take() *standin.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	server := v.server
	v.server, v.draining = nil, server != nil
	return server
}

func (v *vm) holds(flow passthrough.Flow) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.server != nil && v.server.Holds(flow)
}

// alive tells whether a living server holds a flow.
func (d *deployment) alive(flow passthrough.Flow) bool {
	for _, v := range d.vms {
		if v.holds(flow) {
			return true
		}
	}
	return false
}

func (d *deployment) routesOf(service string) map[passthrough.Endpoint]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	routes := map[passthrough.Endpoint]bool{}
	for route, name := range d.routes {
		routes[route] = routes[route] || name == service
	}
	return routes
}

func (d *deployment) barred(zone string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.out[zone]
	return ok && time.Since(since) > evacuateBound
}

// setOut takes a zone out or brings it back.
func (d *deployment) setOut(zone string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.SetDomainOut(zone, out)
	if out {
		d.out[zone] = time.Now()
		return
	}
	delete(d.out, zone)
}

// addRoute writes a manifest with one more route and returns its address.
func (d *deployment) addRoute() passthrough.Endpoint {
	d.mu.Lock()
	d.extra++
	route := endpoint(fmt.Sprintf("198.18.1.%d:443", d.extra%250+1))
	d.routes[route] = "orders"
	d.mu.Unlock()
	d.writeManifest()
	return route
}

// writeManifest writes the manifest of the present routes.
func (d *deployment) writeManifest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	if err := d.store.WriteManifest(d.version, d.routes); err != nil {
		d.judge.ReportViolation("manifest: %v", err)
	}
}
