package relay

import (
	"context"
	"net"
	"time"

	"bergamotbank/standin/fault"
)

const (
	chunkBytes = 16 << 10
	// chunksInFlight bounds the chunks of one direction that wait.
	chunksInFlight = 64
	// cutPollPeriod is the time between two looks at a direction that is cut.
	cutPollPeriod = 10 * time.Millisecond
	dialTimeout   = 5 * time.Second
)

// chunk is a piece of a TCP stream and when it arrives.
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

// serve relays one connection until both directions have ended. A connection
// that has gone silent stays open until ctx ends.
func (r *relay) serve(ctx context.Context, source net.Conn) {
	epoch := r.epoch.Load()
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", r.pair.Target.String())
	if err != nil {
		fault.Reset(source)
		return
	}
	r.counts.connections.Add(1)
	closeBoth := func() {
		_ = source.Close()
		_ = target.Close()
	}
	stop := context.AfterFunc(ctx, closeBoth)
	defer stop()
	ended := make(chan bool, directionCount)
	go func() { ended <- r.copy(ctx, toTarget, source, target, epoch) }()
	go func() { ended <- r.copy(ctx, fromTarget, target, source, epoch) }()
	silent := false
	for range directionCount {
		silent = <-ended || silent
	}
	if silent {
		r.counts.silenced.Add(1)
		<-ctx.Done()
	}
	closeBoth()
}

// copy relays one direction and tells whether it ended because the connection
// went silent.
func (r *relay) copy(ctx context.Context, d direction, from, to net.Conn, epoch int64) (silent bool) {
	chunks := make(chan chunk, chunksInFlight)
	go r.read(ctx, from, chunks)
	for c := range chunks {
		if !fault.Sleep(ctx, time.Until(c.due)) || !r.waitWhileCut(ctx, d) {
			break
		}
		if r.epoch.Load() != epoch {
			return true
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
		r.counts.bytes.Add(uint64(len(c.data)))
	}
	if r.epoch.Load() != epoch {
		return true
	}
	closeWrite(to)
	go drain(chunks)
	return false
}

// read cuts a stream into chunks until it ends.
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

// drain lets a reader go on to the end of its stream.
func drain(chunks <-chan chunk) {
	for range chunks {
		continue
	}
}

// waitWhileCut holds a direction back while it is cut. It returns false when ctx
// ended.
func (r *relay) waitWhileCut(ctx context.Context, d direction) bool {
	for r.current().cut(d) {
		if !fault.Sleep(ctx, cutPollPeriod) {
			return false
		}
	}
	return true
}

// closeWrite tells the other end that the stream has ended.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
