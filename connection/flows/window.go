package flows

import (
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// sendWindow follows how far the caller allows this side to send. The fabric
// sprays packets, so acknowledgements arrive out of order, and the TCP endpoint
// takes the window of each as the latest: an old one that said "full" would stop
// the flow, since the caller does not repeat the newer one.
type sendWindow struct {
	acknowledged uint32
	rightEdge    uint32
	scale        uint8
	known        bool
}

// start takes the scale from the caller's SYN.
func (w *sendWindow) start(syn *encap.Segment) {
	*w = sendWindow{scale: syn.WindowScale}
}

// stale tells whether a segment is an acknowledgement alone that is older than
// one seen before. It remembers the newest one.
func (w *sendWindow) stale(s *encap.Segment) bool {
	right := s.Acknowledgement + uint32(s.Window)<<w.scale
	if !w.known {
		w.acknowledged, w.rightEdge, w.known = s.Acknowledgement, right, true
		return false
	}
	if isAcknowledgementAlone(s) && !after(s.Acknowledgement, w.acknowledged) && after(w.rightEdge, right) {
		return true
	}
	if after(s.Acknowledgement, w.acknowledged) {
		w.acknowledged = s.Acknowledgement
	}
	if after(right, w.rightEdge) {
		w.rightEdge = right
	}
	return false
}

func isAcknowledgementAlone(s *encap.Segment) bool {
	const flags = header.TCPFlagAck | header.TCPFlagFin | header.TCPFlagRst | header.TCPFlagSyn
	return s.PayloadLength == 0 && s.Flags&flags == header.TCPFlagAck
}

// after compares sequence numbers, which wrap around.
func after(a, b uint32) bool {
	return int32(a-b) > 0
}
