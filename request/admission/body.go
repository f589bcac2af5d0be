package admission

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/request/backend"
)

// bodyCopier copies the body of one response to the caller.
type bodyCopier struct {
	exchange *exchange
	response *backend.Exchange
	control  *http.ResponseController
	// unknownLength is true if the length of the body is not known in advance.
	unknownLength bool
	smallBuffer   []byte
	// bufferFilled is true if the last read returned at least smallBufferSize
	// bytes, so that more data may be available.
	bufferFilled bool
}

// copyNext copies the next part of the body and reports whether it was the last.
func (c *bodyCopier) copyNext() (done bool, err error) {
	if !c.unknownLength {
		_ = c.response.SetReadDeadline(time.Now().Add(serverReadTimeout))
	}
	buffer, release := c.buffer()
	defer release()
	n, readErr := c.response.Response.Body.Read(buffer)
	c.bufferFilled = n >= smallBufferSize
	if n > 0 {
		if err := c.forward(buffer[:n]); err != nil {
			return false, err
		}
	}
	switch {
	case errors.Is(readErr, io.EOF):
		return true, nil
	case c.exchange.ctx.Err() != nil:
		return false, errCanceled
	case readErr != nil:
		return false, errkind.Wrap(readErr, errkind.BackendFailed, "response body ended early")
	}
	return false, nil
}

// buffer returns the small buffer, or a large one from the pool while data arrives
// quickly, and a function that releases it.
func (c *bodyCopier) buffer() ([]byte, func()) {
	if !c.bufferFilled {
		return c.smallBuffer, func() {}
	}
	pool := &c.exchange.gate.buffers
	large := pool.Get().(*[copyBufferSize]byte)
	return large[:], func() { pool.Put(large) }
}

// forward writes p to the caller. The response to a keyed request is read to its
// end even if the caller has disconnected, so that a retry can receive it.
func (c *bodyCopier) forward(p []byte) error {
	x := c.exchange
	x.captured.add(p)
	if x.callerErr != nil {
		return nil
	}
	err := c.write(p)
	if err != nil && x.permit != nil && !x.captured.overflow {
		x.callerErr = err
		return nil
	}
	return err
}

func (c *bodyCopier) write(p []byte) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := c.exchange.w.Write(p); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "write response to the caller")
	}
	if !c.unknownLength {
		return nil
	}
	if err := c.control.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "write response to the caller")
	}
	return nil
}
