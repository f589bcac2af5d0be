package fleet

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"bergamotbank/errkind"
)

// Process names of the simulated external systems.
const (
	StoreName  = "store"
	FabricName = "fabric"
)

// launch starts a program as a process of the fleet with the given name.
func (f *Fleet) launch(name, program string, arguments ...string) (*Process, error) {
	path := filepath.Join(f.options.Binaries, program)
	p, err := startProcess(f.options.Directory, name, path, arguments...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
	return p, nil
}

// startInfrastructure starts the simulated key-value service and fabric.
func (f *Fleet) startInfrastructure(ctx context.Context) error {
	if err := f.StartStore(); err != nil {
		return err
	}
	topology, err := f.writeTopology()
	if err != nil {
		return err
	}
	arguments := []string{
		"fabric",
		"--listen", f.Fabric().String(),
		"--control", f.FabricControl().String(),
		"--topology", topology,
	}
	for _, vm := range f.balancers {
		arguments = append(arguments, "--balancer", fabricBalancerArg(vm))
	}
	if _, err := f.launch(FabricName, "standin", arguments...); err != nil {
		return err
	}
	return f.waitHTTP(ctx, FabricName, f.FabricControl(), "/balancers")
}

// fabricBalancerArg returns a balancer and its health check URL in the form that
// the fabric expects.
func fabricBalancerArg(vm BalancerVM) string {
	return fmt.Sprintf("%s=%s,http://%s/readyz", vm.Name, vm.Packet, vm.Control)
}

// StartStore starts the simulated key-value service without any data.
func (f *Fleet) StartStore() error {
	_, err := f.launch(StoreName, "standin", "store", "--listen", f.Store().String())
	return err
}

// callerDomain is the name of the callers' network in the fabric's topology.
const callerDomain = "callers"

// writeTopology writes the fabric's topology: the delays between failure domains
// and between these and callers.
func (f *Fleet) writeTopology() (string, error) {
	path := filepath.Join(f.options.Directory, "topology.toml")
	err := os.WriteFile(path, []byte(f.topology()), 0o644)
	return path, errkind.Wrap(err, errkind.Internal, "topology")
}

// topology returns the fabric's topology as TOML. Callers send from 127.0.0.1.
func (f *Fleet) topology() string {
	text := fmt.Sprintf("[default]\ndelay = \"%dms\"\n", f.options.Layout.DomainDelayMS)
	text += fmt.Sprintf("\n[[member]]\nnetwork = \"127.0.0.1/32\"\ndomain = %q\n", callerDomain)
	for d, domain := range f.options.Layout.Domains {
		network := netip.PrefixFrom(f.network.address(d+1, 0, 0).Addr(), 24)
		text += fmt.Sprintf("\n[[member]]\nnetwork = %q\ndomain = %q\n", network.String(), domain.Name)
		text += fmt.Sprintf("\n[[link]]\nfrom = %q\nto = %q\nboth = true\ndelay = \"%dms\"\n",
			callerDomain, domain.Name, f.options.Layout.CallerDelayMS)
	}
	return text
}

func (f *Fleet) startBalancers(context.Context) error {
	for _, vm := range f.Balancers() {
		if err := f.StartBalancer(vm); err != nil {
			return err
		}
	}
	return nil
}

// StartBalancer starts the balancer of a VM without any state.
func (f *Fleet) StartBalancer(vm BalancerVM) error {
	path, err := f.writeSettings(vm.Name, balancerSettings(vm, f.Store()))
	if err != nil {
		return err
	}
	_, err = f.launch(vm.Name, "bergamotd", "balancer", "--settings", path)
	return err
}

func (f *Fleet) startServers(context.Context) error {
	for _, vm := range f.Servers("") {
		if err := f.StartServer(vm); err != nil {
			return err
		}
		if err := f.StartAgent(vm); err != nil {
			return err
		}
	}
	return nil
}

// StartServer starts the backend server of a VM.
func (f *Fleet) StartServer(vm ServerVM) error {
	service, ok := f.services.Service(vm.Service)
	if !ok {
		return errkind.New(errkind.Usage, "layout: service %q is not configured", vm.Service)
	}
	_, err := f.launch(vm.Name, "standin", "server",
		"--listen", vm.Backend.String(),
		"--control", vm.BackendControl.String(),
		"--name", vm.Name,
		"--service", vm.Service,
		"--protocol", string(service.Protocol),
		"--slots", strconv.Itoa(service.Slots),
		"--connections", strconv.Itoa(service.Connections),
		"--work", f.options.ServiceTime.String(),
		"--cold", f.options.ColdDuration.String(),
	)
	return err
}

// StartAgent starts the agent of a VM without any state.
func (f *Fleet) StartAgent(vm ServerVM) error {
	path, err := f.writeSettings(vm.AgentName(), agentSettings(vm, f.Store(), f.Fabric()))
	if err != nil {
		return err
	}
	_, err = f.launch(vm.AgentName(), "bergamotd", "agent", "--settings", path)
	return err
}

func (f *Fleet) writeSettings(name, text string) (string, error) {
	path := filepath.Join(f.options.Directory, name+".toml")
	err := os.WriteFile(path, []byte(text), 0o644)
	return path, errkind.Wrap(err, errkind.Internal, "settings of %s", name)
}

// applyInitialConfig applies the initial configuration to the store.
func (f *Fleet) applyInitialConfig(ctx context.Context) error {
	if err := f.waitHTTP(ctx, StoreName, f.Store(), "/fault/counters"); err != nil {
		return err
	}
	path := filepath.Join(f.options.Directory, "config.toml")
	if err := os.WriteFile(path, f.options.Config, 0o644); err != nil {
		return errkind.Wrap(err, errkind.Internal, "configuration")
	}
	_, err := f.RunCtl(ctx, "apply", path)
	return err
}

// WaitReady waits until every balancer and agent reports that it is ready and until
// the fabric, whose health check is delayed, sends packets to every balancer.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, vm := range f.Balancers() {
		if err := f.waitHTTP(ctx, vm.Name, vm.Control, "/readyz"); err != nil {
			return err
		}
	}
	for _, vm := range f.Servers("") {
		if err := f.waitHTTP(ctx, vm.AgentName(), vm.Control, "/readyz"); err != nil {
			return err
		}
	}
	return f.waitFabricReady(ctx)
}

// waitFabricReady waits until the fabric considers every balancer alive.
func (f *Fleet) waitFabricReady(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		balancers, err := f.FabricBalancers(limited)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(balancers, func(b FabricBalancer) bool { return !b.Alive }) {
			return nil
		}
		select {
		case <-limited.Done():
			return errkind.New(errkind.PeerUnavailable, "the fabric does not consider every balancer alive")
		case <-time.After(pollInterval):
		}
	}
}

// waitHTTP waits until a GET of path at addr returns 200.
func (f *Fleet) waitHTTP(ctx context.Context, name string, addr netip.AddrPort, path string) error {
	limited, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !respondsOK(limited, addr, path) {
		if p := f.Process(name); p != nil && !p.Running() {
			return errkind.New(errkind.Internal, "%s has exited, see %s", name, p.LogPath)
		}
		select {
		case <-limited.Done():
			return errkind.New(errkind.PeerUnavailable, "%s: no response with status 200 from http://%s%s within %s", name, addr, path, readyTimeout)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// respondsOK reports whether a GET of path at addr returns 200.
func respondsOK(ctx context.Context, addr netip.AddrPort, path string) bool {
	response, err := request(ctx, http.MethodGet, addr, path, "")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
