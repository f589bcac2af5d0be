// Package forward is the balancer's packet path: it takes callers' IPv4 packets
// from the fabric and sends each to the agent that owns its flow.
package forward

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/version/steering"
)

// FormerTableTTL is the time for which a replaced table still adds candidates.
const FormerTableTTL = 2 * time.Minute

// ServiceInput is what the table of one service is built from.
type ServiceInput struct {
	// Address is the address and port of the service.
	Address netip.AddrPort
	// Servers are the service's servers that may get packets.
	Servers []steering.Server
	// OutDomains are the failure domains that are out. Their servers are not
	// named as former owners.
	OutDomains []string
}

// service is the steering state of one service.
type service struct {
	servers    []steering.Server
	outDomains []string
	history    steering.History
}

// Table is the immutable forwarding state of a balancer: the steering tables of
// all services, current and former.
type Table struct {
	version  uint64
	services map[netip.AddrPort]*service
}

// NewTable returns the plane for a configuration version and the servers of
// each service. It takes over the former tables of the previous plane, which
// may be nil. A service with unchanged servers shares its table with the
// previous plane. The inputs are kept and must not be modified afterwards.
func NewTable(previous *Table, version uint64, services []ServiceInput, now time.Time) *Table {
	p := &Table{
		version:  version,
		services: make(map[netip.AddrPort]*service, len(services)),
	}
	for _, input := range services {
		p.services[input.Address] = newService(previous.service(input.Address), input, now)
	}
	return p
}

// Version returns the configuration version of the plane.
func (p *Table) Version() uint64 {
	return p.version
}

func (p *Table) service(addr netip.AddrPort) *service {
	if p == nil {
		return nil
	}
	return p.services[addr]
}

func newService(previous *service, input ServiceInput, now time.Time) *service {
	if previous == nil {
		previous = &service{}
	}
	table := previous.history.Current()
	known := table != nil && equalServers(previous.servers, input.Servers)
	if known && slices.Equal(previous.outDomains, input.OutDomains) && !previous.history.Outdated(now, FormerTableTTL) {
		return previous
	}
	if !known {
		table = steering.Build(input.Servers)
	}
	history := previous.history.Push(table, now, FormerTableTTL)
	return &service{
		servers:    input.Servers,
		outDomains: input.OutDomains,
		history:    history.WithOut(input.OutDomains),
	}
}

// equalServers compares two lists, at once when they are the same slice.
func equalServers(a, b []steering.Server) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
