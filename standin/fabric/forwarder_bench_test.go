package fabric

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"

	"bergamotbank/standin/fault"
	"bergamotbank/standin/link"
)

// benchWindow is the number of packets in flight.
const benchWindow = 64

func listenUDP(b *testing.B) (*net.UDPConn, netip.AddrPort) {
	b.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { conn.Close() })
	return conn, conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

func BenchmarkForward(b *testing.B) {
	cases := []struct {
		name     string
		topology Topology
	}{
		{"unimpaired", Topology{}},
		{"delay", Topology{Default: link.Link{Delay: fault.Duration(3 * time.Millisecond)}}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) { benchForward(b, c.topology) })
	}
}

func benchForward(b *testing.B, topology Topology) {
	receiver, target := listenUDP(b)
	sender, _ := listenUDP(b)
	p := newPool(time.Second, 0, newProber(time.Second), zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.add(ctx, Balancer{Name: "b", Packet: target})
	f, err := newForwarder(netip.MustParseAddrPort("127.0.0.1:0"), servicePrefix, 1, p, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	f.network.Store(newNetwork(topology))
	go f.run(ctx)
	to := f.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	payload := append(newPacket(callerA, serviceAddr), make([]byte, 1000)...)
	buffer := make([]byte, packetBytes)
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += benchWindow {
		for range benchWindow {
			if _, err := sender.WriteToUDPAddrPort(payload, to); err != nil {
				b.Fatal(err)
			}
		}
		for range benchWindow {
			receiver.SetReadDeadline(time.Now().Add(time.Second))
			if _, _, err := receiver.ReadFromUDPAddrPort(buffer); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "packets/s")
}
