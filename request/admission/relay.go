package admission

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"bergamotbank/errkind"
)

// acceptRetryDelay is the delay after an Accept that failed with a timeout.
const acceptRetryDelay = 10 * time.Millisecond

// writeCloser is a connection whose write side can be closed separately.
type writeCloser interface{ CloseWrite() error }

// ServeTCP relays the connections of l to the backend server, within the
// connection limit, until l is closed. It closes a connection immediately if the
// limit is reached, the gate is draining, or the backend server is unreachable.
func (g *Gate) ServeTCP(l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			time.Sleep(acceptRetryDelay)
			continue
		case err != nil:
			return errkind.Wrap(err, errkind.Internal, "accept connection")
		}
		if !g.acquireRelay() {
			g.counters.refused.Add(1)
			_ = conn.Close()
			continue
		}
		go g.relay(conn)
	}
}

func isTemporary(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// acquireRelay reserves one connection and reports whether the limit allowed it.
func (g *Gate) acquireRelay() bool {
	if g.draining.Load() {
		return false
	}
	if g.relays.Add(1) > g.maxOpen.Load() {
		g.relays.Add(-1)
		return false
	}
	return true
}

func (g *Gate) relay(caller net.Conn) {
	defer g.relays.Add(-1)
	defer func() { _ = caller.Close() }()
	server, err := g.client.Dial(context.Background())
	if err != nil {
		g.counters.refused.Add(1)
		return
	}
	defer func() { _ = server.Close() }()
	var wait sync.WaitGroup
	wait.Go(func() { g.copyDirection(server, caller) })
	g.copyDirection(caller, server)
	wait.Wait()
}

// copyDirection copies from src to dst. At the end of the data it half-closes dst;
// on an error it closes both connections.
func (g *Gate) copyDirection(dst, src net.Conn) {
	buffer := g.buffers.Get().(*[copyBufferSize]byte)
	defer g.buffers.Put(buffer)
	_, err := io.CopyBuffer(writerOnly{dst}, readerOnly{src}, buffer[:])
	closer, ok := dst.(writeCloser)
	if err == nil && ok {
		_ = closer.CloseWrite()
		return
	}
	_ = dst.Close()
	_ = src.Close()
}

type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
