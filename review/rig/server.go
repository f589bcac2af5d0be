//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// serverOptions describe a server; see "Servers" and "Service discovery" in
// PROTOCOL.md.
type serverOptions struct {
	id, service, zone string
	app               netip.AddrPort
	outbound, control netip.AddrPort
	slots             int
	work              time.Duration
	// coldFor is how long the server is cold after its start.
	coldFor   time.Duration
	heartbeat time.Duration
	rec       *record
	// onOpen is called for each opening packet that the server takes.
	onOpen func(s *server, key flowKey, copyNumber uint32, at time.Time)
}

// server is a stand-in for a server. It follows the protocol page.
type server struct {
	serverOptions
	startedAt time.Time
	conn      *net.UDPConn
	http      *http.Server
	cancel    context.CancelFunc
	slot      chan struct{}
	running   atomic.Bool
	draining  atomic.Bool
	nextSeq   atomic.Uint32
	// confirmed is the number of confirmed heartbeats.
	confirmed atomic.Int32

	mu    sync.Mutex
	flows map[flowKey]*serverFlow
}

type serverFlow struct {
	seq, next   uint32
	open, ended bool
	// answers holds the answer to each request by its sequence number, nil while it
	// runs.
	answers map[uint32][]byte
}

func startServer(o serverOptions) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.app))
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", o.app.String())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{serverOptions: o, startedAt: time.Now(), conn: conn, cancel: cancel, slot: make(chan struct{}, o.slots), flows: map[flowKey]*serverFlow{}}
	s.running.Store(true)
	s.nextSeq.Store(uint32(time.Now().UnixNano()))
	s.http = &http.Server{Handler: http.HandlerFunc(s.health)}
	go func() { _ = s.http.Serve(listener) }()
	go s.receive()
	go s.sendHeartbeats(ctx)
	o.rec.logf("server %s of service %s starts at %s in %s", o.id, o.service, o.app, o.zone)
	return s, nil
}

// crash ends the server without a message.
func (s *server) crash() {
	s.rec.logf("server %s ends without a message", s.id)
	s.running.Store(false)
	s.cancel()
	_ = s.conn.Close()
	_ = s.http.Close()
}

// holds reports whether the server runs and holds the open flow.
func (s *server) holds(key flowKey) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	return s.running.Load() && f != nil && f.open && !f.ended
}

func (s *server) health(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != healthPath || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.slot <- struct{}{}
	time.Sleep(time.Millisecond)
	<-s.slot
}

// coldRemaining returns how long the server stays cold.
func (s *server) coldRemaining() time.Duration { return max(0, s.coldFor-time.Since(s.startedAt)) }

// sendHeartbeats sends a heartbeat at the start and one in each interval.
func (s *server) sendHeartbeats(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		state := "ready"
		if s.draining.Load() {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"service": s.service, "address": s.app.String(), "zone": s.zone, "version": "v1", "slots": s.slots, "state": state,
			"coldRemainingMs": s.coldRemaining().Milliseconds(), "sequence": sequence, "born": s.startedAt.UnixMilli(),
		})
		status, err := putHeartbeat(ctx, s.control, s.id, body)
		if status == http.StatusOK {
			s.confirmed.Add(1)
		}
		s.rec.logf("server %s heartbeat %d %s cold=%dms: status %d %s", s.id, sequence, state, s.coldRemaining().Milliseconds(), status, errorText(err))
		pause := s.heartbeat
		if status != http.StatusOK {
			pause = heartbeatRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// heartbeatRetry is the pause after a heartbeat that was not confirmed.
const heartbeatRetry = 50 * time.Millisecond

func errorText(err error) string {
	if err == nil {
		return ""
	}
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// putHeartbeat sends a heartbeat to an agent and waits up to a second for the response.
func putHeartbeat(ctx context.Context, control netip.AddrPort, id string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control.String()+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
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
	at := time.Now()
	p, intact := decode(b)
	if !intact || p.flags&flagReturned != 0 {
		s.rec.logf("server %s got a packet that its sender did not write so", s.id)
		return
	}
	key := flowKey{p.from, p.to}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[key]
	if p.flags&(flagOpen|flagAck) == flagOpen {
		if f == nil {
			f = &serverFlow{seq: s.nextSeq.Add(1 << 17), answers: map[uint32][]byte{}}
			f.next = f.seq + 1
			s.flows[key] = f
			s.onOpen(s, key, p.ack, at)
		}
		s.write(packet{from: p.to, to: p.from, seq: f.seq, ack: p.seq + 1, flags: flagOpen | flagAck}.encode())
		return
	}
	if f == nil || (!f.open && p.ack != f.seq+1) {
		b[offsetFlags] |= flagReturned
		s.write(b)
		return
	}
	f.open = true
	switch {
	case p.flags&flagReset != 0:
		f.ended = true
	case p.flags&flagFinish != 0:
		f.ended = true
		s.write(packet{from: p.to, to: p.from, seq: f.next, ack: p.seq + 1, flags: flagFinish | flagAck}.encode())
	case len(p.data) > 0 && f.ended:
		s.write(packet{from: p.to, to: p.from, seq: f.next, flags: flagReset}.encode())
	case len(p.data) > 0:
		s.takeRequest(key, f, p)
	}
}

// takeRequest runs a request, or repeats its answer. The caller holds mu.
func (s *server) takeRequest(key flowKey, f *serverFlow, p packet) {
	answer, seen := f.answers[p.seq]
	if seen {
		if answer != nil {
			s.write(answer)
		}
		return
	}
	f.answers[p.seq] = nil
	id := requestID(p.data)
	ack := p.seq + uint32(len(p.data))
	go func() {
		s.slot <- struct{}{}
		if !s.running.Load() {
			return
		}
		s.rec.logf("server %s (%s) runs request %s sent to %s", s.id, s.service, id, key.route)
		work := s.work
		if s.coldRemaining() > 0 {
			work += work / 2
		}
		time.Sleep(work)
		<-s.slot
		body := "answer of " + s.service + " to " + id
		data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		s.mu.Lock()
		defer s.mu.Unlock()
		answer := packet{from: p.to, to: p.from, seq: f.next, ack: ack, flags: flagAck, data: data}.encode()
		f.next += uint32(len(data))
		f.answers[p.seq] = answer
		if s.running.Load() {
			s.write(answer)
		}
	}()
}

// write sends a packet through the machine's agent.
func (s *server) write(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) }

func requestID(data []byte) string {
	_, rest, _ := strings.Cut(string(data), "Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
