package fabric

import (
	"context"
	"encoding/binary"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
	"bergamotbank/standin/link"
)

var (
	servicePrefix = netip.MustParsePrefix("198.18.0.0/16")
	serviceAddr   = netip.MustParseAddr("198.18.0.10")
	callerA       = netip.MustParseAddr("198.19.0.1")
	callerB       = netip.MustParseAddr("198.19.0.2")
	udpA          = netip.MustParseAddrPort("127.0.1.1:7000")
	udpB          = netip.MustParseAddrPort("127.0.1.2:7000")
	agentUDP      = netip.MustParseAddrPort("127.0.2.1:7000")
	b1            = netip.MustParseAddrPort("127.0.3.1:7000")
	b2            = netip.MustParseAddrPort("127.0.3.2:7000")
)

func newPacket(source, destination netip.Addr) []byte {
	p := make([]byte, ipv4HeaderBytes)
	p[0] = 0x45
	binary.BigEndian.PutUint16(p[totalLengthOffset:], ipv4HeaderBytes)
	copy(p[sourceOffset:], source.AsSlice())
	copy(p[destinationOffset:], destination.AsSlice())
	return p
}

func TestRoute(t *testing.T) {
	truncated := newPacket(callerA, serviceAddr)
	truncated[totalLengthOffset+1] = ipv4HeaderBytes + 1
	short := newPacket(callerA, serviceAddr)
	short[0] = 0x44
	cases := []struct {
		name      string
		packet    []byte
		balancers []netip.AddrPort
		to        netip.AddrPort
		verdict   verdict
	}{
		{"to a service", newPacket(callerA, serviceAddr), []netip.AddrPort{b1}, b1, verdictForward},
		{"to a service without balancers", newPacket(callerA, serviceAddr), nil, netip.AddrPort{}, verdictNoBalancer},
		{"to a known caller", newPacket(serviceAddr, callerB), nil, udpB, verdictForward},
		{"to an unknown caller", newPacket(serviceAddr, netip.MustParseAddr("198.19.9.9")), nil, netip.AddrPort{}, verdictUnknownDestination},
		{"empty", nil, nil, netip.AddrPort{}, verdictMalformed},
		{"truncated", truncated, nil, netip.AddrPort{}, verdictMalformed},
		{"with a short header", short, nil, netip.AddrPort{}, verdictMalformed},
		{"of another version", []byte("\x60 a datagram long enough"), nil, netip.AddrPort{}, verdictMalformed},
	}
	for _, c := range cases {
		convey.Convey("Packet "+c.name, t, func() {
			r := newRouter(servicePrefix, 1)
			r.route(newPacket(callerB, serviceAddr), udpB, []netip.AddrPort{b1})
			to, v := r.route(c.packet, udpA, c.balancers)
			convey.So(v, convey.ShouldEqual, c.verdict)
			convey.So(to, convey.ShouldEqual, c.to)
		})
	}
	convey.Convey("Packets of one flow are spread over all balancers", t, func() {
		r := newRouter(servicePrefix, 1)
		received := make(map[netip.AddrPort]int)
		for range 1000 {
			to, _ := r.route(newPacket(callerA, serviceAddr), udpA, []netip.AddrPort{b1, b2})
			received[to]++
		}
		convey.So(received[b1], convey.ShouldBeBetween, 400, 600)
		convey.So(received[b1]+received[b2], convey.ShouldEqual, 1000)
	})
	convey.Convey("The new address of a caller that moved is learned; that of a service never is", t, func() {
		r := newRouter(servicePrefix, 1)
		r.route(newPacket(callerA, serviceAddr), udpA, []netip.AddrPort{b1})
		r.route(newPacket(callerA, serviceAddr), udpB, []netip.AddrPort{b1})
		to, _ := r.route(newPacket(serviceAddr, callerA), agentUDP, nil)
		convey.So(to, convey.ShouldEqual, udpB)
		convey.So(r.learned, convey.ShouldHaveLength, 1)
	})
}

func TestOtherBalancer(t *testing.T) {
	b3 := netip.MustParseAddrPort("127.0.3.3:7000")
	cases := []struct {
		name      string
		receiver  netip.AddrPort
		balancers []netip.AddrPort
		others    []netip.AddrPort
	}{
		{"of three", b2, []netip.AddrPort{b1, b2, b3}, []netip.AddrPort{b1, b3}},
		{"of one", b1, []netip.AddrPort{b1}, nil},
		{"of a packet to a caller", udpA, []netip.AddrPort{b1, b2}, nil},
	}
	for _, c := range cases {
		convey.Convey("A second balancer "+c.name, t, func() {
			r := newRouter(servicePrefix, 1)
			received := make(map[netip.AddrPort]bool)
			for range 100 {
				if other, ok := r.otherBalancer(c.receiver, c.balancers); ok {
					received[other] = true
				}
			}
			convey.So(received, convey.ShouldHaveLength, len(c.others))
			for _, other := range c.others {
				convey.So(received[other], convey.ShouldBeTrue)
			}
		})
	}
}

func TestLaggingHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		results := []bool{true, true, false, true, true}
		want := []bool{false, false, true, true, false, true, true}
		probes := 0
		probe := func(context.Context, string) bool {
			probes++
			return results[min(probes, len(results))-1]
		}
		p := newPool(time.Second, 2*time.Second, probe, zap.NewNop())
		p.add(ctx, Balancer{Name: "b1", Packet: b1, Health: "http://b1/"})
		time.Sleep(time.Millisecond)
		for second, alive := range want {
			if got := p.status()[0].Alive; got != alive {
				t.Errorf("after %d s the balancer status is alive=%t", second, got)
			}
			if got := len(p.targets()) == 1; got != alive {
				t.Errorf("after %d s the balancer is a target: %t", second, got)
			}
			time.Sleep(time.Second)
		}
		if !p.remove("b1") || len(p.targets()) != 0 {
			t.Error("a removed balancer is still a target")
		}
		time.Sleep(time.Minute)
		if len(p.targets()) != 0 {
			t.Error("a late health check result restored a removed balancer")
		}
	})
}

func TestTopology(t *testing.T) {
	text := `
[[member]]
network = "127.0.1.0/24"
domain = "clients"
[[member]]
address = "127.0.3.1:7000"
domain = "junin"
[[link]]
from = "clients"
to = "junin"
both = true
delay = "3ms"
[[blocked]]
from = "127.0.1.1:7000"
to = "127.0.3.2:7000"
`
	path := filepath.Join(t.TempDir(), "topology.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	convey.Convey("A topology file defines domains, links and blocked pairs", t, func() {
		topology, err := ReadTopology(path)
		convey.So(err, convey.ShouldBeNil)
		n := newNetwork(topology)
		convey.So(n.link(link.Pair{From: udpA, To: b1}).Delay, convey.ShouldEqual, fault.Duration(3*time.Millisecond))
		convey.So(n.link(link.Pair{From: b1, To: udpA}).Delay, convey.ShouldEqual, fault.Duration(3*time.Millisecond))
		convey.So(n.link(link.Pair{From: udpA, To: b2}).Delay, convey.ShouldEqual, fault.Duration(0))
		convey.So(n.blocked[link.Pair{From: udpA, To: b2}], convey.ShouldBeTrue)
		convey.So(n.unimpaired, convey.ShouldBeFalse)
		convey.So(newNetwork(Topology{}).unimpaired, convey.ShouldBeTrue)
	})
	convey.Convey("An invalid topology file is rejected", t, func() {
		convey.So(os.WriteFile(path, []byte("[[link]]\nspeed = 3"), 0o600), convey.ShouldBeNil)
		_, err := ReadTopology(path)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.InvalidSettings)
	})
}

func TestBalancerFlag(t *testing.T) {
	convey.Convey("The balancer flag has the form NAME=IP:PORT,HEALTHURL", t, func() {
		var b Balancer
		convey.So(b.UnmarshalText([]byte("b1=127.0.3.1:7000,http://127.0.3.1:7001/readyz")), convey.ShouldBeNil)
		convey.So(b, convey.ShouldResemble, Balancer{Name: "b1", Packet: b1, Health: "http://127.0.3.1:7001/readyz"})
		for _, invalid := range []string{"", "b1", "=127.0.0.1:1", "b1=127.0.0.1"} {
			convey.So(errkind.Of(b.UnmarshalText([]byte(invalid))), convey.ShouldEqual, errkind.Usage)
		}
	})
}
