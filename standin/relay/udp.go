package relay

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"bergamotbank/standin/link"
)

const (
	maxDatagramBytes = 64 << 10
	// maxSessions bounds the UDP address pairs of one listen address. A datagram
	// from a further source is dropped.
	maxSessions = 4096
	// idleTimeout is how long a session without datagrams is kept.
	idleTimeout = time.Minute
)

// session is the UDP address pair of one source. It has a socket of its own
// towards the target, so that answers find their way back.
type session struct {
	source netip.AddrPort
	conn   *net.UDPConn
	epoch  int64
	// used is set by each datagram from the source and cleared when the session
	// is checked for idleness.
	used atomic.Bool
}

// receiveUDP relays datagrams to the target until the socket is closed.
func (r *relay) receiveUDP() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, source, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		s := r.session(source)
		if s == nil {
			r.counts.dropped.Add(1)
			continue
		}
		r.pass(toTarget, s, buffer[:n])
	}
}

// session returns the session of a source, opened if need be, or nil.
func (r *relay) session(source netip.AddrPort) *session {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, ok := r.sessions[source]; ok {
		s.used.Store(true)
		return s
	}
	if len(r.sessions) >= maxSessions {
		return nil
	}
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(r.pair.Target))
	if err != nil {
		return nil
	}
	s := &session{source: source, conn: conn, epoch: r.epoch.Load()}
	r.sessions[source] = s
	go r.receiveAnswers(s)
	return s
}

// receiveAnswers relays datagrams of the target to the source of a session until
// the session ends. A target that does not listen ends nothing.
func (r *relay) receiveAnswers(s *session) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := s.conn.Read(buffer)
		switch {
		case err == nil:
			r.pass(fromTarget, s, buffer[:n])
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && !s.used.Swap(false):
			r.end(s)
			return
		}
	}
}

// end closes an idle session. One that has gone silent is still remembered, so
// that it stays silent.
func (r *relay) end(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = s.conn.Close()
	if s.epoch == r.epoch.Load() {
		delete(r.sessions, s.source)
	}
}

// pass applies the faults to a datagram and sends it on.
func (r *relay) pass(d direction, s *session, datagram []byte) {
	faults := r.current()
	if s.epoch != r.epoch.Load() || faults.cut(d) || faults.Link.Cut {
		r.counts.dropped.Add(1)
		return
	}
	pair := link.Pair{From: s.source, To: r.pair.Target}
	if d == fromTarget {
		pair = link.Pair{From: r.pair.Target, To: s.source}
	}
	copies, due := r.due(&faults.Link, pair)
	if copies == 0 {
		r.counts.dropped.Add(1)
	}
	for range copies {
		packet := &link.Delayed{Due: due, To: s.source, Payload: datagram}
		if due.IsZero() {
			r.send(d, packet)
			continue
		}
		packet.Payload = append([]byte(nil), datagram...)
		if !r.queue[d].Offer(packet) {
			r.counts.dropped.Add(1)
		}
	}
}

func (r *relay) send(d direction, packet *link.Delayed) {
	if d == toTarget {
		r.sendToTarget([]*link.Delayed{packet})
		return
	}
	r.sendFromTarget([]*link.Delayed{packet})
}

// sendToTarget sends datagrams on the sockets of their sessions. To names the
// source of the session.
func (r *relay) sendToTarget(packets []*link.Delayed) {
	for _, packet := range packets {
		if s := r.session(packet.To); s != nil {
			_, _ = s.conn.Write(packet.Payload)
			r.counts.datagrams.Add(1)
		}
	}
}

// sendFromTarget sends datagrams back to their sources.
func (r *relay) sendFromTarget(packets []*link.Delayed) {
	for _, packet := range packets {
		_, _ = r.udp.WriteToUDPAddrPort(packet.Payload, packet.To)
		r.counts.datagrams.Add(1)
	}
}

func (r *relay) closeSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		_ = s.conn.Close()
	}
}
