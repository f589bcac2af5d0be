// Package config reads, validates, compares and renders the operators' text: a
// TOML document that lists the services, the services that each depends on, and
// the failure domains. A Config is immutable after Parse and safe for
// concurrent use.
package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Protocol tells how the flows of a service are served.
type Protocol string

// The protocols of a service.
const (
	// ProtocolRequest serves HTTP requests with admission and deadlines.
	ProtocolRequest Protocol = "request"
	// ProtocolTCP relays the bytes of each flow.
	ProtocolTCP Protocol = "tcp"
)

// Limits of a text and its fields.
const (
	// MaxTextBytes is the largest accepted text, in bytes.
	MaxTextBytes = 8 << 20
	// MaxServices is the largest number of services in one text.
	MaxServices = 20000
	// MaxNameBytes is the longest name of a service or failure domain, in bytes.
	MaxNameBytes = 63
	// MaxSlots is the largest number of concurrent requests of one server.
	MaxSlots = 65536
	// MaxConnections is the largest number of connections of one server.
	MaxConnections = 1000000
	// MaxTimeout is the longest time that a request may take.
	MaxTimeout = time.Hour
	// MinTimeout is the shortest time limit of a request.
	MinTimeout = time.Millisecond
)

// Values of fields that the text leaves out.
const (
	// DefaultProtocol applies when a service names no protocol.
	DefaultProtocol = ProtocolRequest
	// DefaultSlots applies when a service names no slots.
	DefaultSlots = 1
	// DefaultConnections applies when a service names no connections.
	DefaultConnections = 1000
	// DefaultTimeout applies when a service names no timeout.
	DefaultTimeout = 30 * time.Second
)

// Service is one service of the text.
type Service struct {
	// Name identifies the service.
	Name string
	// Address is the IPv4 address that callers connect to.
	Address netip.Addr
	// Port is the TCP port that callers connect to.
	Port uint16
	// Protocol tells how the flows are served.
	Protocol Protocol
	// Slots is the number of requests that one server runs at a time.
	Slots int
	// Connections is the number of connections that one server holds.
	Connections int
	// DependsOn lists the names of the services that this one calls, sorted.
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

// Domain is one failure domain of the text.
type Domain struct {
	// Name identifies the failure domain.
	Name string
	// Region is the name of the region that holds the failure domain.
	Region string
	// Out is true while operators have taken the failure domain out.
	Out bool
}

// Config is the validated content of one text. Services and Domains are sorted
// by name; callers must not modify them.
type Config struct {
	// Services lists the services, sorted by name.
	Services []Service
	// Domains lists the failure domains, sorted by name.
	Domains []Domain
}

// Snapshot is one accepted version of the configuration.
type Snapshot struct {
	// Version is the monotone number of the version; 0 means none.
	Version uint64
	// Config is the content of the version; nil when Version is 0.
	Config *Config
}

// Service returns the service of the given name.
func (c *Config) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int {
		return strings.Compare(s.Name, n)
	})
	if !found {
		return Service{}, false
	}
	return c.Services[i], true
}

// ServiceAt returns the service that callers reach at the given address.
func (c *Config) ServiceAt(addr netip.AddrPort) (Service, bool) {
	for _, s := range c.Services {
		if s.AddrPort() == addr {
			return s, true
		}
	}
	return Service{}, false
}

// Domain returns the failure domain of the given name.
func (c *Config) Domain(name string) (Domain, bool) {
	i, found := slices.BinarySearchFunc(c.Domains, name, func(d Domain, n string) int {
		return strings.Compare(d.Name, n)
	})
	if !found {
		return Domain{}, false
	}
	return c.Domains[i], true
}

// DomainOut tells whether operators have taken the failure domain out. A
// failure domain that the text does not list is in.
func (c *Config) DomainOut(name string) bool {
	d, _ := c.Domain(name)
	return d.Out
}

// WithDomainOut returns a copy of the configuration in which the failure domain
// is out or in, and false when the text does not list it.
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

// StartOrder returns the names of the services in groups: a group depends only
// on groups before it. Start-up follows the order, drain its reverse.
func (c *Config) StartOrder() [][]string {
	depth := make(map[string]int, len(c.Services))
	var groups [][]string
	for _, s := range c.Services {
		d := c.depth(s, depth)
		for len(groups) <= d {
			groups = append(groups, nil)
		}
		groups[d] = append(groups[d], s.Name)
	}
	return groups
}

// depth returns the length of the longest chain of dependencies of s. The
// dependencies hold no cycle, since Parse refuses them.
func (c *Config) depth(s Service, known map[string]int) int {
	if d, found := known[s.Name]; found {
		return d
	}
	deepest := 0
	for _, name := range s.DependsOn {
		needed, found := c.Service(name)
		if !found {
			continue
		}
		deepest = max(deepest, c.depth(needed, known)+1)
	}
	known[s.Name] = deepest
	return deepest
}
