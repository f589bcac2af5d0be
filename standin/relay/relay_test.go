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

// bench is a relay in front of a target that echoes TCP and UDP.
type bench struct {
	*relay
}

func newBench(t *testing.T) *bench {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r, err := newRelay(ctx, Pair{Listen: freePort(t), Target: startTarget(t)}, fault.NewSwitches(Faults{}), &counters{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	go r.run(ctx)
	return &bench{relay: r}
}

// lastHost numbers the loopback addresses that tests took.
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

func (b *bench) dial(t *testing.T, network string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, b.pair.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

const (
	// patience bounds the wait for what must come.
	patience = 10 * time.Second
	// silence is how long nothing may come from what is silent.
	silence = 100 * time.Millisecond
)

// exchanges tells whether bytes come back within the wait.
func exchanges(conn net.Conn, wait time.Duration) bool {
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
			b := newBench(t)
			old := b.dial(t, network)
			convey.So(exchanges(old, patience), convey.ShouldBeTrue)

			convey.Convey("silence ends what is open for good and new ones work", func() {
				b.faults.Set(Faults{Silence: 1})
				b.faults.Set(Faults{})
				convey.So(exchanges(old, silence), convey.ShouldBeFalse)
				convey.So(exchanges(b.dial(t, network), patience), convey.ShouldBeTrue)
				convey.So(exchanges(old, silence), convey.ShouldBeFalse)
			})
			convey.Convey("a cut lets nothing through in its direction", func() {
				for _, faults := range []Faults{{CutToTarget: true}, {CutFromTarget: true}} {
					b.faults.Set(faults)
					fresh := b.dial(t, network)
					convey.So(exchanges(fresh, silence), convey.ShouldBeFalse)
					b.faults.Set(Faults{})
					if network == "tcp" {
						convey.So(receives(fresh, patience), convey.ShouldBeTrue)
					}
					convey.So(exchanges(fresh, patience), convey.ShouldBeTrue)
				}
			})
			convey.Convey("faults of other pairs do not count", func() {
				b.faults.Set(Faults{Only: []netip.AddrPort{b.pair.Target}, Silence: 1, CutToTarget: true})
				convey.So(exchanges(old, patience), convey.ShouldBeTrue)
			})
			convey.Convey("a delay lets everything through", func() {
				b.faults.Set(Faults{Link: link.Link{Delay: fault.Duration(time.Millisecond)}})
				convey.So(exchanges(old, patience), convey.ShouldBeTrue)
			})
		})
	}
	convey.Convey("Refusal resets new TCP connections", t, func() {
		b := newBench(t)
		b.faults.Set(Faults{Refuse: true})
		conn, err := net.Dial("tcp", b.pair.Listen.String())
		convey.So(err == nil && exchanges(conn, patience), convey.ShouldBeFalse)
	})
	convey.Convey("Loss drops datagrams", t, func() {
		b := newBench(t)
		b.faults.Set(Faults{Link: link.Link{Loss: 1}})
		convey.So(exchanges(b.dial(t, "udp"), silence), convey.ShouldBeFalse)
		convey.So(b.counts.dropped.Load(), convey.ShouldEqual, 1)
	})
	convey.Convey("The end of a stream is relayed", t, func() {
		b := newBench(t)
		conn := b.dial(t, "tcp")
		convey.So(exchanges(conn, patience), convey.ShouldBeTrue)
		convey.So(conn.(*net.TCPConn).CloseWrite(), convey.ShouldBeNil)
		conn.SetReadDeadline(time.Now().Add(patience))
		_, err := conn.Read(make([]byte, 1))
		convey.So(err, convey.ShouldEqual, io.EOF)
	})
}

func TestPairFlag(t *testing.T) {
	convey.Convey("A pair is IP:PORT=IP:PORT", t, func() {
		var p Pair
		convey.So(p.UnmarshalText([]byte("127.0.0.1:1=127.0.0.2:2")), convey.ShouldBeNil)
		convey.So(p.Target, convey.ShouldEqual, netip.MustParseAddrPort("127.0.0.2:2"))
		for _, broken := range []string{"", "127.0.0.1:1", "x=127.0.0.1:1"} {
			convey.So(errkind.Of(p.UnmarshalText([]byte(broken))), convey.ShouldEqual, errkind.Usage)
		}
	})
}
