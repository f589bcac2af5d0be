package fleet

import "net/netip"

// place gives every VM of the layout its name and addresses.
func (f *Fleet) place() {
	for d, domain := range f.options.Layout.Domains {
		for i := range domain.Balancers {
			f.balancers = append(f.balancers, f.placeBalancer(d, i+1))
		}
		host := firstServerHost
		for _, group := range domain.Servers {
			for i := range group.Count {
				vm := f.placeServer(d, host, group.Service, i+1)
				f.servers = append(f.servers, vm)
				host++
			}
		}
	}
}

// placeBalancer describes the entry VM with the given index in a domain.
func (f *Fleet) placeBalancer(domain, index int) BalancerVM {
	name := f.options.Layout.Domains[domain].Name
	return BalancerVM{
		Name:    balancerName(name, index),
		Domain:  name,
		Packet:  f.network.address(domain+1, index, packetPort),
		Control: f.network.address(domain+1, index, controlPort),
	}
}

// placeServer describes the VM of a backend server on the given host.
func (f *Fleet) placeServer(domain, host int, service string, index int) ServerVM {
	name := f.options.Layout.Domains[domain].Name
	at := func(port uint16) netip.AddrPort { return f.network.address(domain+1, host, port) }
	return ServerVM{
		Name:           serverName(name, service, index),
		Domain:         name,
		Service:        service,
		Backend:        at(backendPort),
		BackendControl: at(backendControlPort),
		Packet:         at(packetPort),
		Control:        at(controlPort),
		Calls:          at(callsPort),
		Source:         netip.AddrFrom4([4]byte{198, 19, byte(200 + domain), byte(host)}),
	}
}
