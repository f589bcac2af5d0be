package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
	"bergamotbank/standin/link"
)

// testRelay is a relay with a target that echoes TCP and UDP.
type testRelay struct {
	*relay
}

func newTestRelay(t *testing.T) *testRelay {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r, err := newRelay(ctx, Pair{Listen: freePort(t), Target: startTarget(t)}, fault.NewSwitches(Faults{}), &counters{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	go r.run(ctx)
	return &testRelay{relay: r}
}

// lastHost is the last host number of a loopback address that a test used.
var lastHost atomic.Uint32

// freePort returns a free UDP and TCP port of a loopback address that no other
// test uses, so that sockets bound to port 0 elsewhere cannot take it.
func freePort(t testing.TB) netip.AddrPort {
	t.Helper()
	host := lastHost.Add(1)
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(140 + pid>>8%32), byte(pid), byte(host)})
	return netip.AddrPortFrom(ip, 7000)
}

func startTarget(t *testing.T) netip.AddrPort {
	t.Helper()
	address := freePort(t)
	tcp, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		tcp.Close()
		udp.Close()
	})
	go func() {
		for {
			conn, err := tcp.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	go func() {
		buffer := make([]byte, 100)
		for {
			n, source, err := udp.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			udp.WriteToUDPAddrPort(buffer[:n], source)
		}
	}()
	return address
}

func (r *testRelay) dial(t *testing.T, network string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, r.pair.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

const (
	// receiveTimeout limits the wait for data that is expected.
	receiveTimeout = 10 * time.Second
	// quietPeriod is how long a test checks that no data arrives.
	quietPeriod = 100 * time.Millisecond
)

// echoes reports whether sent bytes come back in time.
func echoes(conn net.Conn, wait time.Duration) bool {
	if _, err := conn.Write([]byte("ping")); err != nil {
		return false
	}
	return receives(conn, wait)
}

func receives(conn net.Conn, wait time.Duration) bool {
	conn.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(conn, make([]byte, len("ping")))
	return err == nil
}

func TestRelay(t *testing.T) {
	for _, network := range []string{"tcp", "udp"} {
		convey.Convey("Given an open connection over "+network, t, func() {
			r := newTestRelay(t)
			existing := r.dial(t, network)
			convey.So(echoes(existing, receiveTimeout), convey.ShouldBeTrue)

			convey.Convey("a blackhole ends existing connections permanently while new ones work", func() {
				r.faults.Set(Faults{BlackholeGeneration: 1})
				r.faults.Set(Faults{})
				convey.So(echoes(existing, quietPeriod), convey.ShouldBeFalse)
				convey.So(echoes(r.dial(t, network), receiveTimeout), convey.ShouldBeTrue)
				convey.So(echoes(existing, quietPeriod), convey.ShouldBeFalse)
			})
			convey.Convey("a cut direction transfers nothing", func() {
				for _, faults := range []Faults{{CutToTarget: true}, {CutFromTarget: true}} {
					r.faults.Set(faults)
					conn := r.dial(t, network)
					convey.So(echoes(conn, quietPeriod), convey.ShouldBeFalse)
					r.faults.Set(Faults{})
					if network == "tcp" {
						convey.So(receives(conn, receiveTimeout), convey.ShouldBeTrue)
					}
					convey.So(echoes(conn, receiveTimeout), convey.ShouldBeTrue)
				}
			})
			convey.Convey("faults of other pairs do not apply", func() {
				r.faults.Set(Faults{OnlyListen: []netip.AddrPort{r.pair.Target}, BlackholeGeneration: 1, CutToTarget: true})
				convey.So(echoes(existing, receiveTimeout), convey.ShouldBeTrue)
			})
			convey.Convey("a delay drops nothing", func() {
				r.faults.Set(Faults{Link: link.Link{Delay: fault.Duration(time.Millisecond)}})
				convey.So(echoes(existing, receiveTimeout), convey.ShouldBeTrue)
			})
		})
	}
	convey.Convey("Refuse resets new TCP connections", t, func() {
		r := newTestRelay(t)
		r.faults.Set(Faults{Refuse: true})
		conn, err := net.Dial("tcp", r.pair.Listen.String())
		convey.So(err == nil && echoes(conn, receiveTimeout), convey.ShouldBeFalse)
	})
	convey.Convey("Loss drops datagrams", t, func() {
		r := newTestRelay(t)
		r.faults.Set(Faults{Link: link.Link{LossRate: 1}})
		convey.So(echoes(r.dial(t, "udp"), quietPeriod), convey.ShouldBeFalse)
		convey.So(r.counters.dropped.Load(), convey.ShouldEqual, 1)
	})
	convey.Convey("The end of a stream is relayed", t, func() {
		r := newTestRelay(t)
		conn := r.dial(t, "tcp")
		convey.So(echoes(conn, receiveTimeout), convey.ShouldBeTrue)
		convey.So(conn.(*net.TCPConn).CloseWrite(), convey.ShouldBeNil)
		conn.SetReadDeadline(time.Now().Add(receiveTimeout))
		_, err := conn.Read(make([]byte, 1))
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
}

func TestPairFlag(t *testing.T) {
	convey.Convey("The pair flag has the form IP:PORT=IP:PORT", t, func() {
		var p Pair
		convey.So(p.UnmarshalText([]byte("127.0.0.1:1=127.0.0.2:2")), convey.ShouldBeNil)
		convey.So(p.Target, convey.ShouldEqual, netip.MustParseAddrPort("127.0.0.2:2"))
		for _, invalid := range []string{"", "127.0.0.1:1", "x=127.0.0.1:1"} {
			convey.So(errkind.Of(p.UnmarshalText([]byte(invalid))), convey.ShouldEqual, errkind.Usage)
		}
	})
}
