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
	// maxSessions limits the UDP sessions of one listen address. Datagrams of
	// further sources are dropped.
	maxSessions = 4096
	// idleTimeout is the time without datagrams after which a session is closed.
	idleTimeout = time.Minute
)

// session is the UDP session of one source. Each session has its own socket to the
// target, so that replies can be matched to their source.
type session struct {
	source     netip.AddrPort
	conn       *net.UDPConn
	generation int64
	// used is set by each datagram from the source and cleared by each idle check.
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
			r.counters.dropped.Add(1)
			continue
		}
		r.forward(toTarget, s, buffer[:n])
	}
}

// session returns the session of a source. It creates a missing session and
// returns nil if that fails.
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
	s := &session{source: source, conn: conn, generation: r.generation.Load()}
	r.sessions[source] = s
	go r.receiveReplies(s)
	return s
}

// receiveReplies relays datagrams of the target to the source of a session until
// the session ends. Other read errors are ignored, such as those of a target that
// does not listen.
func (r *relay) receiveReplies(s *session) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := s.conn.Read(buffer)
		switch {
		case err == nil:
			r.forward(fromTarget, s, buffer[:n])
		case errors.Is(err, net.ErrClosed):
			return
		case errors.Is(err, os.ErrDeadlineExceeded) && !s.used.Swap(false):
			r.closeIdle(s)
			return
		}
	}
}

// closeIdle closes an idle session. A blackholed session stays in the table, so
// that its source remains blackholed.
func (r *relay) closeIdle(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = s.conn.Close()
	if s.generation == r.generation.Load() {
		delete(r.sessions, s.source)
	}
}

// forward applies the faults to a datagram and forwards it.
func (r *relay) forward(d direction, s *session, datagram []byte) {
	faults := r.current()
	if s.generation != r.generation.Load() || faults.cut(d) || faults.Link.Cut {
		r.counters.dropped.Add(1)
		return
	}
	pair := link.Pair{From: s.source, To: r.pair.Target}
	if d == fromTarget {
		pair = link.Pair{From: r.pair.Target, To: s.source}
	}
	copies, due := r.drawDelivery(&faults.Link, pair)
	if copies == 0 {
		r.counters.dropped.Add(1)
	}
	for range copies {
		packet := &link.DelayedPacket{Due: due, To: s.source, Payload: datagram}
		if due.IsZero() {
			r.send(d, packet)
			continue
		}
		packet.Payload = append([]byte(nil), datagram...)
		if !r.queue[d].Offer(packet) {
			r.counters.dropped.Add(1)
		}
	}
}

func (r *relay) send(d direction, packet *link.DelayedPacket) {
	if d == toTarget {
		r.sendToTarget([]*link.DelayedPacket{packet})
		return
	}
	r.sendFromTarget([]*link.DelayedPacket{packet})
}

// sendToTarget sends datagrams on the sockets of their sessions. The field To of a
// packet is the source of the session.
func (r *relay) sendToTarget(packets []*link.DelayedPacket) {
	for _, packet := range packets {
		if s := r.session(packet.To); s != nil {
			_, _ = s.conn.Write(packet.Payload)
			r.counters.datagrams.Add(1)
		}
	}
}

// sendFromTarget sends datagrams back to their sources.
func (r *relay) sendFromTarget(packets []*link.DelayedPacket) {
	for _, packet := range packets {
		_, _ = r.udp.WriteToUDPAddrPort(packet.Payload, packet.To)
		r.counters.datagrams.Add(1)
	}
}

func (r *relay) closeSessions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		_ = s.conn.Close()
	}
}
