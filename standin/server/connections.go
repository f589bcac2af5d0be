package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"bergamotbank/standin/fault"
)

// limitedListener resets connections above a limit.
type limitedListener struct {
	net.Listener
	limit  int64
	counts *counters
}

// Accept returns the next connection below the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.counts.connections.Add(1) <= l.limit {
			return &countedConn{Conn: conn, counts: l.counts}, nil
		}
		l.counts.connections.Add(-1)
		l.counts.refusedConnections.Add(1)
		fault.Reset(conn)
	}
}

// countedConn is a connection that is counted until it is closed.
type countedConn struct {
	net.Conn
	counts *counters
	once   sync.Once
}

// Close closes the connection and counts it once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.counts.connections.Add(-1) })
	return c.Conn.Close()
}

// SetLinger sets the option on the TCP connection, so that it can be reset.
func (c *countedConn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

type requestCountKey struct{}

// withRequestCount adds a request counter to the context of each connection.
func withRequestCount(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
}

// countRequests counts the requests of each connection.
func countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64); ok {
			count.Add(1)
		}
		next.ServeHTTP(w, r)
	})
}

// requestNumber returns the number of a request on its connection, counted from 1.
func requestNumber(r *http.Request) int64 {
	count, ok := r.Context().Value(requestCountKey{}).(*atomic.Int64)
	if !ok {
		return 1
	}
	return count.Load()
}
