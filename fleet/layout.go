package fleet

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/pelletier/go-toml/v2"

	"bergamotbank/errkind"
)

// Layout describes the VMs of a deployment. It is read from a fleet.toml file.
type Layout struct {
	// DomainDelayMS is the one-way delay between failure domains in milliseconds.
	DomainDelayMS int `toml:"domain_delay_ms"`
	// CallerDelayMS is the one-way delay to callers in milliseconds.
	CallerDelayMS int `toml:"caller_delay_ms"`
	// Domains are the failure domains with their VMs.
	Domains []DomainLayout `toml:"domain"`
}

// DomainLayout describes the VMs of a failure domain.
type DomainLayout struct {
	// Name is the name of the failure domain.
	Name string `toml:"name"`
	// Balancers is the number of VMs with a balancer.
	Balancers int `toml:"balancers"`
	// Servers are the groups of backend servers.
	Servers []ServerGroup `toml:"servers"`
}

// ServerGroup is a group of identical backend servers of a service.
type ServerGroup struct {
	// Service is the name of the service.
	Service string `toml:"service"`
	// Count is the number of backend servers.
	Count int `toml:"count"`
}

// ReadLayout reads a fleet.toml file.
func ReadLayout(path string) (Layout, error) {
	var layout Layout
	text, err := os.ReadFile(path)
	if err != nil {
		return layout, errkind.Wrap(err, errkind.Usage, "layout")
	}
	err = toml.Unmarshal(text, &layout)
	return layout, errkind.Wrap(err, errkind.Usage, "layout %s", path)
}

// Ports of the processes on their VM.
const (
	storePort          = 8500
	fabricPort         = 7100
	fabricControlPort  = 7101
	packetPort         = 7000
	controlPort        = 7001
	callsPort          = 7002
	backendPort        = 8000
	backendControlPort = 8001
)

// Allocation of the address range of a fleet, 127.N.0.0/16.
const (
	firstServerHost = 101
	callerNetwork   = 250
	minNetwork      = 16
	maxNetwork      = 250
)

// network is the second byte of the loopback addresses of one fleet.
type network uint8

// reserveNetwork returns a network that no other fleet on this machine uses. The
// network remains reserved until the returned listener is closed.
func reserveNetwork() (network, net.Listener, error) {
	for n := minNetwork; n < maxNetwork; n++ {
		reservation, err := net.Listen("tcp", network(n).infrastructureAddress(1).String())
		if err == nil {
			return network(n), reservation, nil
		}
	}
	return 0, nil, errkind.New(errkind.Internal, "no loopback network is free")
}

func (n network) address(domain, host int, port uint16) netip.AddrPort {
	addr := netip.AddrFrom4([4]byte{127, byte(n), byte(domain), byte(host)})
	return netip.AddrPortFrom(addr, port)
}

// infrastructureAddress returns the address of a simulated external system.
func (n network) infrastructureAddress(port uint16) netip.AddrPort {
	return n.address(0, 1, port)
}

func balancerName(domain string, index int) string {
	return fmt.Sprintf("%s-balancer-%d", domain, index)
}

func serverName(domain, service string, index int) string {
	return fmt.Sprintf("%s-%s-%d", domain, service, index)
}
