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
	convey.Convey("Sequence numbers wrap around", t, func() {
		var w sendWindow
		convey.So(w.observe(ack(5, 10)), convey.ShouldBeFalse)
		convey.So(w.observe(ack(0xfffffff0, 10)), convey.ShouldBeTrue)
	})
}
