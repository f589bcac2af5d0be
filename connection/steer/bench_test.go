package steer_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

// discard is a sender that drops every datagram.
type discard struct{}

func (discard) Send([]byte, passthrough.Endpoint) {}

var service = passthrough.MakeEndpoint(0xc6120001, 443)

// balancer returns a router with the given number of servers.
func balancer(servers int) *steer.Router {
	s := steer.New(steer.Options{Format: passthroughtest.Format{}, Domain: "a", Sender: discard{}})
	version := &routes.Version{Revision: routes.Revision{Index: 1}, Services: map[string]routes.Service{"orders": {}}}
	version.Routes = map[netip.AddrPort]*routes.Route{
		service.AddrPort(): {Name: "r", Targets: []routes.Target{{Service: "orders", Weight: 1}}},
	}
	s.SetVersion(version)
	list := make([]steer.Server, servers)
	for i := range list {
		list[i] = steer.Server{
			Name: fmt.Sprintf("agent-%d", i), Agent: passthrough.MakeEndpoint(0x0a000000+uint32(i), 7000),
			Service: "orders", Domain: "a", State: steer.Ready, Slots: 2, Reachable: true,
		}
	}
	for _, server := range list {
		s.SetServer(server)
	}
	return s
}

func caller(i int) passthrough.Endpoint {
	return passthrough.MakeEndpoint(0x64400000+uint32(i/50000), uint16(i%50000))
}

// BenchmarkPacket measures the time for a packet of a known flow and for an opening
// packet, by the number of servers.
func BenchmarkPacket(b *testing.B) {
	for _, servers := range []int{10, 58, 1000} {
		for name, flags := range map[string]passthrough.Flags{"known": passthrough.Acknowledge, "opening": passthrough.Open} {
			b.Run(fmt.Sprintf("%s/%d", name, servers), func(b *testing.B) {
				s := balancer(servers)
				opening := passthroughtest.Framed(passthrough.Segment{Source: caller(1), Target: service, Flags: passthrough.Open})
				s.HandlePacket(opening)
				for i := range b.N {
					source := caller(1)
					if name == "opening" {
						source = caller(2 + i%100000)
					}
					s.HandlePacket(passthroughtest.Framed(passthrough.Segment{Source: source, Target: service, Flags: flags, Ack: 1}))
				}
				fmt.Printf("bench steer/%s/%d %.0f ns\n", name, servers, float64(b.Elapsed().Nanoseconds())/float64(b.N))
			})
		}
	}
}

// BenchmarkMemory measures the memory per flow in the cache of a balancer.
func BenchmarkMemory(b *testing.B) {
	const flows = 50_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := balancer(10)
	for i := range flows {
		s.HandlePacket(passthroughtest.Framed(passthrough.Segment{Source: caller(i), Target: service, Flags: passthrough.Open}))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	fmt.Printf("bench steer/flow %.0f B\n", float64(after.HeapAlloc-before.HeapAlloc)/flows)
	runtime.KeepAlive(s)
	for range b.N {
		_ = s.CachedFlows()
	}
}

// BenchmarkChoice measures an opening packet with a choice of the server and of the alternate
// among drawn servers, by the score and by the expected completion.
func BenchmarkChoice(b *testing.B) {
	for name, target := range map[string]time.Duration{"score": 0, "completion": 400 * time.Millisecond} {
		b.Run(name, func(b *testing.B) {
			started := time.Now()
			s := steer.New(steer.Options{
				Format: passthroughtest.Format{}, Domain: "a", Sender: discard{}, RequestReport: func(passthrough.Endpoint) {},
				Now: func() time.Duration { return time.Since(started) }, OnPlacement: func(passthrough.Flow, *steer.Server, time.Duration) {},
			})
			version := &routes.Version{Revision: routes.Revision{Index: 1}, Routes: map[netip.AddrPort]*routes.Route{
				service.AddrPort(): {LatencyTarget: target, Targets: []routes.Target{{Service: "orders", Weight: 1}}},
			}}
			s.SetVersion(version)
			for i := range 45 {
				s.SetServer(steer.Server{
					Name: fmt.Sprint(i), Agent: passthrough.MakeEndpoint(0x0a000000+uint32(i), 7000), Service: "orders", Domain: [...]string{"a", "b", "c"}[i%3],
					State: steer.Ready, Slots: 4, Reachable: true, HasLoad: true, Pending: i % 5, ServiceTime: time.Duration(20+i) * time.Millisecond,
				})
			}
			for i := range b.N {
				s.HandlePacket(passthroughtest.Framed(passthrough.Segment{Source: caller(i), Target: service, Flags: passthrough.Open, Ack: 1}))
			}
			fmt.Printf("bench steer/choice/%s %.0f ns\n", name, float64(b.Elapsed().Nanoseconds())/float64(b.N))
		})
	}
}
