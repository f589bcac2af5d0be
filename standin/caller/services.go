package caller

import (
	"strings"
	"sync"

	"bergamotbank/errkind"
)

// Expectation is the service that must respond at an address. On the command line
// it has the form IP:PORT=NAME.
type Expectation struct {
	Host    string
	Service string
}

// UnmarshalText parses the command-line form.
func (e *Expectation) UnmarshalText(text []byte) error {
	host, service, ok := strings.Cut(string(text), "=")
	if !ok || host == "" || service == "" {
		return errkind.New(errkind.Usage, "service %q is not IP:PORT=NAME", text)
	}
	*e = Expectation{Host: host, Service: service}
	return nil
}

// serviceTable maps addresses to the services expected there. For an address
// without an expectation, the first service that responds becomes the expected one.
type serviceTable struct {
	mu       sync.Mutex
	services map[string]string
}

func newServiceTable(expectations []Expectation) *serviceTable {
	t := &serviceTable{services: make(map[string]string)}
	for _, e := range expectations {
		t.services[withPort(e.Host)] = e.Service
	}
	return t
}

// check reports whether service is the expected one at host. Responses without a
// service, such as refusals before a backend server was reached, are accepted.
func (t *serviceTable) check(host, service string) bool {
	if service == "" {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	host = withPort(host)
	want, known := t.services[host]
	if !known {
		t.services[host] = service
		return true
	}
	return want == service
}

func withPort(host string) string {
	if strings.Contains(host, ":") {
		return host
	}
	return host + ":80"
}
