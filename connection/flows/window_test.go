package flows

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

func TestStaleAcknowledgements(t *testing.T) {
	ack := func(number uint32, window uint16) *encap.Segment {
		return &encap.Segment{Flags: header.TCPFlagAck, Acknowledgement: number, Window: window}
	}
	cases := []struct {
		name    string
		segment *encap.Segment
		stale   bool
	}{
		{"a smaller window", ack(2000, 0), true},
		{"an older acknowledgement", ack(1000, 1), true},
		{"a duplicate acknowledgement", ack(2000, 10), false},
		{"a larger window", ack(2000, 11), false},
		{"a newer acknowledgement with a zero window", ack(2020, 0), false},
		{"data with an older acknowledgement", &encap.Segment{Flags: header.TCPFlagAck, Acknowledgement: 1000, PayloadLength: 1}, false},
		{"a reset", &encap.Segment{Flags: header.TCPFlagAck | header.TCPFlagRst, Acknowledgement: 1000}, false},
	}
	for _, c := range cases {
		convey.Convey("After an acknowledgement, "+c.name+" is checked for staleness", t, func() {
			var w sendWindow
			w.handleSYN(&encap.Segment{WindowScale: 1})
			convey.So(w.observe(ack(2000, 10)), convey.ShouldBeFalse)
			convey.So(w.observe(c.segment), convey.ShouldEqual, c.stale)
		})
	}
	// The acknowledgement field is valid only with the ACK flag, and the window of a SYN is
	// not scaled.
	const farAhead = 2000 + 1<<30
	ignored := map[string]*encap.Segment{
		"a late SYN":                       {Flags: header.TCPFlagSyn, Acknowledgement: 0x80000000 + 2000 - 1, Window: 0xffff},
		"a SYN with the ACK flag":          {Flags: header.TCPFlagSyn | header.TCPFlagAck, Acknowledgement: farAhead, Window: 0xffff},
		"a reset":                          {Flags: header.TCPFlagRst, Acknowledgement: farAhead, Window: 0xffff},
		"a reset with the ACK flag":        {Flags: header.TCPFlagRst | header.TCPFlagAck, Acknowledgement: farAhead, Window: 0xffff},
		"data without the ACK flag":        {Flags: header.TCPFlagPsh, Acknowledgement: farAhead, Window: 0xffff, PayloadLength: 1},
		"a segment without flags":          {Acknowledgement: farAhead, Window: 0xffff},
		"a segment with the FIN flag only": {Flags: header.TCPFlagFin, Acknowledgement: farAhead, Window: 0xffff},
	}
	for name, segment := range ignored {
		convey.Convey("Neither "+name+" before the first acknowledgement nor after it makes later acknowledgements stale", t, func() {
			var w sendWindow
			w.handleSYN(&encap.Segment{WindowScale: 1})
			convey.So(w.observe(segment), convey.ShouldBeFalse)
			convey.So(w.observe(ack(2000, 10)), convey.ShouldBeFalse)
			convey.So(w.observe(segment), convey.ShouldBeFalse)
			convey.So(w.observe(ack(2001, 9)), convey.ShouldBeFalse)
		})
	}
	convey.Convey("Sequence numbers wrap around", t, func() {
		var w sendWindow
		convey.So(w.observe(ack(5, 10)), convey.ShouldBeFalse)
		convey.So(w.observe(ack(0xfffffff0, 10)), convey.ShouldBeTrue)
	})
}
