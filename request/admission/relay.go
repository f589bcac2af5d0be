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

// acceptRetry is the wait after a failed Accept.
const acceptRetry = 10 * time.Millisecond

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// ServeTCP relays the connections of l to the backend server, within the
// connection limit, until l is closed. A connection that finds no room, no
// backend server or a draining gate is closed at once.
func (g *Gate) ServeTCP(l net.Listener) error {
	for {
		conn, err := l.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case isTemporary(err):
			time.Sleep(acceptRetry)
			continue
		case err != nil:
			return errkind.Wrap(err, errkind.Internal, "accept")
		}
		if !g.enterRelay() {
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

// enterRelay takes a place for one connection, if there is one.
func (g *Gate) enterRelay() bool {
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
	wait.Go(func() { g.copyHalf(server, caller) })
	g.copyHalf(caller, server)
	wait.Wait()
}

// copyHalf copies one direction. A clean end is passed on as a half-close; an
// error ends both connections.
func (g *Gate) copyHalf(dst, src net.Conn) {
	buffer := g.buffers.Get().(*[copyBufferSize]byte)
	defer g.buffers.Put(buffer)
	_, err := io.CopyBuffer(writerOnly{dst}, readerOnly{src}, buffer[:])
	half, ok := dst.(halfCloser)
	if err == nil && ok {
		_ = half.CloseWrite()
		return
	}
	_ = dst.Close()
	_ = src.Close()
}

type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
