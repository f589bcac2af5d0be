package encap_test

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

var (
	caller  = netip.MustParseAddrPort("198.19.0.1:40000")
	service = netip.MustParseAddrPort("198.18.0.10:80")
)

// tcpPacket returns an IPv4 packet with a TCP segment without payload.
func tcpPacket(from, to netip.AddrPort, flags header.TCPFlags, sequence, ack uint32) []byte {
	b := make([]byte, header.IPv4MinimumSize+header.TCPMinimumSize)
	header.IPv4(b).Encode(&header.IPv4Fields{
		TotalLength: uint16(len(b)),
		TTL:         64,
		Protocol:    uint8(header.TCPProtocolNumber),
		SrcAddr:     tcpip.AddrFrom4(from.Addr().As4()),
		DstAddr:     tcpip.AddrFrom4(to.Addr().As4()),
	})
	header.TCP(b[header.IPv4MinimumSize:]).Encode(&header.TCPFields{
		SrcPort:    from.Port(),
		DstPort:    to.Port(),
		SeqNum:     sequence,
		AckNum:     ack,
		DataOffset: header.TCPMinimumSize,
		Flags:      flags,
	})
	return b
}

func sampleHeader() encap.Header {
	h := encap.Header{Kind: encap.KindPacket, HopLimit: encap.DefaultHopLimit, ConfigVersion: 77}
	h.Visit(netip.MustParseAddrPort("127.0.0.1:4000"))
	h.Add(netip.MustParseAddrPort("127.0.0.2:4000"))
	return h
}

func encode(h *encap.Header, payload []byte) []byte {
	b := make([]byte, h.Size(), h.Size()+len(payload))
	h.Put(b)
	return append(b, payload...)
}

func TestHeaderRoundTrip(t *testing.T) {
	convey.Convey("A header and its payload are unchanged after encoding and decoding", t, func() {
		h := sampleHeader()
		var got encap.Header
		rest, err := got.Decode(encode(&h, []byte("packet")))
		convey.So(err, convey.ShouldBeNil)
		convey.So(got, convey.ShouldResemble, h)
		convey.So(string(rest), convey.ShouldEqual, "packet")
	})
	convey.Convey("An invalid datagram is rejected with the error for its cause", t, func() {
		h := sampleHeader()
		valid := encode(&h, nil)
		corrupt := func(offset int, value byte) []byte {
			b := bytes.Clone(valid)
			b[offset] = value
			return b
		}
		cases := []struct {
			datagram []byte
			want     error
		}{
			{nil, encap.ErrMagic},
			{tcpPacket(caller, service, header.TCPFlagSyn, 1, 0), encap.ErrMagic},
			{valid[:5], encap.ErrTruncated},
			{valid[:len(valid)-1], encap.ErrTruncated},
			{corrupt(1, encap.MinVersion-1), encap.ErrVersion},
			{corrupt(1, encap.MaxVersion+1), encap.ErrVersion},
			{corrupt(2, 9), encap.ErrKind},
			{corrupt(12, encap.MaxAddresses+1), encap.ErrAddresses},
			{corrupt(13, 0xff), encap.ErrAddresses},
		}
		for _, c := range cases {
			var got encap.Header
			_, err := got.Decode(c.datagram)
			convey.So(err, convey.ShouldEqual, c.want)
		}
	})
	convey.Convey("An address is listed once, up to the maximum number of addresses", t, func() {
		h := encap.Header{}
		for i := range encap.MaxAddresses {
			addr := netip.AddrPortFrom(caller.Addr(), uint16(i+1))
			convey.So(h.Visited(addr), convey.ShouldBeFalse)
			convey.So(h.Visit(addr), convey.ShouldBeTrue)
			convey.So(h.Visit(addr), convey.ShouldBeTrue)
			convey.So(h.Visited(addr), convey.ShouldBeTrue)
		}
		convey.So(h.Len(), convey.ShouldEqual, encap.MaxAddresses)
		convey.So(h.Visit(service), convey.ShouldBeFalse)
	})
}

func TestHashesRoundTrip(t *testing.T) {
	convey.Convey("Hash lists are unchanged after encoding and decoding and are limited to one datagram", t, func() {
		hashes := make([]uint64, encap.MaxHashes+1)
		for i := range hashes {
			hashes[i] = uint64(i) << 40
		}
		b := encap.AppendHashes(nil, encap.KindRegistration, caller, hashes)
		convey.So(len(b), convey.ShouldBeLessThan, 1200)
		var h encap.Header
		rest, err := h.Decode(b)
		convey.So(err, convey.ShouldBeNil)
		var list [encap.MaxHashes]uint64
		holder, got, err := encap.DecodeHashes(&h, rest, &list)
		convey.So(err, convey.ShouldBeNil)
		convey.So(holder, convey.ShouldEqual, caller)
		convey.So(got, convey.ShouldResemble, hashes[:encap.MaxHashes])
		_, _, err = encap.DecodeHashes(&h, rest[1:], &list)
		convey.So(err, convey.ShouldEqual, encap.ErrTruncated)
	})
}

func TestParseSegment(t *testing.T) {
	convey.Convey("Addresses, flags and numbers are parsed, and both directions have the same flow key", t, func() {
		var in, out encap.Segment
		flags := header.TCPFlagSyn | header.TCPFlagAck
		convey.So(encap.ParseSegment(tcpPacket(caller, service, flags, 5, 6), &in), convey.ShouldBeNil)
		convey.So(encap.ParseSegment(tcpPacket(service, caller, 0, 0, 0), &out), convey.ShouldBeNil)
		convey.So(in, convey.ShouldResemble, encap.Segment{
			Source: caller, Destination: service, Flags: flags, Sequence: 5, Acknowledgement: 6,
		})
		convey.So(in.FlowKeyToService(), convey.ShouldResemble, out.FlowKeyToCaller())
		convey.So(in.FlowKeyToService().Hash(), convey.ShouldEqual, encap.FlowHash(caller, service))
		convey.So(in.FlowKeyToService().Hash(), convey.ShouldNotEqual, encap.FlowHash(service, caller))
	})
	convey.Convey("Other packets are rejected with the error for their cause", t, func() {
		change := func(f func(b []byte)) []byte {
			b := tcpPacket(caller, service, header.TCPFlagSyn, 5, 6)
			f(b)
			return b
		}
		cases := []struct {
			packet []byte
			want   error
		}{
			{nil, encap.ErrNotIPv4},
			{change(func(b []byte) { b[0] = 0x65 }), encap.ErrNotIPv4},
			{change(func(b []byte) { b[3]++ }), encap.ErrNotIPv4},
			{change(func(b []byte) { b[9] = uint8(header.ICMPv4ProtocolNumber) }), encap.ErrNotTCP},
			{change(func(b []byte) { b[6] = 0x20 }), encap.ErrFragment},
			{change(func(b []byte) { b[7] = 1 }), encap.ErrFragment},
			{change(func(b []byte) { b[3]-- }), encap.ErrTCP},
			{change(func(b []byte) { b[32] = 0xf0 }), encap.ErrTCP},
		}
		for _, c := range cases {
			var s encap.Segment
			convey.So(encap.ParseSegment(c.packet, &s), convey.ShouldEqual, c.want)
		}
	})
}

func FuzzHeader(f *testing.F) {
	h := sampleHeader()
	f.Add(encode(&h, tcpPacket(caller, service, header.TCPFlagAck, 1, 2)))
	f.Add(encap.AppendHashes(nil, encap.KindRelease, caller, []uint64{1, 2}))
	f.Add([]byte{encap.Magic})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h encap.Header
		rest, err := h.Decode(b)
		if err != nil {
			return
		}
		reencoded := encode(&h, rest)
		reencoded[1] = b[1]
		if !bytes.Equal(reencoded, b) {
			t.Fatalf("decoded %x and encoded %x", b, reencoded)
		}
		var list [encap.MaxHashes]uint64
		holder, hashes, err := encap.DecodeHashes(&h, rest, &list)
		if err == nil && !h.IsPacket() {
			_ = encap.AppendHashes(nil, h.Kind, holder, hashes)
		}
	})
}

func FuzzSegment(f *testing.F) {
	f.Add(tcpPacket(caller, service, header.TCPFlagSyn, 1, 0))
	f.Add(tcpPacket(service, caller, header.TCPFlagFin, 1, 9)[:30])
	f.Fuzz(func(t *testing.T, b []byte) {
		var s encap.Segment
		if encap.ParseSegment(b, &s) != nil {
			return
		}
		if s.FlowKeyToService().CallerAddr() != s.Source || s.FlowKeyToService().ServiceAddr() != s.Destination {
			t.Fatalf("flow key of %v differs", s)
		}
	})
}
