package caller

import (
	"context"
	"io"
	"time"

	"bergamotbank/standin/fault"
)

// throttledReader reads at a limited rate, like a caller on a slow link.
type throttledReader struct {
	ctx            context.Context
	inner          io.Reader
	bytesPerSecond int
	started        time.Time
	read           int64
}

// throttle returns a reader limited to the given rate, or inner itself if the rate
// is not positive.
func throttle(ctx context.Context, inner io.Reader, bytesPerSecond int) io.Reader {
	if bytesPerSecond <= 0 {
		return inner
	}
	return &throttledReader{ctx: ctx, inner: inner, bytesPerSecond: bytesPerSecond, started: time.Now()}
}

// Read waits until the bytes read so far conform to the rate, and then reads from
// the inner reader.
func (t *throttledReader) Read(buffer []byte) (int, error) {
	due := time.Duration(float64(t.read) / float64(t.bytesPerSecond) * float64(time.Second))
	if !fault.Sleep(t.ctx, time.Until(t.started.Add(due))) {
		return 0, t.ctx.Err()
	}
	n, err := t.inner.Read(buffer)
	t.read += int64(n)
	return n, err
}
