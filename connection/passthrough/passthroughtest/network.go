package passthroughtest

import (
	"bytes"

	"bergamotbank/connection/passthrough"
)

// maxDeliveries limits the datagrams of one Run, to detect forwarding loops.
const maxDeliveries = 100_000

// Network delivers datagrams in the order in which they were sent. It copies them,
// as a socket does.
type Network struct {
	queue    []datagram
	handlers map[passthrough.Endpoint]func(b []byte)
	// Drop reports whether a datagram is to be dropped; nil for none.
	Drop func(b []byte, to passthrough.Endpoint) bool
	// Looped is true if a Run has stopped after maxDeliveries datagrams.
	Looped bool
}

type datagram struct {
	b  []byte
	to passthrough.Endpoint
}

// NewNetwork returns a network without endpoints.
func NewNetwork() *Network {
	return &Network{handlers: map[passthrough.Endpoint]func([]byte){}}
}

// Attach sets the function that receives the datagrams for an endpoint; nil
// disconnects the endpoint.
func (n *Network) Attach(at passthrough.Endpoint, handle func(b []byte)) { n.handlers[at] = handle }

// Send queues a datagram.
func (n *Network) Send(b []byte, to passthrough.Endpoint) {
	n.queue = append(n.queue, datagram{bytes.Clone(b), to})
}

// Run delivers datagrams until the queue is empty.
func (n *Network) Run() {
	for count := 0; len(n.queue) > 0; count++ {
		if count == maxDeliveries {
			n.Looped = true
			return
		}
		next := n.queue[0]
		n.queue = n.queue[1:]
		if n.Drop != nil && n.Drop(next.b, next.to) {
			continue
		}
		if handle := n.handlers[next.to]; handle != nil {
			handle(next.b)
		}
	}
}
