package balancer

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bergamotbank/connection/forward"
	"bergamotbank/process/membership"
	"bergamotbank/process/routing"
	"bergamotbank/version/config"
)

// Deployment size that a balancer has to support.
const (
	targetServers  = 26000
	targetServices = 1600
	targetDomains  = 13
)

// benchFleet returns a configuration with the given number of services and a
// view with the given number of servers.
func benchFleet(servers, services int) (*config.Config, membership.View) {
	c := &config.Config{}
	for d := range targetDomains {
		c.Domains = append(c.Domains, config.Domain{Name: fmt.Sprintf("domain-%02d", d)})
	}
	for s := range services {
		addr := netip.AddrFrom4([4]byte{198, 18, byte(s >> 8), byte(s)})
		c.Services = append(c.Services, config.Service{Name: fmt.Sprintf("service-%04d", s), Address: addr, Port: 80})
	}
	var view membership.View
	for i := range servers {
		view.Servers = append(view.Servers, membership.Record{
			Server:  fmt.Sprintf("server-%05d", i),
			Service: c.Services[i%services].Name,
			Domain:  c.Domains[i%targetDomains].Name,
			Packet:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
			State:   membership.Warm,
			Weight:  100,
		})
	}
	return c, view
}

// BenchmarkPlaneAfterChange measures how long a balancer takes to rebuild its
// forwarding table after the weight of one server has changed.
func BenchmarkPlaneAfterChange(b *testing.B) {
	for _, divisor := range []int{8, 4, 2, 1} {
		servers, services := targetServers/divisor, targetServices/divisor
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c, view := benchFleet(servers, services)
			now := time.Unix(1_800_000_000, 0)
			var tracker routing.Tracker
			table := forward.NewTable(nil, 1, serviceInputs(&tracker, c, view), now)
			weight := uint16(50)
			start := time.Now()
			for b.Loop() {
				weight ^= 1
				view = membership.View{Servers: slices.Clone(view.Servers)}
				view.Servers[7].Weight = weight
				now = now.Add(time.Second)
				table = forward.NewTable(table, 1, serviceInputs(&tracker, c, view), now)
			}
			perRebuild := time.Since(start) / time.Duration(b.N)
			fmt.Printf("bench balancer_plane_after_change_%d_servers %.3f ms\n", servers, perRebuild.Seconds()*1000)
		})
	}
}
