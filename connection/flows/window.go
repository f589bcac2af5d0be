package flows

import (
	"gvisor.dev/gvisor/pkg/tcpip/header"

	"bergamotbank/connection/encap"
)

// sendWindow tracks the send window that the caller advertises. The fabric sprays
// packets over several paths, so acknowledgements arrive out of order, and the TCP
// endpoint treats the window of each as the latest: a stale zero window would
// stall the flow, since the caller does not repeat the newer one.
type sendWindow struct {
	highestAcknowledgement uint32
	rightEdge              uint32
	scale                  uint8
	initialized            bool
}

// handleSYN resets the window and sets the window scale from the caller's SYN.
func (w *sendWindow) handleSYN(syn *encap.Segment) {
	*w = sendWindow{scale: syn.WindowScale}
}

// observe updates the window and reports whether a segment is a stale pure ACK: one
// older than another observed before.
func (w *sendWindow) observe(s *encap.Segment) bool {
	if !hasWindow(s) {
		return false
	}
	right := s.Acknowledgement + uint32(s.Window)<<w.scale
	if !w.initialized {
		w.highestAcknowledgement, w.rightEdge, w.initialized = s.Acknowledgement, right, true
		return false
	}
	if isPureACK(s) && !sequenceAfter(s.Acknowledgement, w.highestAcknowledgement) && sequenceAfter(w.rightEdge, right) {
		return true
	}
	if sequenceAfter(s.Acknowledgement, w.highestAcknowledgement) {
		w.highestAcknowledgement = s.Acknowledgement
	}
	if sequenceAfter(right, w.rightEdge) {
		w.rightEdge = right
	}
	return false
}

// hasWindow reports whether a segment carries an acknowledgement and a scaled window:
// the acknowledgement field is valid only with the ACK flag, the window of a SYN is never
// scaled, and a reset advertises none. A late copy of the SYN would otherwise count as
// the newest acknowledgement for callers with a large initial sequence number.
func hasWindow(s *encap.Segment) bool {
	return s.Flags&(header.TCPFlagAck|header.TCPFlagSyn|header.TCPFlagRst) == header.TCPFlagAck
}

// isPureACK reports whether a segment is an acknowledgement without data, SYN, FIN
// or RST.
func isPureACK(s *encap.Segment) bool {
	const flags = header.TCPFlagAck | header.TCPFlagFin | header.TCPFlagRst | header.TCPFlagSyn
	return s.PayloadLength == 0 && s.Flags&flags == header.TCPFlagAck
}

// sequenceAfter reports whether sequence number a is after b, modulo 2^32.
func sequenceAfter(a, b uint32) bool {
	return int32(a-b) > 0
}
