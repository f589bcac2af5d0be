package spread_test

import (
	"net"
	"sync/atomic"
)

// network is the state shared by the connections of a fleet.
type network struct {
	// bytes counts the bytes of all connections in both directions.
	bytes atomic.Int64
	// blackholes counts how often all open connections were blackholed.
	blackholes atomic.Int64
}

// listener accepts connections of a network.
type listener struct {
	net.Listener
	network *network
}

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &connection{Conn: accepted, network: l.network, blackholesAtOpen: l.network.blackholes.Load()}, nil
}

// connection drops all data, without an error, once its network has blackholed the
// connections that were open.
type connection struct {
	net.Conn
	network          *network
	blackholesAtOpen int64
}

func (c *connection) blackholed() bool {
	return c.network.blackholes.Load() != c.blackholesAtOpen
}

func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.blackholed() {
			c.network.bytes.Add(int64(n))
			return n, err
		}
	}
}

func (c *connection) Write(p []byte) (int, error) {
	if c.blackholed() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}
