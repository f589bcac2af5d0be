package fabric

import (
	"net/netip"
	"testing"
)

func FuzzRoute(f *testing.F) {
	f.Add(newPacket(callerA, serviceAddr))
	f.Add(newPacket(serviceAddr, callerA))
	f.Add([]byte{0x45})
	f.Add([]byte{0x4f, 0, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		r := newRouter(servicePrefix, 1)
		to, v := r.route(datagram, udpA, []netip.AddrPort{b1})
		switch v {
		case verdictForward:
			if to != b1 && to != udpA {
				t.Fatalf("forwarded to %s", to)
			}
		case verdictMalformed, verdictUnknownDestination:
			if to.IsValid() {
				t.Fatalf("verdict %d has the receiver %s", v, to)
			}
		default:
			t.Fatalf("verdict %d", v)
		}
	})
}
