//go:build review

package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bergamotbank/connection/passthrough"
)

// callerHost is a host with callers' flows, at one address.
type callerHost struct {
	d    *deployment
	zone string
	ip   netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*callerFlow
}

// callerFlow is a caller's end of a flow.
type callerFlow struct {
	host     *callerHost
	key      flowKey
	seq, ack uint32
	mu       sync.Mutex
	isOpen   bool
	opened   chan struct{}
	reset    chan struct{}
	answers  chan packet
}

func newCallerHost(d *deployment, zone string, ip netip.Addr) (*callerHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(d.addr(ip, packetPort)))
	if err != nil {
		return nil, err
	}
	h := &callerHost{d: d, zone: zone, ip: ip, conn: conn, port: 1024, flows: map[flowKey]*callerFlow{}}
	go h.receive()
	return h, nil
}

func (h *callerHost) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		h.handle(bytes.Clone(b[:n]), from.Addr().Unmap())
	}
}

func (h *callerHost) handle(b []byte, from netip.Addr) {
	p, valid := decode(b)
	if p.flags == flagRST && len(p.payload) == 0 {
		valid = true
	}
	if !valid {
		h.d.record.printf("caller %s gets an invalid packet", h.ip)
		return
	}
	h.mu.Lock()
	f := h.flows[flowKey{p.target, p.source}]
	h.mu.Unlock()
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case p.flags&flagRST != 0:
		select {
		case <-f.reset:
			return
		default:
		}
		if distance := int32(p.seq - f.ack); f.isOpen && (distance > resetWindow || distance < -resetWindow) {
			h.d.record.printf("caller ignores a reset of %s from %s with a wrong number", f.key, from)
			return
		}
		if f.isOpen {
			h.d.watch.reset(f.key, from)
		}
		close(f.reset)
	case p.flags&flagSYN != 0:
		if !f.isOpen {
			f.isOpen = true
			f.ack = p.seq + 1
			close(f.opened)
		}
	case len(p.payload) > 0:
		if p.seq != f.ack {
			// A response again: its acknowledgement was lost.
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
			return
		}
		f.ack += uint32(len(p.payload))
		f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
		select {
		case f.answers <- p:
		default:
		}
	}
}

// open opens a flow. It returns nil if the flow was not opened.
func (h *callerHost) open(route netip.AddrPort) *callerFlow {
	h.mu.Lock()
	h.port++
	key := flowKey{netip.AddrPortFrom(h.ip, h.port), route}
	f := &callerFlow{host: h, key: key, seq: rand.Uint32(), opened: make(chan struct{}), reset: make(chan struct{}), answers: make(chan packet, 4)}
	h.flows[key] = f
	h.mu.Unlock()
	for number, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.send(packet{seq: f.seq, ack: uint32(number), flags: flagSYN})
		select {
		case <-f.opened:
			f.mu.Lock()
			f.seq++
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagACK})
			f.mu.Unlock()
			return f
		case <-f.reset:
			f.forget()
			return nil
		case <-time.After(wait):
		}
	}
	f.forget()
	return nil
}

// forget removes a flow that was not opened or has ended.
func (f *callerFlow) forget() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	delete(f.host.flows, f.key)
}

// finish closes an open flow.
func (f *callerFlow) finish() {
	f.mu.Lock()
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFIN | flagACK})
	f.mu.Unlock()
	time.AfterFunc(2*time.Second, f.forget)
}

func (f *callerFlow) send(p packet) {
	p.source, p.target = f.key.caller, f.key.route
	key := passthrough.Flow{Caller: passthrough.EndpointOf(f.key.caller), Service: passthrough.EndpointOf(f.key.route)}
	f.host.d.fabric.Send(f.host.zone, p.encode(), key)
}

// outcomes of a request.
const (
	served = "served"
	broken = "flow reset"
	late   = "no answer in time"
)

// request sends a request and waits for its answer.
func (f *callerFlow) request(id string, limit time.Duration) string {
	deadline := time.After(limit)
	f.mu.Lock()
	body := fmt.Appendf(nil, "POST /order HTTP/1.1\r\nHost: route\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	sent := packet{seq: f.seq, ack: f.ack, flags: flagACK, payload: body}
	f.seq += uint32(len(body))
	f.send(sent)
	f.mu.Unlock()
	delay := 200 * time.Millisecond
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case p := <-f.answers:
			if !bytes.Contains(p.payload, []byte(" "+id+"\r\n")) {
				f.host.d.record.breach("MIXED: %s gets another answer than that to %s", f.key, id)
			}
			return served
		case <-f.reset:
			return broken
		case <-deadline:
			return late
		case <-timer.C:
			f.mu.Lock()
			sent.ack = f.ack
			f.send(sent)
			f.mu.Unlock()
			delay = min(2*delay, 1600*time.Millisecond)
			timer.Reset(delay)
		}
	}
}

var requestCount atomic.Uint64

func newRequestID() string { return fmt.Sprintf("q%06d", requestCount.Add(1)) }
