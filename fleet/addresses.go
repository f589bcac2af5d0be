package fleet

import "net/netip"

// assignAddresses assigns names and addresses to all VMs of the layout.
func (f *Fleet) assignAddresses() {
	for d, domain := range f.options.Layout.Domains {
		for i := range domain.Balancers {
			f.balancers = append(f.balancers, f.newBalancerVM(d, i+1))
		}
		host := firstServerHost
		for _, group := range domain.Servers {
			for i := range group.Count {
				vm := f.newServerVM(d, host, group.Service, i+1)
				f.servers = append(f.servers, vm)
				host++
			}
		}
	}
}

// newBalancerVM returns the VM of the balancer with the given index in a domain.
func (f *Fleet) newBalancerVM(domain, index int) BalancerVM {
	name := f.options.Layout.Domains[domain].Name
	return BalancerVM{
		Name:    balancerName(name, index),
		Domain:  name,
		Packet:  f.network.address(domain+1, index, packetPort),
		Control: f.network.address(domain+1, index, controlPort),
	}
}

// newServerVM returns the VM of a backend server on the given host.
func (f *Fleet) newServerVM(domain, host int, service string, index int) ServerVM {
	name := f.options.Layout.Domains[domain].Name
	address := func(port uint16) netip.AddrPort { return f.network.address(domain+1, host, port) }
	return ServerVM{
		Name:           serverName(name, service, index),
		Domain:         name,
		Service:        service,
		Backend:        address(backendPort),
		BackendControl: address(backendControlPort),
		Packet:         address(packetPort),
		Control:        address(controlPort),
		Calls:          address(callsPort),
		Source:         netip.AddrFrom4([4]byte{198, 19, byte(200 + domain), byte(host)}),
	}
}
