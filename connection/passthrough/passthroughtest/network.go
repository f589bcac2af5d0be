package passthroughtest

import (
	"bytes"

	"bergamotbank/connection/passthrough"
)

// maxDeliveries bounds the datagrams of one Run, so that a loop shows.
const maxDeliveries = 100_000

// Network delivers datagrams in the order of their sending. It copies them, as a
// socket does.
type Network struct {
	queue    []datagram
	handlers map[passthrough.Endpoint]func(b []byte)
	// Drop decides which datagrams are lost; nil for none.
	Drop func(b []byte, to passthrough.Endpoint) bool
	// Looped tells that Run gave up.
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

// Attach lets handle take the datagrams for an endpoint; nil cuts it off.
func (n *Network) Attach(at passthrough.Endpoint, handle func(b []byte)) { n.handlers[at] = handle }

// Send queues a datagram.
func (n *Network) Send(b []byte, to passthrough.Endpoint) {
	n.queue = append(n.queue, datagram{bytes.Clone(b), to})
}

// Run delivers until nothing is queued.
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
