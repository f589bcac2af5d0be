//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/platform/standin"
)

// resetWindow is how far the sequence number of a reset may be from the last
// acknowledgement on an open flow.
const resetWindow = 76800

// outcome is how an attempt ended.
type outcome string

const (
	served    outcome = "served"
	notOpened outcome = "not opened"
	wasReset  outcome = "reset"
	timedOut  outcome = "no answer in time"
)

// caller is a stand-in for a consumer at one address; see "Flows" in PROTOCOL.md.
type caller struct {
	zone   string
	addr   netip.AddrPort
	conn   *net.UDPConn
	fabric *standin.Fabric
	rec    *record
	// onReset is called when the system resets an open flow.
	onReset func(key flowKey)
	// sentOpen is called when an opening packet is sent.
	sentOpen func(key flowKey, copyNumber uint32, at time.Time)

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]*callerFlow
}

type callerFlow struct {
	caller *caller
	key    flowKey
	opened chan struct{}
	reset  chan struct{}
	data   chan packet

	mu                sync.Mutex
	seq, ack          uint32
	isOpened, isReset bool
}

func newCaller(zone string, addr netip.AddrPort, fabric *standin.Fabric, rec *record) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &caller{
		zone: zone, addr: addr, conn: conn, fabric: fabric, rec: rec, port: 1024, flows: map[flowKey]*callerFlow{},
		onReset: func(flowKey) {}, sentOpen: func(flowKey, uint32, time.Time) {},
	}
	go c.receive()
	return c, nil
}

func (c *caller) receive() {
	b := make([]byte, 2048)
	for {
		n, err := c.conn.Read(b)
		if err != nil {
			return
		}
		c.handle(bytes.Clone(b[:n]))
	}
}

func (c *caller) handle(b []byte) {
	p, intact := decode(b)
	bySystem := isSystemReset(b)
	if !intact && !bySystem {
		c.rec.logf("caller %s got a packet that its sender did not write so", c.addr)
		return
	}
	key := flowKey{p.to, p.from}
	c.mu.Lock()
	f := c.flows[key]
	c.mu.Unlock()
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.isReset:
	case p.flags&flagReset != 0:
		if f.isOpened && bySystem && p.seq-f.ack+resetWindow > 2*resetWindow {
			return
		}
		if f.isOpened && bySystem {
			c.onReset(key)
		}
		f.isReset = true
		close(f.reset)
	case p.flags&flagOpen != 0:
		if !f.isOpened {
			f.isOpened, f.ack = true, p.seq+1
			close(f.opened)
		}
	case len(p.data) > 0:
		select {
		case f.data <- p:
		default:
		}
	}
}

// open opens a flow to a route. It returns nil if the flow does not open.
func (c *caller) open(route netip.AddrPort) (*callerFlow, outcome) {
	c.mu.Lock()
	c.port++
	f := &callerFlow{
		caller: c, key: flowKey{netip.AddrPortFrom(c.addr.Addr(), c.port), route}, seq: uint32(c.port) << 12,
		opened: make(chan struct{}), reset: make(chan struct{}), data: make(chan packet, 16),
	}
	c.flows[f.key] = f
	c.mu.Unlock()
	for copyNumber, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.sentOpen(f.key, uint32(copyNumber), time.Now())
		f.send(packet{seq: f.seq, ack: uint32(copyNumber), flags: flagOpen})
		select {
		case <-f.opened:
			f.seq++
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck})
			return f, served
		case <-f.reset:
			c.forget(f)
			return nil, notOpened
		case <-time.After(wait):
		}
	}
	c.forget(f)
	return nil, notOpened
}

func (c *caller) forget(f *callerFlow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f.key)
}

func (f *callerFlow) send(p packet) {
	p.from, p.to = f.key.caller, f.key.route
	f.caller.fabric.Send(f.caller.zone, p.encode(), passthrough.Flow{Caller: passthrough.EndpointOf(p.from), Service: passthrough.EndpointOf(p.to)})
}

// request sends a request and waits for its answer.
func (f *callerFlow) request(id string, limit time.Duration) (outcome, string) {
	data := fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: service\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	f.mu.Lock()
	p := packet{seq: f.seq, ack: f.ack, flags: flagAck, data: data}
	f.seq += uint32(len(data))
	f.mu.Unlock()
	f.send(p)
	deadline := time.After(limit)
	delay := 200 * time.Millisecond
	for {
		select {
		case answer := <-f.data:
			if !strings.HasSuffix(string(answer.data), "to "+id) {
				continue
			}
			f.mu.Lock()
			f.ack = answer.seq + uint32(len(answer.data))
			ack := packet{seq: f.seq, ack: f.ack, flags: flagAck}
			f.mu.Unlock()
			f.send(ack)
			_, body, _ := strings.Cut(string(answer.data), "\r\n\r\n")
			return served, body
		case <-f.reset:
			return wasReset, ""
		case <-deadline:
			return timedOut, ""
		case <-time.After(delay):
			f.send(p)
			delay = min(2*delay, 1600*time.Millisecond)
		}
	}
}

// finish closes the flow.
func (f *callerFlow) finish() {
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFinish | flagAck})
	time.AfterFunc(3*time.Second, func() { f.caller.forget(f) })
}
