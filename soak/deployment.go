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

// Ports used on every VM.
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
	// announcedPort is the peer port that processes announce; the network relays it.
	announcedPort = 29009
)

const (
	heartbeatInterval = 500 * time.Millisecond
	startTimeout      = 10 * time.Second
	domainOutGrace    = 5 * time.Second
	// coldDuration is the time after its start during which a server is slow.
	coldDuration = time.Second
	// serveAfterDrain is the time for which a server keeps serving after its drain is
	// confirmed.
	serveAfterDrain = 3500 * time.Millisecond
)

// deploymentSize is the number of processes of a deployment and their loopback
// network: balancers use 127.network.0.0/16; servers, callers and probes use the next
// networks.
type deploymentSize struct {
	network                               byte
	domains, balancers, orders, downloads int
	// spareBalancers is the number of balancers that are not started with the deployment;
	// spareVMs adds such a VM for each of a backend server.
	spareBalancers int
	spareVMs       bool
	// relayed is true if a network relays what the processes send to each other.
	relayed bool
	// targets is true if routes have priorities and latency targets, servers have different
	// speeds, and callers open a flow for each request on a share of their requests.
	targets bool
}

// Offsets of the second address byte, relative to the network of the balancers.
const (
	serverNetwork = iota + 1
	callerNetwork
	probeNetwork
)

// address returns the address with index i in the network at an offset.
func (s deploymentSize) address(offset byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network + offset, byte(i / 250), byte(i%250 + 1)})
}

// storeHost is the third byte of the store's address.
const storeHost = 255

func (s deploymentSize) store(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, storeHost, 1}), port)
}

// vm is a simulated VM with a backend server and its agent.
type vm struct {
	process         *process
	service, domain string
	ip              netip.Addr
	// speed is the factor on the service times of its servers, if routes have targets.
	speed float64

	mu     sync.Mutex
	server *standin.Server
	starts int
	// clockError is the clock error of the next server.
	clockError time.Duration
	// draining is true if the previous server is still draining.
	draining bool
}

// deployment runs balancers and agents as processes, with test doubles of the
// platform's services.
type deployment struct {
	dir, program string
	size         deploymentSize
	checker      *standin.Checker
	store        *standin.Store
	proxy        *standin.Proxy
	fabric       *standin.Fabric
	network      *standin.Network
	http         *http.Server
	balancers    []*process
	vms          []*vm
	// spares are the VMs among vms that are not started with the deployment.
	spares []*vm

	mu          sync.Mutex
	version     int
	routes      map[passthrough.Endpoint]standin.Route
	addedRoutes int
	probes      int
	outSince    map[string]time.Time
	// demand is held for reading while a check needs spare capacity, and for writing while
	// the demand exceeds the capacity.
	demand sync.RWMutex
}

var (
	ordersRoute    = endpoint("198.18.0.1:443")
	downloadsRoute = endpoint("198.18.0.2:443")
)

func endpoint(text string) passthrough.Endpoint {
	return passthrough.EndpointOf(netip.MustParseAddrPort(text))
}

func domainName(i int) string { return fmt.Sprintf("zone-%d", i) }

// newDeployment starts the test doubles and all processes.
func newDeployment(dir, program string, s deploymentSize) (*deployment, error) {
	d := &deployment{
		dir: dir, program: program, size: s, checker: standin.NewChecker(), store: standin.NewStore(),
		routes:   routesWithoutTargets(),
		outSince: map[string]time.Time{},
	}
	if s.targets {
		d.routes = routesWithTargets()
	}
	d.network = standin.NewNetwork(d.relaysStalled)
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
	for i := range s.balancers + s.spareBalancers {
		if err := d.addBalancer(i); err != nil {
			return nil, err
		}
	}
	count := s.orders + s.downloads
	for i := range count {
		if err := d.addVM(i, i, false); err != nil {
			return nil, err
		}
	}
	for i := 0; s.spareVMs && i < count; i++ {
		if err := d.addVM(count+i, i, true); err != nil {
			return nil, err
		}
	}
	return d, d.waitReady()
}

// waitReady waits until all balancers are in rotation.
func (d *deployment) waitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.fabric.Ready() == d.size.balancers {
			// The first heartbeats of the agents arrive one interval later.
			time.Sleep(2 * heartbeatInterval)
			return nil
		}
	}
	return fmt.Errorf("%d of %d balancers are ready after %s", d.fabric.Ready(), d.size.balancers, startTimeout)
}

// close terminates all processes and test doubles.
func (d *deployment) close() {
	for _, p := range d.processes() {
		p.kill()
	}
	for _, v := range d.vms {
		v.crash()
	}
	d.fabric.Close()
	d.network.Close()
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

func addrPort(ip netip.Addr, port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }

// commonSettings returns the settings that all processes share, with a %s verb for the
// settings of the role.
func (d *deployment) commonSettings(name, domain string, ip netip.Addr) string {
	domains := ""
	for i := range d.size.domains {
		domains += fmt.Sprintf("%q, ", domainName(i))
	}
	return fmt.Sprintf("name = %q\ndomain = %q\npacket = %q\ncontrol = %q\nstore = %q\nseeds = [%q]\n",
		name, domain, addrPort(ip, packetPort), addrPort(ip, controlPort), d.size.store(proxyPort), addrPort(d.size.address(0, 0), controlPort)) + "%s" +
		fmt.Sprintf("[passthrough]\npeer = %q\nannounce = %q\ndomains = [%s]\nreadiness = %q\nmetrics = %q\nheartbeat = %q\n",
			addrPort(ip, peerPort), d.announced(ip), domains, addrPort(ip, readinessPort), addrPort(ip, metricsPort), heartbeatInterval)
}

// announced returns the peer address that a process announces.
func (d *deployment) announced(ip netip.Addr) netip.AddrPort {
	if d.size.relayed {
		return addrPort(ip, announcedPort)
	}
	return addrPort(ip, peerPort)
}

// relay relays what is sent to a process, if the deployment is relayed.
func (d *deployment) relay(domain string, ip netip.Addr) error {
	if !d.size.relayed {
		return nil
	}
	return d.network.Add(domain, d.announced(ip), addrPort(ip, peerPort))
}

// relaysStalled records that the soak test itself has cut off all processes from each other.
func (d *deployment) relaysStalled(length time.Duration) {
	if d.size.relayed {
		d.checker.Count("stalls of the relays")
		d.checker.Disturb(fmt.Sprintf("relays stalled for %s", length), stabilizationTime)
	}
}

func (d *deployment) addBalancer(i int) error {
	ip := d.size.address(0, i)
	domain, name := domainName(i%d.size.domains), fmt.Sprintf("balancer-%d", i)
	text := fmt.Sprintf(d.commonSettings(name, domain, ip), "[balancer]\nstop_grace = \"1500ms\"\n")
	p := d.newProcess(name, "passthrough-balancer", domain, ip)
	if err := d.relay(domain, ip); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(d.dir, name+".toml"), []byte(text), 0o600); err != nil {
		return err
	}
	d.balancers = append(d.balancers, p)
	d.fabric.Add(standin.Balancer{Domain: domain, Packet: addrPort(ip, packetPort), Readiness: addrPort(ip, readinessPort)})
	if i >= d.size.balancers {
		return nil
	}
	return p.start()
}

// addVM adds the VM with index i, with the service and domain of the VM with index like.
func (d *deployment) addVM(i, like int, spare bool) error {
	ip, service := d.size.address(serverNetwork, i), "orders"
	if like >= d.size.orders {
		service = "downloads"
	}
	domain, name := domainName(like%d.size.domains), fmt.Sprintf("agent-%d", i)
	v := &vm{domain: domain, ip: ip, speed: speeds[like/2%len(speeds)], process: d.newProcess(name, "passthrough-agent", domain, ip)}
	if err := d.relay(domain, ip); err != nil {
		return err
	}
	if err := d.setService(v, service); err != nil {
		return err
	}
	d.vms = append(d.vms, v)
	if spare {
		d.spares = append(d.spares, v)
		return nil
	}
	return d.startVM(v)
}

// startVM starts the agent and the server of a VM.
func (d *deployment) startVM(v *vm) error {
	if err := v.process.start(); err != nil {
		return err
	}
	return d.startServer(v)
}

func (d *deployment) newProcess(name, role, domain string, ip netip.Addr) *process {
	return &process{name: name, ip: ip, domain: domain, program: d.program, role: role, dir: d.dir, onUnexpectedEnd: d.processEnded}
}

// setService sets the service of a VM and writes the settings of its agent.
func (d *deployment) setService(v *vm, service string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service = service
	text := fmt.Sprintf(d.commonSettings(v.process.name, v.domain, v.ip), fmt.Sprintf("[agent]\nservice = %q\n", service)) +
		fmt.Sprintf("outbound = %q\nbackend = %q\n", addrPort(v.ip, outboundPort), addrPort(v.ip, backendPort))
	return os.WriteFile(filepath.Join(d.dir, v.process.name+".toml"), []byte(text), 0o600)
}

// servers returns the number of VMs of a service.
func (d *deployment) servers(service string) int {
	count := 0
	for _, v := range d.vms {
		if v.serves(service) {
			count++
		}
	}
	return count
}

// serves reports whether the VM is one of a service.
func (v *vm) serves(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.service == service
}

// startServer starts a new backend server on a VM.
func (d *deployment) startServer(v *vm) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.draining = false
	v.starts++
	service := v.service
	slots, serviceTime := d.serverCapacity(v)
	server, err := standin.StartServer(standin.ServerOptions{
		ID: fmt.Sprintf("%s-%s-%d", service, v.ip, v.starts), Service: service, Domain: v.domain,
		Listen: addrPort(v.ip, backendPort), Outbound: addrPort(v.ip, outboundPort), Control: addrPort(v.ip, controlPort),
		Slots: slots, Queue: 8, ServiceTime: serviceTime, ColdDuration: coldDuration, ClockError: v.clockError, HeartbeatInterval: heartbeatInterval, Checker: d.checker,
		Routes:    func() map[passthrough.Endpoint]bool { return d.routesOf(service) },
		DomainOut: d.domainOut,
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

// detachServer removes the server from the VM and returns it, to be drained; nil if
// there is none.
func (v *vm) detachServer() *standin.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	server := v.server
	if server != nil {
		v.server, v.draining = nil, true
	}
	return server
}

func (v *vm) holds(flow passthrough.Flow) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.server != nil && v.server.Holds(flow)
}

// holderVM returns the VM of the running server that holds a flow, and false if there is none.
func (d *deployment) holderVM(flow passthrough.Flow) (netip.Addr, bool) {
	for _, v := range d.vms {
		if v.holds(flow) {
			return v.ip, true
		}
	}
	return netip.Addr{}, false
}

// processEnded records that a process has ended by itself and restarts it, as the platform does.
func (d *deployment) processEnded(p *process, state string) {
	d.checker.ReportViolation("%s ended by itself: %s", p.name, state)
	time.Sleep(restartDelay)
	restart(d, p)
}

// vmAddresses returns the addresses of all VMs of backend servers.
func (d *deployment) vmAddresses() []netip.Addr {
	var all []netip.Addr
	for _, v := range d.vms {
		all = append(all, v.ip)
	}
	return all
}

// domainVMs returns the addresses of all VMs of a failure domain.
func (d *deployment) domainVMs(domain string) []netip.Addr {
	var all []netip.Addr
	for _, p := range d.processes() {
		if p.domain == domain {
			all = append(all, p.ip)
		}
	}
	return all
}

func (d *deployment) routesOf(service string) map[passthrough.Endpoint]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	routes := map[passthrough.Endpoint]bool{}
	for endpoint, route := range d.routes {
		routes[endpoint] = routes[endpoint] || route.Service == service
	}
	return routes
}

func (d *deployment) domainOut(domain string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.outSince[domain]
	return ok && time.Since(since) > domainOutGrace
}

// setDomainOut takes a failure domain out of service or returns it to service.
func (d *deployment) setDomainOut(domain string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.SetDomainOut(domain, out)
	if out {
		d.outSince[domain] = time.Now()
		return
	}
	delete(d.outSince, domain)
}

// addRoute writes a manifest with an additional route and returns its address.
func (d *deployment) addRoute() passthrough.Endpoint {
	d.mu.Lock()
	d.addedRoutes++
	route := endpoint(fmt.Sprintf("198.18.1.%d:443", d.addedRoutes%250+1))
	d.routes[route] = standin.Route{Service: "orders", Kind: standin.Safe}
	d.mu.Unlock()
	d.writeManifest()
	return route
}

// writeManifest writes a manifest with the current routes.
func (d *deployment) writeManifest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 3
	if err := d.store.WriteManifest(d.version, d.routes); err != nil {
		d.checker.ReportViolation("manifest: %v", err)
	}
}
