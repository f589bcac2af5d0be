// Package forward implements the balancer's data path: it receives callers' IPv4
// packets from the network fabric and sends each to the agent that owns its flow.
package forward

import (
	"net/netip"
	"slices"
	"time"

	"bergamotbank/version/steering"
)

// previousTableTTL is the time for which a replaced steering table still contributes
// candidates.
const previousTableTTL = 2 * time.Minute

// ServiceInput is the input of the forwarding table for one service.
type ServiceInput struct {
	// Address is the address and port of the service.
	Address netip.AddrPort
	// Servers are the service's backend servers that may receive packets.
	Servers []steering.Server
	// OutDomains are the failure domains that are out of service. Their servers
	// are excluded from the previous owners.
	OutDomains []string
}

// serviceEntry is the entry of one service in a forwarding table.
type serviceEntry struct {
	servers    []steering.Server
	outDomains []string
	history    steering.History
}

// Table is the forwarding table of a balancer: the current and previous steering
// tables of every service. It is immutable.
type Table struct {
	version uint64
	entries map[netip.AddrPort]*serviceEntry
}

// NewTable returns the forwarding table for a configuration version and the
// servers of each service. It keeps the steering tables of the forwarding table that
// it replaces, previous, which may be nil. A service with unchanged servers shares
// its steering table with that one. The inputs are retained and must not be
// modified afterwards.
func NewTable(previous *Table, version uint64, services []ServiceInput, now time.Time) *Table {
	t := &Table{
		version: version,
		entries: make(map[netip.AddrPort]*serviceEntry, len(services)),
	}
	for _, input := range services {
		t.entries[input.Address] = newServiceEntry(previous.entry(input.Address), input, now)
	}
	return t
}

// Version returns the configuration version of the forwarding table.
func (t *Table) Version() uint64 {
	return t.version
}

func (t *Table) entry(addr netip.AddrPort) *serviceEntry {
	if t == nil {
		return nil
	}
	return t.entries[addr]
}

func newServiceEntry(previous *serviceEntry, input ServiceInput, now time.Time) *serviceEntry {
	if previous == nil {
		previous = &serviceEntry{}
	}
	steeringTable := previous.history.Current()
	unchanged := steeringTable != nil && equalServers(previous.servers, input.Servers)
	if unchanged && slices.Equal(previous.outDomains, input.OutDomains) && !previous.history.HasExpiredTables(now, previousTableTTL) {
		return previous
	}
	if !unchanged {
		steeringTable = steering.Build(input.Servers)
	}
	history := previous.history.Push(steeringTable, now, previousTableTTL)
	return &serviceEntry{
		servers:    input.Servers,
		outDomains: input.OutDomains,
		history:    history.WithOutDomains(input.OutDomains),
	}
}

// equalServers reports whether two lists are equal. It returns early if both are
// the same slice.
func equalServers(a, b []steering.Server) bool {
	if len(a) == len(b) && len(a) > 0 && &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}
