package caller

import (
	"context"
	"io"
	"time"

	"bergamotbank/standin/fault"
)

// pacedReader reads at a limited rate, as a caller on a slow line does.
type pacedReader struct {
	ctx            context.Context
	inner          io.Reader
	bytesPerSecond int
	started        time.Time
	read           int64
}

// paced returns a reader with the given rate, or inner itself without one.
func paced(ctx context.Context, inner io.Reader, bytesPerSecond int) io.Reader {
	if bytesPerSecond <= 0 {
		return inner
	}
	return &pacedReader{ctx: ctx, inner: inner, bytesPerSecond: bytesPerSecond, started: time.Now()}
}

// Read waits until what was read before fits the rate, and reads on.
func (p *pacedReader) Read(buffer []byte) (int, error) {
	due := time.Duration(float64(p.read) / float64(p.bytesPerSecond) * float64(time.Second))
	if !fault.Sleep(p.ctx, time.Until(p.started.Add(due))) {
		return 0, p.ctx.Err()
	}
	n, err := p.inner.Read(buffer)
	p.read += int64(n)
	return n, err
}
