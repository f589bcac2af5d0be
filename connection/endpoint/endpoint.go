// Package endpoint is the shell around the flow decisions of an agent: UDP
// sockets towards balancers, agents and the fabric, and a TCP stack in user
// space that ends the callers' flows.
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

// sourcePorts is the number of source ports that take turns.
const sourcePorts = 4

// Options are the settings of an Endpoint.
type Options struct {
	// Listen is the agent's packet address, as other processes know it. Port 0
	// takes a free port.
	Listen netip.AddrPort
	// Fabric is the address that takes packets to callers.
	Fabric netip.AddrPort
	// Source is the inner address of calls of this agent. The zero value allows
	// no calls.
	Source netip.Addr
	// Name is the name of the backend server, for events.
	Name string
	// Recorder takes events. Nil discards them.
	Recorder event.Recorder
}

// Endpoint ends the flows of a service's callers at one backend server.
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

// Listen returns the listener of the callers' flows, whichever address the
// service has.
func (e *Endpoint) Listen() net.Listener {
	return e.listener
}

// SetService sets the service's address. Packets to another one are dropped
// and counted. On a change the flows of the former address are given up.
func (e *Endpoint) SetService(addr netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if addr == e.service {
		return
	}
	e.service = addr
	givenUp := e.core.SetService(addr)
	e.restart(givenUp, "service address changed")
}

// SetServers sets the servers of the agent's service, with those of failure
// domains that are out, and the names of these failure domains.
func (e *Endpoint) SetServers(servers []steering.Server, outDomains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.SetServers(servers, outDomains, time.Now())
}

// SetSuspended tells that the agent's own failure domain is out, or in again.
// While it is out nothing is sent or delivered. Going out gives all flows up.
func (e *Endpoint) SetSuspended(suspended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if suspended == e.suspended {
		return
	}
	e.suspended = suspended
	givenUp := e.core.SetSuspended(suspended)
	e.restart(givenUp, "failure domain out")
}

// SetDraining tells that the agent takes no new flows, whatever its view says.
func (e *Endpoint) SetDraining(draining bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.SetDraining(draining)
}

// Flows returns the number of open callers' flows.
func (e *Endpoint) Flows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.Flows()
}

// ConfigVersion returns the highest configuration version that a balancer named.
func (e *Endpoint) ConfigVersion() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.core.ConfigVersion()
}

// Counters returns the counts since the start.
func (e *Endpoint) Counters() Counters {
	return e.counters.snapshot()
}

func (e *Endpoint) serviceAddr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.service
}

// restart ends all connections and listens anew, with e.mu held.
func (e *Endpoint) restart(givenUp int, why string) {
	if givenUp > 0 {
		e.options.Recorder.Record(event.Event{
			Kind:   event.FlowsGivenUp,
			Server: e.options.Name,
			Count:  uint64(givenUp),
			Detail: why,
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

// Run moves packets until the context ends, and then ends all connections and
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
		e.report(ctx)
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
	e.restart(0, "")
	e.mu.Unlock()
	_ = e.listener.Close()
	e.link.Close()
	e.stack.Destroy()
}
