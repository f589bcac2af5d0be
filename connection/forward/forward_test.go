package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/encap"
	"bergamotbank/connection/forward"
	"bergamotbank/version/steering"
)

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = netip.MustParseAddrPort("198.18.0.10:80")
	caller   = netip.MustParseAddr("198.19.0.1")
)

// tcpPacket returns a SYN with size bytes of payload to the address.
func tcpPacket(port uint16, to netip.AddrPort, size int) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize+size)
	header.IPv4(b).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4(caller.As4()),
		DstAddr:     tcpip.AddrFrom4(to.Addr().As4()),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort: port, DstPort: to.Port(),
		DataOffset: header.TCPMinimumSize,
		Flags:      header.TCPFlagSyn,
	})
	return b
}

// serverAt returns a backend server whose agent listens at the address.
func serverAt(name string, addr netip.AddrPort) steering.Server {
	return steering.Server{Name: name, Domain: "junin", Addr: addr, Weight: steering.FullWeight}
}

// start runs a forwarder that stops at the end of the test.
func start(t testing.TB, ports int) *forward.Forwarder {
	f, err := forward.New(forward.Options{Listen: loopback, SourcePorts: ports})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f
}

func listen(t testing.TB) *net.UDPConn {
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func receive(c *net.UDPConn) (encap.Header, []byte, error) {
	b := make([]byte, datagram.MaxSize)
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _, err := c.ReadFromUDPAddrPort(b)
	if err != nil {
		return encap.Header{}, nil, err
	}
	var h encap.Header
	packet, err := h.Decode(b[:n])
	return h, packet, err
}

func TestPacketsReachTheOwner(t *testing.T) {
	convey.Convey("A packet is sent to the owner, and the previous owner follows in its header", t, func() {
		f := start(t, 2)
		oldAgent, newAgent, fabric := listen(t), listen(t), listen(t)
		table := forward.NewTable(nil, 1, []forward.ServiceInput{
			{Address: service, Servers: []steering.Server{serverAt("old", addrOf(oldAgent))}},
		}, time.Now())
		table = forward.NewTable(table, 2, []forward.ServiceInput{
			{Address: service, Servers: []steering.Server{serverAt("new", addrOf(newAgent))}},
		}, time.Now())
		f.SetTable(table)
		sent := tcpPacket(1, service, 100)
		_, err := fabric.WriteToUDPAddrPort(sent, f.Addr())
		convey.So(err, convey.ShouldBeNil)
		h, packet, err := receive(newAgent)
		convey.So(err, convey.ShouldBeNil)
		convey.So(packet, convey.ShouldResemble, sent)
		convey.So(h.ConfigVersion, convey.ShouldEqual, 2)
		convey.So(h.Len(), convey.ShouldEqual, 2)
		convey.So(h.Visited(h.Address(0)), convey.ShouldBeTrue)
		convey.So(h.Address(1), convey.ShouldEqual, addrOf(oldAgent))
		convey.So(h.Visited(h.Address(1)), convey.ShouldBeFalse)
	})
}

func TestDroppedPacketsAreCounted(t *testing.T) {
	convey.Convey("Each packet that cannot be forwarded is counted by reason", t, func() {
		f := start(t, 1)
		agent, fabric := listen(t), listen(t)
		empty := netip.MustParseAddrPort("198.18.0.11:80")
		send := func(b []byte) {
			_, err := fabric.WriteToUDPAddrPort(b, f.Addr())
			convey.So(err, convey.ShouldBeNil)
		}
		waitFor := func(want forward.Counters) {
			for deadline := time.Now().Add(20 * time.Second); f.Counters() != want && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			convey.So(f.Counters(), convey.ShouldResemble, want)
		}
		send(tcpPacket(1, service, 0))
		waitFor(forward.Counters{NoTable: 1})
		f.SetTable(forward.NewTable(nil, 1, []forward.ServiceInput{
			{Address: service, Servers: []steering.Server{serverAt("a", addrOf(agent))}},
			{Address: empty},
		}, time.Now()))
		ping := tcpPacket(1, service, 0)
		ping[9] = uint8(header.ICMPv4ProtocolNumber)
		fragment := tcpPacket(1, service, 0)
		fragment[6] = 0x20
		truncated := tcpPacket(1, service, 0)
		truncated[32] = 0xf0
		send(ping)
		send(fragment)
		send(truncated)
		send([]byte("foreign"))
		send(tcpPacket(1, empty, 0))
		send(tcpPacket(1, netip.MustParseAddrPort("198.18.0.12:80"), 0))
		send(tcpPacket(1, service, datagram.MaxSize))
		send(tcpPacket(1, service, 10))
		waitFor(forward.Counters{
			NoTable: 1, NotTCP: 1, Fragment: 1, BrokenTCP: 1, NotIPv4: 1,
			NoServer: 1, NoService: 1, TooLarge: 1, Forwarded: 1, ForwardedBytes: 50,
		})
	})
}

func TestRouteDoesNotAllocate(t *testing.T) {
	convey.Convey("Routing a packet and writing its header does not allocate", t, func() {
		table := forward.NewTable(nil, 1, []forward.ServiceInput{
			{Address: service, Servers: []steering.Server{serverAt("a", netip.MustParseAddrPort("127.0.0.1:1"))}},
		}, time.Now())
		packet, out := tcpPacket(1, service, 100), make([]byte, datagram.Headroom)
		convey.So(table.Route(packet, out), convey.ShouldBeTrue)
		convey.So(testing.AllocsPerRun(100, func() { table.Route(packet, out) }), convey.ShouldEqual, 0)
	})
}

func TestUnchangedServicesShareTables(t *testing.T) {
	convey.Convey("Only a changed service gets a new steering table", t, func() {
		inputs := make([]forward.ServiceInput, 100)
		for i := range inputs {
			inputs[i].Address = netip.AddrPortFrom(service.Addr(), uint16(i+1))
			for j := range 100 {
				addr := netip.AddrPortFrom(loopback.Addr(), uint16(j+1))
				inputs[i].Servers = append(inputs[i].Servers, serverAt(fmt.Sprintf("s%d", j), addr))
			}
		}
		now := time.Now()
		table := forward.NewTable(nil, 1, inputs, now)
		next := forward.NewTable(table, 2, inputs, now)
		convey.So(forward.SharedSteeringTables(table, next), convey.ShouldEqual, 100)
		inputs[7].Servers = inputs[7].Servers[1:]
		next = forward.NewTable(table, 3, inputs, now)
		convey.So(forward.SharedSteeringTables(table, next), convey.ShouldEqual, 99)
	})
}
