//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bergamotbank/platform/standin"
)

// The ports of the deployment, from its base port. All VMs use the same ones.
const (
	packetPort = iota
	peerPort
	controlPort
	readinessPort
	metricsPort
	outboundPort
	appPort
	storePort
	portCount
)

// The third byte of the addresses of balancers, servers' VMs and callers.
const (
	balancerNet = 1
	serverNet   = 2
	callerNet   = 3
)

// stableWindow is the bound stableWindowMs.
const stableWindow = 4 * time.Second

// process is a process of the system. Only processes that this program started are signaled.
type process struct {
	d    *deployment
	name string
	role string
	ip   netip.Addr

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	ending  bool
}

// vm is the VM of a backend server with its agent.
type vm struct {
	agent   *process
	zone    string
	ip      netip.Addr
	service string

	mu     sync.Mutex
	server *server
	starts int
}

// deployment is a small deployment among stand-ins.
type deployment struct {
	record *record
	watch  *watch
	dir    string
	prefix [2]byte
	base   int
	zones  []string

	store     *standin.Store
	http      *http.Server
	fabric    *standin.Fabric
	balancers []*process
	vms       []*vm
	names     map[netip.Addr]string

	mu sync.Mutex
	// disturbed is the last time of a disturbance that is not planned, by VM.
	disturbed map[netip.Addr]time.Time
}

func (d *deployment) ip(third, last int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, d.prefix[0], d.prefix[1] + byte(third), byte(last)})
}

func (d *deployment) addr(ip netip.Addr, port int) netip.AddrPort {
	return netip.AddrPortFrom(ip, uint16(d.base+port))
}

func (d *deployment) nameOf(ip netip.Addr) string {
	if name := d.names[ip]; name != "" {
		return name
	}
	return ip.String()
}

// size is the size of a deployment.
type size struct {
	zones, balancersPerZone int
	// servers are the services of the VMs, which are dealt to the zones in turn.
	servers  []string
	manifest func(d *deployment) []byte
	// coldLimit is the number of openings that a cold server may get in one second, 0 for no
	// check.
	coldLimit int
}

func newDeployment(r *record, s size) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, names: map[netip.Addr]string{}, disturbed: map[netip.Addr]time.Time{}}
	d.watch = newWatch(d)
	d.watch.coldLimit = s.coldLimit
	for i := range s.zones {
		d.zones = append(d.zones, fmt.Sprintf("zone-%d", i))
	}
	if err := d.pickAddresses(s); err != nil {
		return nil, err
	}
	d.store = standin.NewStore()
	listener, err := net.Listen("tcp", d.storeAddr().String())
	if err != nil {
		return nil, err
	}
	d.http = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.http.Serve(listener) }()
	if d.fabric, err = standin.NewFabric(); err != nil {
		return nil, err
	}
	d.store.Write("op/config", s.manifest(d))
	for i := range s.zones * s.balancersPerZone {
		if err := d.addBalancer(i); err != nil {
			return nil, err
		}
	}
	for i, service := range s.servers {
		if err := d.addVM(i, service); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(15 * time.Second); d.fabric.Ready() < len(d.balancers); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the balancers do not become ready")
		}
	}
	// The agents have had two heartbeats of their servers.
	time.Sleep(2 * beatEvery)
	r.printf("%d balancers are ready", d.fabric.Ready())
	return d, nil
}

func (d *deployment) storeAddr() netip.AddrPort { return d.addr(d.ip(0, 1), storePort) }

// pickAddresses selects addresses and ports that nothing uses.
func (d *deployment) pickAddresses(s size) error {
	for range 50 {
		d.prefix = [2]byte{byte(20 + rand.IntN(200)), byte(4 * rand.IntN(60))}
		d.base = 20000 + rand.IntN(1200)*10
		ips := []netip.Addr{d.ip(0, 1)}
		for i := range max(s.zones*s.balancersPerZone, len(s.servers), s.zones) {
			ips = append(ips, d.ip(balancerNet, 1+i), d.ip(serverNet, 1+i), d.ip(callerNet, 1+i))
		}
		if d.allFree(ips) {
			return nil
		}
	}
	return errors.New("no free addresses")
}

func (d *deployment) allFree(ips []netip.Addr) bool {
	for _, ip := range ips {
		for port := range portCount {
			tcp, err := net.Listen("tcp", d.addr(ip, port).String())
			if err != nil {
				return false
			}
			_ = tcp.Close()
			udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.addr(ip, port)))
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

// common returns the settings that the templates of the deploy file render for both roles.
func (d *deployment) common(name, zone string, ip netip.Addr) string {
	var seeds, domains []string
	for i := range 3 {
		seeds = append(seeds, d.addr(d.ip(balancerNet, 1+i), controlPort).String())
	}
	domains = append(domains, d.zones...)
	seedList, _ := json.Marshal(seeds)
	domainList, _ := json.Marshal(domains)
	return fmt.Sprintf("name = %q\ndomain = %q\npacket = %q\ncontrol = %q\nstore = %q\nseeds = %s\n", name, zone, d.addr(ip, packetPort), d.addr(ip, controlPort), d.storeAddr(), seedList) +
		"%s" + fmt.Sprintf("[passthrough]\npeer = %q\ndomains = %s\nmetrics = %q\nreadiness = %q\nheartbeat = \"1200ms\"\nflow_lifetime = \"60s\"\nlease_minimum = \"1000ms\"\n",
		d.addr(ip, peerPort), domainList, d.addr(ip, metricsPort), d.addr(ip, readinessPort))
}

func (d *deployment) addBalancer(i int) error {
	ip, zone, name := d.ip(balancerNet, 1+i), d.zones[i%len(d.zones)], fmt.Sprintf("balancer-%d", i)
	p := &process{d: d, name: name, role: "passthrough-balancer", ip: ip}
	d.names[ip] = name
	if err := p.settings(fmt.Sprintf(d.common(name, zone, ip), "[balancer]\nstop_grace = \"1300ms\"\n")); err != nil {
		return err
	}
	d.balancers = append(d.balancers, p)
	d.fabric.Add(standin.Balancer{Domain: zone, Packet: d.addr(ip, packetPort), Readiness: d.addr(ip, readinessPort)})
	return p.start()
}

func (d *deployment) addVM(i int, service string) error {
	ip, zone, name := d.ip(serverNet, 1+i), d.zones[i%len(d.zones)], fmt.Sprintf("agent-%d", i)
	v := &vm{agent: &process{d: d, name: name, role: "passthrough-agent", ip: ip}, zone: zone, ip: ip, service: service}
	d.names[ip] = name
	text := fmt.Sprintf(d.common(name, zone, ip), fmt.Sprintf("[agent]\nservice = %q\n", service)) +
		fmt.Sprintf("outbound = %q\nbackend = %q\n", d.addr(ip, outboundPort), d.addr(ip, appPort))
	if err := v.agent.settings(text); err != nil {
		return err
	}
	d.vms = append(d.vms, v)
	if err := v.agent.start(); err != nil {
		return err
	}
	return v.startServer()
}

// startServer starts a server on the VM.
func (v *vm) startServer() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.starts++
	s, err := startServer(v.agent.d, fmt.Sprintf("%s-%s-%d", v.agent.name, v.service, v.starts), v.service, v.zone, v.ip)
	v.server = s
	return err
}

// disturb records an unplanned disturbance of a VM.
func (d *deployment) disturb(ip netip.Addr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.disturbed[ip] = time.Now()
}

// calm reports whether no unplanned disturbance touched the VM of a server within the stable
// window.
func (d *deployment) calm(s *server) (bool, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if since := time.Since(d.disturbed[s.app.Addr()]); since < stableWindow {
		return false, fmt.Sprintf("its VM was disturbed %s ago", since.Round(time.Millisecond))
	}
	return true, ""
}

// sendBeat sends a heartbeat and records the answer.
func (d *deployment) sendBeat(ctx context.Context, control netip.AddrPort, id string, body []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control.String()+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		d.record.printf("heartbeat of %s is not confirmed: no answer", id)
		return
	}
	_ = response.Body.Close()
	d.record.printf("heartbeat of %s: %d %s", id, response.StatusCode, body)
}

// awaitListener waits until something listens on an address.
func (d *deployment) awaitListener(addr netip.AddrPort) {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if conn, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond); err == nil {
			_ = conn.Close()
			return
		}
	}
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, p := range d.processes() {
		p.kill()
	}
	for _, v := range d.vms {
		v.mu.Lock()
		if v.server != nil {
			v.server.crash()
		}
		v.mu.Unlock()
	}
	d.fabric.Close()
	_ = d.http.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
		return
	}
	fmt.Println("logs are in", d.dir)
}

func (d *deployment) processes() []*process {
	all := append([]*process(nil), d.balancers...)
	for _, v := range d.vms {
		all = append(all, v.agent)
	}
	return all
}

func (p *process) settings(text string) error {
	return os.WriteFile(filepath.Join(p.d.dir, p.name+".toml"), []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.d.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/bergamotd", p.role, "--settings", filepath.Join(p.d.dir, p.name+".toml"))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.command, p.done, p.ending = command, done, false
	go func() {
		_ = command.Wait()
		p.mu.Lock()
		if !p.ending {
			p.d.record.breach("process %s ends by itself: %s", p.name, command.ProcessState)
		}
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process and returns a channel that is closed when it has ended.
func (p *process) signal(s syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ending = true
	_ = p.command.Process.Signal(s)
	return p.done
}

func (p *process) kill() {
	p.mu.Lock()
	running := p.command != nil
	p.mu.Unlock()
	if running {
		<-p.signal(syscall.SIGKILL)
	}
}

// graceLimit is the bound graceS, after which the platform kills a process that was told to end.
const graceLimit = 6 * time.Second

// restart stops a process with SIGTERM and starts it again some time after it has ended.
func (p *process) restart(delay time.Duration) {
	p.d.record.printf("SIGTERM to %s", p.name)
	done := p.signal(syscall.SIGTERM)
	select {
	case <-done:
	case <-time.After(graceLimit):
		<-p.signal(syscall.SIGKILL)
	}
	p.d.record.printf("%s has ended", p.name)
	time.Sleep(delay)
	if err := p.start(); err != nil {
		p.d.record.printf("%s cannot be started: %v", p.name, err)
	}
	p.d.record.printf("%s starts", p.name)
}
