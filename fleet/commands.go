package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"bergamotbank/errkind"
)

// StartDirectCaller starts simulated callers that use the TCP stack of the machine
// and connect to backend servers directly.
func (f *Fleet) StartDirectCaller(arguments ...string) (*Process, error) {
	number := f.nextCallerNumber()
	return f.launch(fmt.Sprintf("direct-caller-%d", number), "standin", append([]string{"caller"}, arguments...)...)
}

// nextCallerNumber returns the number of the next process of simulated callers.
func (f *Fleet) nextCallerNumber() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers++
	return f.callers
}

// maxErrorBodyBytes limits the part of an error response that is reported.
const maxErrorBodyBytes = 1 << 10

// RunCtl runs bergamotctl with the fleet's store and returns its standard output.
// A non-zero exit code is an error of kind Internal with the standard error.
func (f *Fleet) RunCtl(ctx context.Context, arguments ...string) (string, error) {
	program := filepath.Join(f.options.Binaries, "bergamotctl")
	all := append([]string{"--store", f.Store().String()}, arguments...)
	command := exec.CommandContext(ctx, program, all...)
	var stdout, stderr bytes.Buffer
	command.Stdout = &stdout
	command.Stderr = &stderr
	err := command.Run()
	return stdout.String(), errkind.Wrap(err, errkind.Internal, "bergamotctl %s: %s",
		strings.Join(arguments, " "), strings.TrimSpace(stderr.String()))
}

// StartCaller starts simulated callers with a new inner address.
func (f *Fleet) StartCaller(arguments ...string) (*Process, error) {
	number := f.nextCallerNumber()
	address := netip.AddrFrom4([4]byte{198, 19, 1, byte(number)})
	all := append([]string{"caller", "--fabric", f.Fabric().String(), "--address", address.String()}, arguments...)
	return f.launch(fmt.Sprintf("caller-%d", number), "standin", all...)
}

// SetFault replaces the fault switches at addr with a JSON document.
func (f *Fleet) SetFault(ctx context.Context, addr netip.AddrPort, text string) error {
	return f.sendJSON(ctx, http.MethodPut, addr, "/fault", text)
}

// sendJSON sends a request with a JSON body to a simulated external system.
func (f *Fleet) sendJSON(ctx context.Context, method string, addr netip.AddrPort, path, body string) error {
	response, err := request(ctx, method, addr, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
		return errkind.New(errkind.Usage, "%s http://%s%s: %s: %s", method, addr, path, response.Status, reason)
	}
	return nil
}

// ReadJSON gets a JSON document from a process and decodes it into target.
func (f *Fleet) ReadJSON(ctx context.Context, addr netip.AddrPort, path string, target any) error {
	response, err := request(ctx, http.MethodGet, addr, path, "")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(target)
	return errkind.Wrap(err, errkind.Malformed, "GET http://%s%s", addr, path)
}

// request sends an HTTP request to a process.
func request(ctx context.Context, method string, addr netip.AddrPort, path, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "request")
	}
	response, err := http.DefaultClient.Do(r)
	return response, errkind.Wrap(err, errkind.PeerUnavailable, "%s http://%s%s", method, addr, path)
}

// FabricBalancer is the status of a balancer at the fabric.
type FabricBalancer struct {
	// Name is the name of the balancer.
	Name string `json:"name"`
	// Alive is true if the fabric sends packets to the balancer.
	Alive bool `json:"alive"`
}

// FabricBalancers returns the balancers that the fabric knows.
func (f *Fleet) FabricBalancers(ctx context.Context) ([]FabricBalancer, error) {
	var balancers []FabricBalancer
	err := f.ReadJSON(ctx, f.FabricControl(), "/balancers", &balancers)
	return balancers, err
}

// AddBalancer starts an additional balancer in a failure domain and adds it to the
// fabric.
func (f *Fleet) AddBalancer(ctx context.Context, domain string) (BalancerVM, error) {
	vm, err := f.newBalancer(domain)
	if err != nil {
		return vm, err
	}
	if err := f.StartBalancer(vm); err != nil {
		return vm, err
	}
	body := strconv.Quote(fabricBalancerArg(vm))
	return vm, f.sendJSON(ctx, http.MethodPost, f.FabricControl(), "/balancers", body)
}

// RemoveBalancer shuts a balancer down gracefully and removes it from the fabric.
func (f *Fleet) RemoveBalancer(ctx context.Context, name string) error {
	if err := f.Process(name).Stop(); err != nil {
		return err
	}
	f.mu.Lock()
	f.balancers = slices.DeleteFunc(f.balancers, func(vm BalancerVM) bool { return vm.Name == name })
	f.mu.Unlock()
	return f.sendJSON(ctx, http.MethodDelete, f.FabricControl(), "/balancers/"+name, "")
}

// newBalancer adds the VM of an additional balancer to a failure domain.
func (f *Fleet) newBalancer(domain string) (BalancerVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for d := range f.options.Layout.Domains {
		layout := &f.options.Layout.Domains[d]
		if layout.Name != domain {
			continue
		}
		layout.Balancers++
		vm := f.newBalancerVM(d, layout.Balancers)
		f.balancers = append(f.balancers, vm)
		return vm, nil
	}
	return BalancerVM{}, errkind.New(errkind.NotFound, "failure domain %q is not in the layout", domain)
}
