package passthrough

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/gate"
	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/passthrough/passthroughtest"
	"bergamotbank/connection/steer"
	"bergamotbank/version/routes"
)

const (
	// benchWindow is the maximum number of packets in flight.
	benchWindow = 32
	// answerDelay is the time allowed for the server's answer to reach the agent.
	answerDelay = 20 * time.Millisecond
	// benchPayload is the payload size of a request packet, in bytes.
	benchPayload = 300
)

var (
	benchFree    = netip.MustParseAddrPort("127.0.0.1:0")
	benchService = netip.MustParseAddrPort("198.18.0.1:443")
)

// listenServer opens a socket that takes the place of a backend server.
func listenServer(b *testing.B) *net.UDPConn {
	b.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(benchFree))
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(4 << 20)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// relay starts a goroutine that forwards each batch of datagrams, and returns its
// address.
func relay(b *testing.B, to netip.AddrPort) netip.AddrPort {
	b.Helper()
	conn, err := listenDatagrams(benchFree)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	out := newSender(conn)
	go func() {
		_ = receive(b.Context(), conn, func(r *datagram.Reader, n int) {
			for i := range n {
				out.Send(r.Datagram(i), passthrough.EndpointOf(to))
			}
			out.flush()
		})
	}()
	return conn.Addr()
}

// startPath starts a balancer and an agent in front of a server. It returns the address of
// the balancer for callers and that of the agent for the server's packets.
func startPath(b *testing.B, server netip.AddrPort) (balancerAt, outbound netip.AddrPort) {
	b.Helper()
	a := newTestAgentFor(b, server)
	version := &routes.Version{Revision: routes.Revision{Index: 1}, Services: map[string]routes.Service{"orders": {}}, OutDomains: map[string]bool{}}
	version.Routes = map[netip.AddrPort]*routes.Route{benchService: {Name: "r", Targets: []routes.Target{{Service: "orders", Weight: 1}}}}
	a.setVersion(version)
	a.gate.SetServer(gate.Server{Service: "orders", Domain: "junin", Incarnation: 1, State: steer.Ready, Slots: 1 << 20}, a.clock.now())
	balancer, err := NewBalancer(a.settings, a.logger, a.adapter, Reload{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.setVersion(version)
	balancer.steer.SetServer(steer.Server{
		Name: "agent-1", Agent: passthrough.EndpointOf(a.peer.Addr()), Service: "orders", Domain: "junin", State: steer.Ready, Slots: 2, Reachable: true,
	})
	go func() { _ = receive(b.Context(), a.peer, a.handlePeerDatagrams) }()
	go func() { _ = receive(b.Context(), a.outbound, a.handleServerPackets) }()
	go func() { _ = receive(b.Context(), balancer.callers, balancer.handleCallerPackets) }()
	b.Cleanup(func() { _ = balancer.callers.Close(); _ = balancer.peer.Close() })
	return balancer.callers.Addr(), a.outbound.Addr()
}

// sendAll sends count copies of a packet to an address, one window at a time, and returns
// the time until all have arrived at server.
func sendAll(b *testing.B, count int, to netip.AddrPort, server *net.UDPConn, packet []byte) time.Duration {
	b.Helper()
	source := listenServer(b)
	buffer := make([]byte, datagram.MaxSize)
	started := time.Now()
	for sent := 0; sent < count; {
		window := min(benchWindow, count-sent)
		for range window {
			if _, err := source.WriteToUDPAddrPort(packet, to); err != nil {
				b.Fatal(err)
			}
		}
		for range window {
			_ = server.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := server.Read(buffer); err != nil {
				b.Fatal(err)
			}
		}
		sent += window
	}
	return time.Since(started)
}

// BenchmarkPath measures packets of one open flow through balancer and agent, and the
// same packets through two plain UDP relays for comparison.
func BenchmarkPath(b *testing.B) {
	const first = 100
	caller, service := passthrough.MakeEndpoint(0x7f000001, 40000), passthrough.EndpointOf(benchService)
	packet := func(s passthrough.Segment) []byte { return passthroughtest.Framed(s)[passthrough.FrameSize:] }
	opening := packet(passthrough.Segment{Source: caller, Target: service, Flags: passthrough.Open})
	answer := packet(passthrough.Segment{Source: service, Target: caller, Seq: first, Flags: passthrough.Open | passthrough.Acknowledge})
	request := packet(passthrough.Segment{Source: caller, Target: service, Ack: first + 1, Flags: passthrough.Acknowledge, Payload: make([]byte, benchPayload)})
	b.Run("relays", func(b *testing.B) {
		server := listenServer(b)
		spent := sendAll(b, b.N, relay(b, relay(b, addrOf(server))), server, request)
		fmt.Printf("bench path_two_bare_relays %.0f ns\n", float64(spent.Nanoseconds())/float64(b.N))
	})
	b.Run("balancer and agent", func(b *testing.B) {
		server := listenServer(b)
		balancer, outbound := startPath(b, addrOf(server))
		sendAll(b, 1, balancer, server, opening)
		if _, err := server.WriteToUDPAddrPort(answer, outbound); err != nil {
			b.Fatal(err)
		}
		time.Sleep(answerDelay)
		spent := sendAll(b, b.N, balancer, server, request)
		fmt.Printf("bench path_balancer_and_agent %.0f ns\n", float64(spent.Nanoseconds())/float64(b.N))
	})
}
