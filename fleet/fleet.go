package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bergamotbank/version/config"
)

// Options tell what to start.
type Options struct {
	// Binaries is the directory with bergamotd, bergamotctl and standin.
	Binaries string
	// Directory takes settings files and logs. It must exist.
	Directory string
	// Layout lists the VMs.
	Layout Layout
	// Config is the operators' text that is applied first.
	Config []byte
	// Work is the mean work time of a request at a backend server.
	Work time.Duration
	// Cold is how long a backend server stays cold after its start.
	Cold time.Duration
}

// Time limits of the start of a fleet.
const (
	readyTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	options  Options
	services *config.Config
	network  network
	release  func()

	mu        sync.Mutex
	processes map[string]*Process
	balancers []BalancerVM
	servers   []ServerVM
	callers   int
}

// BalancerVM is an entry VM.
type BalancerVM struct {
	// Name is the name of the balancer.
	Name string
	// Domain is its failure domain.
	Domain string
	// Packet and Control are its addresses.
	Packet, Control netip.AddrPort
}

// ServerVM is the VM of a backend server and its agent.
type ServerVM struct {
	// Name is the name of the backend server; its agent has the suffix "-agent".
	Name string
	// Domain is its failure domain.
	Domain string
	// Service is the service of the backend server.
	Service string
	// Backend and BackendControl are the addresses of the backend server.
	Backend, BackendControl netip.AddrPort
	// Packet, Control and Calls are the addresses of the agent.
	Packet, Control, Calls netip.AddrPort
	// Source is the inner source address of the agent's own calls.
	Source netip.Addr
}

// AgentName returns the process name of the VM's agent.
func (vm ServerVM) AgentName() string {
	return vm.Name + "-agent"
}

// Start starts a deployment, applies its configuration and waits until every
// process is ready. On an error everything that was started is killed.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	services, err := config.Parse(options.Config)
	if err != nil {
		return nil, err
	}
	n, reservation, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	options.Layout.Domains = slices.Clone(options.Layout.Domains)
	f := &Fleet{
		options:   options,
		services:  services,
		network:   n,
		release:   func() { _ = reservation.Close() },
		processes: make(map[string]*Process),
	}
	f.place()
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.startStandins,
		f.startBalancers,
		f.startServers,
		f.applyFirst,
		f.WaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close kills every process of the fleet.
func (f *Fleet) Close() {
	f.mu.Lock()
	processes := f.processes
	f.processes = make(map[string]*Process)
	f.mu.Unlock()
	for _, p := range processes {
		p.Kill()
	}
	f.release()
}

// Process returns the process with the given name, nil if there is none.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Balancers returns the entry VMs.
func (f *Fleet) Balancers() []BalancerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.balancers)
}

// Servers returns the VMs of the backend servers of a service, of every service
// when the name is empty.
func (f *Fleet) Servers(service string) []ServerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []ServerVM
	for _, vm := range f.servers {
		if service == "" || vm.Service == service {
			servers = append(servers, vm)
		}
	}
	return servers
}

// Store is the address of the stand-in for the key-value service.
func (f *Fleet) Store() netip.AddrPort {
	return f.network.infrastructure(storePort)
}

// Fabric is the UDP address of the stand-in for the fabric.
func (f *Fleet) Fabric() netip.AddrPort {
	return f.network.infrastructure(fabricPort)
}

// FabricControl is the HTTP address of the fabric's fault switches.
func (f *Fleet) FabricControl() netip.AddrPort {
	return f.network.infrastructure(fabricControlPort)
}

// ServiceAddress returns the address of a configured service.
func (f *Fleet) ServiceAddress(name string) netip.AddrPort {
	service, _ := f.services.Service(name)
	return service.AddrPort()
}
