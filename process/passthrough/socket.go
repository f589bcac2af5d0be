package passthrough

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"bergamotbank/connection/datagram"
	"bergamotbank/connection/passthrough"
)

// sender queues datagrams and writes them in batches to one socket. It is guarded by the
// lock of its owner.
type sender struct {
	conn   *datagram.Conn
	writer *datagram.Writer
	failed uint64
}

func newSender(conn *datagram.Conn) *sender {
	return &sender{conn: conn, writer: datagram.NewWriter()}
}

// Send queues a datagram until flush.
func (s *sender) Send(b []byte, to passthrough.Endpoint) {
	if s.writer.Len() == datagram.BatchSize {
		s.flush()
	}
	s.writer.Add(b, to.AddrPort())
}

// flush writes the queued datagrams.
func (s *sender) flush() {
	if s.writer.Len() > 0 {
		s.failed += uint64(s.writer.Flush(s.conn))
	}
}

// listenDatagrams opens a UDP socket.
func listenDatagrams(addr netip.AddrPort) (*datagram.Conn, error) {
	return datagram.Listen(addr, false)
}

// receive calls handle for each batch of datagrams until ctx is canceled.
func receive(ctx context.Context, conn *datagram.Conn, handle func(r *datagram.Reader, n int)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	reader := conn.NewReader()
	for {
		n, err := reader.Read()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			// A read also returns errors of sent datagrams, such as an unreachable port.
			continue
		}
		handle(reader, n)
	}
}

// clock measures the time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

// now returns the time since the start. It is never 0, which stands for never.
func (c clock) now() time.Duration { return time.Since(c.start) + 1 }
