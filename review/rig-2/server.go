//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	slots      = 4
	workTime   = 15 * time.Millisecond
	beatEvery  = 1200 * time.Millisecond
	beatJitter = 100 * time.Millisecond
	// halfOpenLimit is how long a server keeps a flow whose handshake was not finished.
	halfOpenLimit = 3 * time.Second
	// maxRetransmissions is the number of retransmissions after which a server gives up.
	maxRetransmissions = 8
)

// flowKey identifies a flow by the caller's end and the route's address.
type flowKey struct{ caller, route netip.AddrPort }

func (k flowKey) String() string { return k.caller.String() + ">" + k.route.String() }

// serverFlow is a flow at a server.
type serverFlow struct {
	key        flowKey
	seq        uint32 // next number to send
	acked      uint32 // acknowledged by the caller
	received   uint32 // next number expected from the caller
	open       bool
	openedAt   time.Time
	halfSince  time.Time
	running    bool
	finished   bool
	unanswered *packet // last response, until it is acknowledged
}

// server is a backend server that follows the users' pages.
type server struct {
	d       *deployment
	id      string
	service string
	zone    string
	app     netip.AddrPort
	control netip.AddrPort
	out     netip.AddrPort
	born    int64
	conn    *net.UDPConn
	health  *http.Server
	cancel  context.CancelFunc
	work    chan struct{}
	stopped chan struct{}

	mu        sync.Mutex
	flows     map[flowKey]*serverFlow
	coldUntil time.Time
	beats     int
	lastBeat  []byte
}

// startServer starts a server beside the agent of a VM.
func startServer(d *deployment, id, service, zone string, ip netip.Addr) (*server, error) {
	s := &server{
		d: d, id: id, service: service, zone: zone, app: d.addr(ip, appPort), control: d.addr(ip, controlPort), out: d.addr(ip, outboundPort),
		born: time.Now().UnixMilli(), work: make(chan struct{}, slots), flows: map[flowKey]*serverFlow{}, stopped: make(chan struct{}),
	}
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.app)); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.app.String())
	if err != nil {
		_ = s.conn.Close()
		return nil, err
	}
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }), ReadHeaderTimeout: time.Second}
	go func() { _ = s.health.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.receive()
	go s.beatLoop(ctx)
	d.record.printf("server %s of %s in %s starts at %s", id, service, zone, s.app)
	return s, nil
}

// crash ends the server at once, without a word.
func (s *server) crash() {
	close(s.stopped)
	s.cancel()
	_ = s.conn.Close()
	_ = s.health.Close()
	s.d.record.printf("server %s crashes", s.id)
}

// beat returns the body of a heartbeat.
func (s *server) beat() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats++
	cold := max(0, time.Until(s.coldUntil).Milliseconds())
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.app.String(), "zone": s.zone, "version": "v1", "slots": slots, "state": "ready",
		"coldRemainingMs": cold, "sequence": s.beats, "born": s.born,
	})
	s.lastBeat = body
	return body
}

func (s *server) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.d.sendBeat(ctx, s.control, s.id, s.beat())
		select {
		case <-ctx.Done():
		case <-time.After(beatEvery - beatJitter/2 + rand.N(beatJitter)):
		}
	}
}

// setCold makes the server cold for a time, as it is after an evacuation of its zone.
func (s *server) setCold(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(length)
}

// isCold reports whether the server is cold.
func (s *server) isCold() bool { return time.Now().Before(s.coldUntil) }

// holds reports whether the server holds an open flow.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return f != nil && f.open && !f.finished
}

func (s *server) receive() {
	b := make([]byte, 2048)
	for {
		n, err := s.conn.Read(b)
		if err != nil {
			return
		}
		s.handle(bytes.Clone(b[:n]))
	}
}

func (s *server) handle(b []byte) {
	p, valid := decode(b)
	if !valid || p.flags&flagBounced != 0 {
		s.d.record.printf("server %s gets an invalid packet", s.id)
		return
	}
	key := flowKey{p.source, p.target}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if f == nil {
			f = &serverFlow{key: key, seq: rand.Uint32() | 1, received: p.seq + 1, halfSince: time.Now()}
			f.acked = f.seq
			s.flows[key] = f
			s.d.watch.taken(s, key, s.isCold())
		}
		if !f.open {
			s.write(packet{source: key.route, target: key.caller, seq: f.seq, ack: f.received, flags: flagSYN | flagACK}.encode())
		}
		return
	}
	if f != nil && !f.open && p.flags&flagACK != 0 && p.ack == f.seq+1 {
		f.open, f.openedAt = true, time.Now()
		f.seq++
		f.acked = f.seq
		s.d.watch.opened(s, key)
	}
	if f == nil || !f.open {
		if f != nil && time.Since(f.halfSince) > halfOpenLimit {
			delete(s.flows, key)
		}
		s.d.watch.foreign(s, key, p)
		bounce(b)
		s.write(b)
		return
	}
	s.d.watch.own(s, key)
	switch {
	case p.flags&flagRST != 0:
		delete(s.flows, key)
		s.d.watch.ended(key)
		return
	case p.flags&flagACK != 0 && int32(p.ack-f.acked) > 0:
		f.acked = p.ack
		if f.unanswered != nil && f.acked == f.seq {
			f.unanswered = nil
		}
	}
	if p.flags&flagFIN != 0 && !f.finished {
		f.finished = true
		s.d.watch.ended(key)
		s.write(packet{source: key.route, target: key.caller, seq: f.seq, ack: p.seq + 1, flags: flagFIN | flagACK}.encode())
		return
	}
	if len(p.payload) == 0 {
		return
	}
	if p.seq != f.received || f.running {
		// A retransmission: the response is on its way or is sent again.
		if f.unanswered != nil {
			s.write(f.unanswered.encode())
		}
		return
	}
	f.received += uint32(len(p.payload))
	f.running = true
	go s.run(f, string(p.payload))
}

// run processes a request and sends the response until it is acknowledged.
func (s *server) run(f *serverFlow, request string) {
	select {
	case s.work <- struct{}{}:
	case <-s.stopped:
		return
	}
	_, rest, _ := strings.Cut(request, "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	s.d.watch.ran(s, f.key, id)
	time.Sleep(workTime)
	<-s.work
	s.mu.Lock()
	response := &packet{source: f.key.route, target: f.key.caller, seq: f.seq, ack: f.received, flags: flagACK, payload: fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServer-Signature: %s %s\r\nContent-Length: 0\r\n\r\n", s.id, id)}
	f.seq += uint32(len(response.payload))
	f.running, f.unanswered = false, response
	end := f.seq
	s.mu.Unlock()
	delay := 200 * time.Millisecond
	for range maxRetransmissions {
		s.mu.Lock()
		done := f.unanswered != response || int32(f.acked-end) >= 0 || s.flows[f.key] != f
		if !done {
			s.write(response.encode())
		}
		s.mu.Unlock()
		if done {
			return
		}
		select {
		case <-time.After(delay):
		case <-s.stopped:
			return
		}
		delay = min(2*delay, 1600*time.Millisecond)
	}
}

// write sends a packet through the node on the same VM; a failed write is a lost packet.
func (s *server) write(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.out) }
