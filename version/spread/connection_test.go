package spread_test

import (
	"net"
	"sync/atomic"
)

// network is what the connections of a fleet share.
type network struct {
	// bytes counts the bytes of all connections, both ways.
	bytes atomic.Int64
	// silenced is the number of times that open connections went silent.
	silenced atomic.Int64
}

// listener makes the connections of a network.
type listener struct {
	net.Listener
	network *network
}

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: accepted, network: l.network, opened: l.network.silenced.Load()}, nil
}

// connection is silent for good once its network has silenced the connections
// that were open.
type connection struct {
	net.Conn
	network *network
	opened  int64
}

func (c *connection) silent() bool {
	return c.network.silenced.Load() != c.opened
}

func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent() {
			c.network.bytes.Add(int64(n))
			return n, err
		}
	}
}

func (c *connection) Write(p []byte) (int, error) {
	if c.silent() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}
