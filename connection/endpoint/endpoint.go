// Package endpoint provides the packet path of an agent: UDP sockets towards
// balancers, agents and the fabric, and a user-space TCP stack that terminates the
// callers' connections. Package flows decides what happens to each packet.
package endpoint

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gvisor.dev/gvisor/pkg/tcpip/link/channel"
	"gvisor.dev/gvisor/pkg/tcpip/stack"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/flows"
	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/version/steering"
)

// sourcePorts is the number of source ports that are used in rotation.
const sourcePorts = 4

// Options configure an Endpoint.
type Options struct {
	// Listen is the agent's packet address, as other processes know it. Port 0
	// selects a free port.
	Listen netip.AddrPort
	// Fabric is the address of the fabric, to which packets to callers are sent.
	Fabric netip.AddrPort
	// Source is the source address of this agent's calls in the inner packet. The
	// zero value allows no calls.
	Source netip.Addr
	// Name is the name of the backend server in events.
	Name string
	// Recorder receives events. Nil discards them.
	Recorder event.Recorder
}

// Endpoint terminates the connections of a service's callers at one backend server.
type Endpoint struct {
	options  Options
	socket   *datagram.Conn
	sources  *datagram.Rotation
	stack    *stack.Stack
	link     *channel.Endpoint
	conns    *conns
	listener *listener
	counters counters

	mu        sync.Mutex
	core      *flows.Core
	service   netip.AddrPort
	suspended bool
	closed    bool
	port      *port
}

// New opens the sockets and the TCP stack of an endpoint. The error has kind
// InvalidSettings or Internal.
func New(options Options) (*Endpoint, error) {
	if options.Recorder == nil {
		options.Recorder = event.Discard{}
	}
	socket, err := datagram.Listen(options.Listen, false)
	if err != nil {
		return nil, err
	}
	sources, err := datagram.NewRotation(options.Listen.Addr(), sourcePorts)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	s, link, err := newStack(options.Source)
	if err != nil {
		_ = socket.Close()
		sources.Close()
		return nil, err
	}
	e := &Endpoint{
		options: options,
		socket:  socket,
		sources: sources,
		stack:   s,
		link:    link,
		conns:   newConns(),
		core:    flows.New(flows.Options{Self: socket.Addr(), Source: options.Source}),
	}
	e.listener = newListener(e)
	return e, nil
}

// Addr returns the agent's packet address.
func (e *Endpoint) Addr() netip.AddrPort {
	return e.socket.Addr()
}

// Listen returns the listener for callers' connections. It is the same for every
// address of the service.
func (e *Endpoint) Listen() net.Listener {
	return e.listener
}

// SetService sets the service's address. Packets to any other address are dropped
// and counted. If the address changes, all flows and connections are aborted.
func (e *Endpoint) SetService(addr netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if addr == e.service {
		return
	}
	e.service = addr
	removedFlows := e.core.SetService(addr)
	e.resetConnections(removedFlows, "service address changed")
}

// SetServers sets the servers of the agent's service, including those in failure
// domains that are out of service, and the names of these failure domains.
func (e *Endpoint) SetServers(servers []steering.Server, outDomains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.SetServers(servers, outDomains, time.Now())
}

// SetSuspended sets whether the agent's failure domain is out of service. While it
// is, nothing is sent or delivered. Each change aborts all flows and connections.
// A resumed endpoint accepts new connections.
func (e *Endpoint) SetSuspended(suspended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if suspended == e.suspended {
		return
	}
	e.suspended = suspended
	removedFlows := e.core.SetSuspended(suspended)
	e.resetConnections(removedFlows, "failure domain out")
}

// SetDraining sets whether the agent accepts no new flows. An agent to which its
// view gives weight 0 accepts none either.
func (e *Endpoint) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.SetDraining(draining)
}

// Flows returns the number of callers' established flows.
func (e *Endpoint) Flows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Flows()
}

// ConfigVersion returns the highest configuration version in a received header.
func (e *Endpoint) ConfigVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.ConfigVersion()
}

// Counters returns the counts since the endpoint started.
func (e *Endpoint) Counters() Counters {
	return e.counters.snapshot()
}

func (e *Endpoint) serviceAddr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service
}

// resetConnections aborts all connections and reopens the listening port, unless
// the endpoint is suspended, closed or without a service. It records the number of
// removed flows. The caller must hold e.mu.
func (e *Endpoint) resetConnections(removedFlows int, cause string) {
	if removedFlows > 0 {
		e.options.Recorder.Record(event.Event{
			Kind:   event.FlowsGivenUp,
			Server: e.options.Name,
			Count:  uint64(removedFlows),
			Detail: cause,
		})
	}
	if e.port != nil {
		e.port.close()
		e.port = nil
	}
	e.conns.abort()
	if e.suspended || e.closed || !e.service.IsValid() {
		return
	}
	p, err := e.openPort(e.service.Port())
	if err != nil {
		e.options.Recorder.Record(event.Event{Kind: event.PacketsDropped, Server: e.options.Name, Detail: err.Error()})
		return
	}
	e.port = p
	go e.acceptFrom(p)
}

// Run handles packets until the context is done, then aborts all connections and
// closes the sockets. The error has kind Internal.
func (e *Endpoint) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.receive(e.socket) })
	for _, c := range e.sources.Conns() {
		group.Go(func() error { return e.receive(c) })
	}
	group.Go(func() error {
		e.send(ctx)
		return nil
	})
	group.Go(func() error {
		e.tick(ctx)
		return nil
	})
	group.Go(func() error {
		e.reportDrops(ctx)
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		e.closeSockets()
		return nil
	})
	err := group.Wait()
	e.closeStack()
	return errkind.Wrap(err, errkind.Internal, "packet path of %s", e.options.Name)
}

func (e *Endpoint) closeSockets() {
	_ = e.socket.Close()
	e.sources.Close()
}

func (e *Endpoint) closeStack() {
	e.mu.Lock()
	e.closed = true
	e.resetConnections(0, "")
	e.mu.Unlock()
	_ = e.listener.Close()
	e.link.Close()
	e.stack.Destroy()
}
