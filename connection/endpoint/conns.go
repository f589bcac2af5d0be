package endpoint

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/adapters/gonet"
	"gvisor.dev/gvisor/pkg/tcpip/network/ipv4"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"

	"bergamotbank/errkind"
)

const (
	acceptBacklog   = 4096
	acceptQueueSize = 256
)

// conn is a TCP connection that the Endpoint can abort.
type conn struct {
	*gonet.TCPConn
	ep    tcpip.Endpoint
	conns *conns
}

// Close closes the connection gracefully.
func (c *conn) Close() error {
	c.conns.remove(c)
	return c.TCPConn.Close()
}

// conns is the set of open connections.
type conns struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func newConns() *conns {
	return &conns{open: make(map[*conn]struct{})}
}

func (cs *conns) add(ep tcpip.Endpoint, wq *waiter.Queue) *conn {
	setKeepalive(ep)
	c := &conn{TCPConn: gonet.NewTCPConn(wq, ep), ep: ep, conns: cs}
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.open[c] = struct{}{}
	return c
}

func (cs *conns) remove(c *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, c)
}

// abort aborts all open connections. Reads from them return an error.
func (cs *conns) abort() {
	cs.mu.Lock()
	open := cs.open
	cs.open = make(map[*conn]struct{})
	cs.mu.Unlock()
	for c := range open {
		c.ep.Abort()
	}
}

// listener is a net.Listener for callers' connections. It stays the same when the
// service's address changes.
type listener struct {
	endpoint *Endpoint
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func newListener(e *Endpoint) *listener {
	return &listener{
		endpoint: e,
		accepted: make(chan net.Conn, acceptQueueSize),
		closed:   make(chan struct{}),
	}
}

// Accept waits for and returns the next connection of a caller.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. Blocked calls of Accept return net.ErrClosed;
// connections already accepted stay open.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the current address of the service.
func (l *listener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(l.endpoint.serviceAddr())
}

// port is a listening TCP port of the stack.
type port struct {
	ep   tcpip.Endpoint
	wq   *waiter.Queue
	stop chan struct{}
}

// openPort listens on a TCP port at any address.
func (e *Endpoint) openPort(number uint16) (*port, error) {
	wq := new(waiter.Queue)
	ep, err := e.stack.NewEndpoint(tcp.ProtocolNumber, ipv4.ProtocolNumber, wq)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "open TCP endpoint: %s", err)
	}
	if err := bindAndListen(ep, number); err != nil {
		ep.Close()
		return nil, errkind.New(errkind.Internal, "listen on TCP port %d: %s", number, err)
	}
	return &port{ep: ep, wq: wq, stop: make(chan struct{})}, nil
}

func bindAndListen(ep tcpip.Endpoint, number uint16) tcpip.Error {
	ep.SocketOptions().SetReuseAddress(true)
	if err := ep.Bind(tcpip.FullAddress{NIC: nicID, Port: number}); err != nil {
		return err
	}
	return ep.Listen(acceptBacklog)
}

func (p *port) close() {
	close(p.stop)
	p.ep.Close()
}

// acceptFrom moves connections from a port to the listener until the port or
// the listener is closed.
func (e *Endpoint) acceptFrom(p *port) {
	entry, ready := waiter.NewChannelEntry(waiter.ReadableEvents)
	p.wq.EventRegister(&entry)
	defer p.wq.EventUnregister(&entry)
	for {
		ep, wq, err := p.ep.Accept(nil)
		if _, wait := err.(*tcpip.ErrWouldBlock); wait {
			select {
			case <-ready:
				continue
			case <-p.stop:
				return
			}
		}
		if err != nil {
			return
		}
		if !e.enqueueAccepted(e.conns.add(ep, wq), p.stop) {
			return
		}
	}
}

// enqueueAccepted queues a connection for the listener. It returns false, and
// aborts the connection, if the port or the listener is closed first.
func (e *Endpoint) enqueueAccepted(c *conn, stop chan struct{}) bool {
	select {
	case e.listener.accepted <- c:
		return true
	case <-stop:
	case <-e.listener.closed:
	}
	e.conns.remove(c)
	c.ep.Abort()
	return false
}

// DialContext opens a connection through the fabric to the address of another
// service, from the agent's source address. The error has kind BackendUnavailable,
// Internal, or InvalidSettings if the agent has no source address.
func (e *Endpoint) DialContext(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	if !e.options.Source.IsValid() {
		return nil, errkind.New(errkind.InvalidSettings, "no source address for calls to %s", addr)
	}
	wq := new(waiter.Queue)
	ep, err := e.stack.NewEndpoint(tcp.ProtocolNumber, ipv4.ProtocolNumber, wq)
	if err != nil {
		return nil, errkind.New(errkind.Internal, "open TCP endpoint: %s", err)
	}
	entry, ready := waiter.NewChannelEntry(waiter.WritableEvents)
	wq.EventRegister(&entry)
	defer wq.EventUnregister(&entry)
	if err := e.startConnect(ep, addr); err != nil {
		ep.Close()
		return nil, err
	}
	select {
	case <-ready:
	case <-ctx.Done():
		ep.Close()
		return nil, errkind.Wrap(ctx.Err(), errkind.BackendUnavailable, "connect to %s", addr)
	}
	if err := ep.LastError(); err != nil {
		ep.Close()
		return nil, errkind.New(errkind.BackendUnavailable, "connect to %s: %s", addr, err)
	}
	return e.conns.add(ep, wq), nil
}

func (e *Endpoint) startConnect(ep tcpip.Endpoint, addr netip.AddrPort) error {
	if err := ep.Bind(fullAddress(netip.AddrPortFrom(e.options.Source, 0))); err != nil {
		return errkind.New(errkind.Internal, "bind to %s: %s", e.options.Source, err)
	}
	err := ep.Connect(fullAddress(addr))
	if _, started := err.(*tcpip.ErrConnectStarted); started || err == nil {
		return nil
	}
	return errkind.New(errkind.BackendUnavailable, "connect to %s: %s", addr, err)
}
