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

// DirectCaller starts a stand-in for callers that uses the machine's own TCP and
// so meets backend servers without the system.
func (f *Fleet) DirectCaller(arguments ...string) (*Process, error) {
	number := f.nextCaller()
	return f.launch(fmt.Sprintf("direct-caller-%d", number), "standin", append([]string{"caller"}, arguments...)...)
}

// nextCaller numbers the stand-ins for callers.
func (f *Fleet) nextCaller() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers++
	return f.callers
}

// maxReason is the largest part of a refusal's text that is shown, in bytes.
const maxReason = 1 << 10

// Ctl runs bergamotctl against the fleet's store and returns its standard
// output. A non-zero exit is an error of kind Internal with the standard error.
func (f *Fleet) Ctl(ctx context.Context, arguments ...string) (string, error) {
	program := filepath.Join(f.options.Binaries, "bergamotctl")
	all := append([]string{"--store", f.Store().String()}, arguments...)
	command := exec.CommandContext(ctx, program, all...)
	var output, faults bytes.Buffer
	command.Stdout = &output
	command.Stderr = &faults
	err := command.Run()
	return output.String(), errkind.Wrap(err, errkind.Internal, "bergamotctl %s: %s",
		strings.Join(arguments, " "), strings.TrimSpace(faults.String()))
}

// Caller starts a stand-in for callers with an inner address of its own.
func (f *Fleet) Caller(arguments ...string) (*Process, error) {
	number := f.nextCaller()
	address := netip.AddrFrom4([4]byte{198, 19, 1, byte(number)})
	all := append([]string{"caller", "--fabric", f.Fabric().String(), "--address", address.String()}, arguments...)
	return f.launch(fmt.Sprintf("caller-%d", number), "standin", all...)
}

// SetFault puts a JSON text to the fault switches at addr.
func (f *Fleet) SetFault(ctx context.Context, addr netip.AddrPort, text string) error {
	return f.send(ctx, http.MethodPut, addr, "/fault", text)
}

// send makes a request with a JSON body to a stand-in.
func (f *Fleet) send(ctx context.Context, method string, addr netip.AddrPort, path, body string) error {
	response, err := request(ctx, method, addr, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReason))
		return errkind.New(errkind.Usage, "%s http://%s%s: %s: %s", method, addr, path, response.Status, reason)
	}
	return nil
}

// ReadJSON reads a JSON document from a stand-in or a process into target.
func (f *Fleet) ReadJSON(ctx context.Context, addr netip.AddrPort, path string, target any) error {
	response, err := request(ctx, http.MethodGet, addr, path, "")
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	err = json.NewDecoder(response.Body).Decode(target)
	return errkind.Wrap(err, errkind.Malformed, "GET http://%s%s", addr, path)
}

// request makes an HTTP request to a stand-in or a process.
func request(ctx context.Context, method string, addr netip.AddrPort, path, body string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "request")
	}
	response, err := http.DefaultClient.Do(r)
	return response, errkind.Wrap(err, errkind.PeerUnavailable, "%s http://%s%s", method, addr, path)
}

// FabricBalancer is what the fabric tells of a balancer.
type FabricBalancer struct {
	// Name is the name of the balancer.
	Name string `json:"name"`
	// Alive tells whether the fabric sends packets to it.
	Alive bool `json:"alive"`
}

// FabricBalancers returns the balancers that the fabric knows.
func (f *Fleet) FabricBalancers(ctx context.Context) ([]FabricBalancer, error) {
	var balancers []FabricBalancer
	err := f.ReadJSON(ctx, f.FabricControl(), "/balancers", &balancers)
	return balancers, err
}

// AddBalancer starts a balancer on a further entry VM of a domain and adds it to
// the fabric.
func (f *Fleet) AddBalancer(ctx context.Context, domain string) (BalancerVM, error) {
	vm, err := f.nextBalancer(domain)
	if err != nil {
		return vm, err
	}
	if err := f.StartBalancer(vm); err != nil {
		return vm, err
	}
	body := strconv.Quote(fabricBalancer(vm))
	return vm, f.send(ctx, http.MethodPost, f.FabricControl(), "/balancers", body)
}

// RemoveBalancer stops a balancer by plan and takes it out of the fabric.
func (f *Fleet) RemoveBalancer(ctx context.Context, name string) error {
	if err := f.Process(name).Stop(); err != nil {
		return err
	}
	f.mu.Lock()
	f.balancers = slices.DeleteFunc(f.balancers, func(vm BalancerVM) bool { return vm.Name == name })
	f.mu.Unlock()
	return f.send(ctx, http.MethodDelete, f.FabricControl(), "/balancers/"+name, "")
}

// nextBalancer describes a further entry VM of a domain.
func (f *Fleet) nextBalancer(domain string) (BalancerVM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for d := range f.options.Layout.Domains {
		layout := &f.options.Layout.Domains[d]
		if layout.Name != domain {
			continue
		}
		layout.Balancers++
		vm := f.placeBalancer(d, layout.Balancers)
		f.balancers = append(f.balancers, vm)
		return vm, nil
	}
	return BalancerVM{}, errkind.New(errkind.NotFound, "failure domain %q is not in the layout", domain)
}
