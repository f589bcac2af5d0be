package fleet

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"bergamotbank/version/config"
)

// Options describes the deployment to start.
type Options struct {
	// Binaries is the directory with bergamotd, bergamotctl and standin.
	Binaries string
	// Directory is where settings files and logs are written. It must exist.
	Directory string
	// Layout lists the VMs.
	Layout Layout
	// Config is the initial configuration text.
	Config []byte
	// ServiceTime is the mean service time of a request at a backend server.
	ServiceTime time.Duration
	// ColdDuration is how long a backend server stays cold after its start.
	ColdDuration time.Duration
}

// Timing of the startup of a fleet.
const (
	readyTimeout = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	options        Options
	services       *config.Config
	network        network
	releaseNetwork func()

	mu        sync.Mutex
	processes map[string]*Process
	balancers []BalancerVM
	servers   []ServerVM
	callers   int
}

// BalancerVM is the VM of a balancer.
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
	// Source is the inner source address of the calls that the agent makes.
	Source netip.Addr
}

// AgentName returns the process name of the VM's agent.
func (vm ServerVM) AgentName() string {
	return vm.Name + "-agent"
}

// Start starts a deployment, applies its configuration and waits until every
// process is ready. On an error it kills all processes that it started.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	services, err := config.Parse(options.Config)
	if err != nil {
		return nil, err
	}
	n, reservation, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	options.Layout.Domains = slices.Clone(options.Layout.Domains)
	f := &Fleet{
		options:        options,
		services:       services,
		network:        n,
		releaseNetwork: func() { _ = reservation.Close() },
		processes:      make(map[string]*Process),
	}
	f.assignAddresses()
	if err := f.startAll(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startAll(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.startInfrastructure,
		f.startBalancers,
		f.startServers,
		f.applyInitialConfig,
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
	f.releaseNetwork()
}

// Process returns the process with the given name, or nil if there is none.
func (f *Fleet) Process(name string) *Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[name]
}

// Balancers returns the VMs of the balancers.
func (f *Fleet) Balancers() []BalancerVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.balancers)
}

// Servers returns the VMs of the backend servers of a service, or of all services
// if the name is empty.
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

// Store returns the address of the simulated key-value service.
func (f *Fleet) Store() netip.AddrPort {
	return f.network.infrastructureAddress(storePort)
}

// Fabric returns the UDP address of the simulated fabric.
func (f *Fleet) Fabric() netip.AddrPort {
	return f.network.infrastructureAddress(fabricPort)
}

// FabricControl returns the HTTP address of the fabric's fault switches.
func (f *Fleet) FabricControl() netip.AddrPort {
	return f.network.infrastructureAddress(fabricControlPort)
}

// ServiceAddress returns the address of a configured service.
func (f *Fleet) ServiceAddress(name string) netip.AddrPort {
	service, _ := f.services.Service(name)
	return service.AddrPort()
}
