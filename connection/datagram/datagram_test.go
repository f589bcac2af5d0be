package datagram_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/connection/datagram"
	"bergamotbank/errkind"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func TestBatches(t *testing.T) {
	convey.Convey("Given two sockets", t, func() {
		from, err := datagram.Listen(loopback, false)
		convey.So(err, convey.ShouldBeNil)
		to, err := datagram.Listen(loopback, false)
		convey.So(err, convey.ShouldBeNil)
		reader, writer := to.NewReader(), datagram.NewWriter()
		sent := []byte("datagram")

		convey.Convey("a datagram arrives complete, with free bytes in front", func() {
			writer.Add(sent, to.Addr())
			convey.So(writer.Flush(from), convey.ShouldEqual, 0)
			n, err := reader.Read()
			convey.So(err, convey.ShouldBeNil)
			convey.So(n, convey.ShouldEqual, 1)
			convey.So(string(reader.Datagram(0)), convey.ShouldEqual, "datagram")
			b := reader.Prefixed(0, 4, 6)
			copy(b, "prefix")
			convey.So(string(b), convey.ShouldEqual, "prefixgram")
		})
		convey.Convey("reading and writing do not allocate", func() {
			allocs := testing.AllocsPerRun(100, func() {
				writer.Add(sent, to.Addr())
				writer.Flush(from)
				_, _ = reader.Read()
			})
			if !raceEnabled {
				convey.So(allocs, convey.ShouldEqual, 0)
			}
		})
		convey.Convey("a rejected datagram is counted and the others are sent", func() {
			writer.Add(make([]byte, 1<<17), to.Addr())
			writer.Add(sent, to.Addr())
			convey.So(writer.Flush(from), convey.ShouldEqual, 1)
			n, err := reader.Read()
			convey.So(err, convey.ShouldBeNil)
			convey.So(n, convey.ShouldEqual, 1)
		})
		convey.Convey("a closed socket fails the read, and an address in use is rejected", func() {
			_, err := datagram.Listen(to.Addr(), false)
			convey.So(errkind.Is(err, errkind.InvalidSettings), convey.ShouldBeTrue)
			convey.So(to.Close(), convey.ShouldBeNil)
			_, err = reader.Read()
			convey.So(err, convey.ShouldNotBeNil)
		})
		convey.Reset(func() {
			_ = from.Close()
			_ = to.Close()
		})
	})
}

func TestRotation(t *testing.T) {
	convey.Convey("Each period uses another port until all have been used", t, func() {
		r, err := datagram.NewRotation(loopback.Addr(), 4)
		convey.So(err, convey.ShouldBeNil)
		defer r.Close()
		start := time.Unix(0, 0)
		ports := make(map[uint16]bool)
		for period := range 4 {
			first := start.Add(time.Duration(period) * datagram.RotationPeriod)
			last := first.Add(datagram.RotationPeriod - 1)
			convey.So(r.At(first), convey.ShouldEqual, r.At(last))
			ports[r.At(first).Addr().Port()] = true
		}
		convey.So(len(ports), convey.ShouldEqual, 4)
	})
}

// TestEphemeralPortsAreUnique guards against datagrams that reach another process: the
// kernel may assign one ephemeral port to several sockets that share their ports.
func TestEphemeralPortsAreUnique(t *testing.T) {
	const sockets = 600
	convey.Convey("Shared sockets with ports chosen by the kernel have different ports, and others can join each", t, func() {
		seen := map[netip.AddrPort]bool{}
		for range sockets {
			c, err := datagram.Listen(loopback, true)
			convey.So(err, convey.ShouldBeNil)
			defer func() { _ = c.Close() }()
			seen[c.Addr()] = true
		}
		convey.So(len(seen), convey.ShouldEqual, sockets)
		for addr := range seen {
			c, err := datagram.Listen(addr, true)
			convey.So(err, convey.ShouldBeNil)
			convey.So(c.Close(), convey.ShouldBeNil)
		}
	})
}
