// Package config parses, validates, compares and renders the configuration text:
// a TOML document that lists the services, their dependencies on each other and
// the failure domains. A Config is immutable after Parse and safe for concurrent
// use.
package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Protocol selects how the flows of a service are served.
type Protocol string

// The protocols of a service.
const (
	// ProtocolRequest serves HTTP requests with admission control and deadlines.
	ProtocolRequest Protocol = "request"
	// ProtocolTCP relays the bytes of each flow.
	ProtocolTCP Protocol = "tcp"
)

// Limits of a configuration text and its fields.
const (
	// MaxTextBytes is the largest accepted configuration text, in bytes.
	MaxTextBytes = 8 << 20
	// MaxServices is the largest number of services in one configuration.
	MaxServices = 20000
	// MaxNameBytes is the maximum length of the name of a service or failure
	// domain, in bytes.
	MaxNameBytes = 63
	// MaxSlots is the largest number of concurrent requests of one backend server.
	MaxSlots = 65536
	// MaxConnections is the largest number of connections of one backend server.
	MaxConnections = 1000000
	// MaxTimeout is the longest time limit of a request.
	MaxTimeout = time.Hour
	// MinTimeout is the shortest time limit of a request.
	MinTimeout = time.Millisecond
)

// Defaults of fields that the configuration text omits.
const (
	// DefaultProtocol applies when a service has no protocol field.
	DefaultProtocol = ProtocolRequest
	// DefaultSlots applies when a service has no slots field.
	DefaultSlots = 1
	// DefaultConnections applies when a service has no connections field.
	DefaultConnections = 1000
	// DefaultTimeout applies when a service has no timeout field.
	DefaultTimeout = 30 * time.Second
)

// Service is one service of the configuration.
type Service struct {
	// Name identifies the service.
	Name string
	// Address is the IPv4 address that callers connect to.
	Address netip.Addr
	// Port is the TCP port that callers connect to.
	Port uint16
	// Protocol selects how the flows are served.
	Protocol Protocol
	// Slots is the number of requests that one backend server runs concurrently.
	Slots int
	// Connections is the number of connections that one backend server accepts.
	Connections int
	// DependsOn lists the names of the services that this service calls, sorted.
	DependsOn []string
	// Timeout is the time limit of a request.
	Timeout time.Duration
}

// AddrPort returns the address and port that callers connect to.
func (s Service) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(s.Address, s.Port)
}

func (s Service) equal(other Service) bool {
	return s.Name == other.Name &&
		s.AddrPort() == other.AddrPort() &&
		s.Protocol == other.Protocol &&
		s.Slots == other.Slots &&
		s.Connections == other.Connections &&
		s.Timeout == other.Timeout &&
		slices.Equal(s.DependsOn, other.DependsOn)
}

// Domain is one failure domain of the configuration.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Region is the name of the region that the failure domain belongs to.
	Region string
	// Out is true while operators have taken the failure domain out of service.
	Out bool
}

// Config is the validated content of a configuration text. Its slices must not
// be modified.
type Config struct {
	// Services lists the services, sorted by name.
	Services []Service
	// Domains lists the failure domains, sorted by name.
	Domains []Domain
}

// Snapshot is one accepted version of the configuration.
type Snapshot struct {
	// Version is the version number, which only increases; 0 means no version.
	Version uint64
	// Config is the content of the version; nil when Version is 0.
	Config *Config
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return strings.Compare(s.Name, n)
	})
	if !found {
		return Service{}, false
	}
	return c.Services[i], true
}

// ServiceAt returns the service with the given address and port.
func (c *Config) ServiceAt(addr netip.AddrPort) (Service, bool) {
	for _, s := range c.Services {
		if s.AddrPort() == addr {
			return s, true
		}
	}
	return Service{}, false
}

// Domain returns the failure domain with the given name.
func (c *Config) Domain(name string) (Domain, bool) {
	i, found := slices.BinarySearchFunc(c.Domains, name, func(d Domain, n string) int {
		return strings.Compare(d.Name, n)
	})
	if !found {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// DomainOut reports whether operators have taken the failure domain out of
// service. A failure domain that is not configured is in service.
func (c *Config) DomainOut(name string) bool {
	d, _ := c.Domain(name)
	return d.Out
}

// WithDomainOut returns a copy of the configuration with the failure domain taken
// out of service or returned to service. It returns false if the failure domain
// is not configured.
func (c *Config) WithDomainOut(name string, out bool) (*Config, bool) {
	if _, found := c.Domain(name); !found {
		return nil, false
	}
	changed := &Config{Services: c.Services, Domains: slices.Clone(c.Domains)}
	for i := range changed.Domains {
		if changed.Domains[i].Name == name {
			changed.Domains[i].Out = out
		}
	}
	return changed, true
}

// StartOrder returns the names of the services in groups; the services of a group
// depend only on those of earlier groups. Services start in this order and drain
// in the reverse order.
func (c *Config) StartOrder() [][]string {
	memo := make(map[string]int, len(c.Services))
	var groups [][]string
	for _, s := range c.Services {
		d := c.depth(s, memo)
		for len(groups) <= d {
			groups = append(groups, nil)
		}
		groups[d] = append(groups[d], s.Name)
	}
	return groups
}

// depth returns the length of the longest dependency chain of s, memoizing the
// depths by name. It terminates because Parse rejects dependency cycles.
func (c *Config) depth(s Service, memo map[string]int) int {
	if d, found := memo[s.Name]; found {
		return d
	}
	deepest := 0
	for _, name := range s.DependsOn {
		dependency, found := c.Service(name)
		if !found {
			continue
		}
		deepest = max(deepest, c.depth(dependency, memo)+1)
	}
	memo[s.Name] = deepest
	return deepest
}
