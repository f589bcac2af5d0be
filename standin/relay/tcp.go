package relay

import (
	"context"
	"net"
	"time"

	"bergamotbank/standin/fault"
)

const (
	chunkBytes = 16 << 10
	// chunksInFlight limits the chunks that wait in one direction.
	chunksInFlight = 64
	// cutPollInterval is the interval at which a cut direction is checked.
	cutPollInterval = 10 * time.Millisecond
	dialTimeout     = 5 * time.Second
)

// chunk is a piece of a TCP stream with its arrival time.
type chunk struct {
	due  time.Time
	data []byte
}

// accept relays TCP connections until the listener is closed.
func (r *relay) accept(ctx context.Context) {
	for {
		conn, err := r.tcp.Accept()
		if err != nil {
			return
		}
		if r.current().Refuse {
			fault.Reset(conn)
			continue
		}
		go r.serve(ctx, conn)
	}
}

// serve relays one connection until both directions have ended. A blackholed
// connection stays open until ctx is done.
func (r *relay) serve(ctx context.Context, source net.Conn) {
	generation := r.generation.Load()
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", r.pair.Target.String())
	if err != nil {
		fault.Reset(source)
		return
	}
	r.counters.connections.Add(1)
	closeBoth := func() {
		_ = source.Close()
		_ = target.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	ended := make(chan bool, directionCount)
	go func() { ended <- r.copy(ctx, toTarget, source, target, generation) }()
	go func() { ended <- r.copy(ctx, fromTarget, target, source, generation) }()
	blackholed := false
	for range directionCount {
		blackholed = <-ended || blackholed
	}
	if blackholed {
		r.counters.blackholed.Add(1)
		<-ctx.Done()
	}
	closeBoth()
}

// copy relays one direction and reports whether it ended because the connection
// was blackholed.
func (r *relay) copy(ctx context.Context, d direction, from, to net.Conn, generation int64) (blackholed bool) {
	chunks := make(chan chunk, chunksInFlight)
	go r.read(ctx, from, chunks)
	for c := range chunks {
		if !fault.Sleep(ctx, time.Until(c.due)) || !r.waitWhileCut(ctx, d) {
			break
		}
		if r.generation.Load() != generation {
			return true
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		r.counters.bytes.Add(uint64(len(c.data)))
	}
	if r.generation.Load() != generation {
		return true
	}
	closeWrite(to)
	go drain(chunks)
	return false
}

// read splits a stream into chunks until it ends.
func (r *relay) read(ctx context.Context, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			due := time.Now().Add(r.current().Link.Delay.Std())
			select {
			case chunks <- chunk{due: due, data: buffer[:n]}:
			case <-ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// drain discards chunks so that the reader can reach the end of its stream.
func drain(chunks <-chan chunk) {
	for range chunks {
		continue
	}
}

// waitWhileCut blocks while a direction is cut. It returns false when ctx is done.
func (r *relay) waitWhileCut(ctx context.Context, d direction) bool {
	for r.current().cut(d) {
		if !fault.Sleep(ctx, cutPollInterval) {
			return false
		}
	}
	return true
}

// closeWrite signals the end of the stream to the peer.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
