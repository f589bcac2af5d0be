package admission

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/request/backend"
)

// bodyCopy copies the body of one answer to the caller.
type bodyCopy struct {
	exchange *exchange
	answer   *backend.Exchange
	control  *http.ResponseController
	// unknown tells that the length of the body is not known beforehand.
	unknown bool
	small   []byte
	// full tells that the last read filled its buffer, so that more may wait.
	full bool
}

// next copies what the backend server has sent and tells whether that was the
// end.
func (c *bodyCopy) next() (done bool, err error) {
	if !c.unknown {
		_ = c.answer.SetReadDeadline(time.Now().Add(serverStall))
	}
	buffer, release := c.buffer()
	defer release()
	n, readErr := c.answer.Response.Body.Read(buffer)
	c.full = n >= smallBufferSize
	if n > 0 {
		if err := c.forward(buffer[:n]); err != nil {
			return false, err
		}
	}
	switch {
	case errors.Is(readErr, io.EOF):
		return true, nil
	case c.exchange.ctx.Err() != nil:
		return false, errCallerGone
	case readErr != nil:
		return false, errkind.Wrap(readErr, errkind.BackendFailed, "the answer broke off")
	}
	return false, nil
}

// buffer returns the small buffer, or a large one from the pool while data comes
// fast, and the function that gives it back.
func (c *bodyCopy) buffer() ([]byte, func()) {
	if !c.full {
		return c.small, func() {}
	}
	pool := &c.exchange.gate.buffers
	large := pool.Get().(*[copyBufferSize]byte)
	return large[:], func() { pool.Put(large) }
}

// forward passes bytes on to the caller. The answer to a keyed request is read to
// its end also when the caller has gone, so that a repeat can have it.
func (c *bodyCopy) forward(p []byte) error {
	x := c.exchange
	x.captured.add(p)
	if x.callerGone != nil {
		return nil
	}
	err := c.write(p)
	if err != nil && x.permit != nil && !x.captured.overflow {
		x.callerGone = err
		return nil
	}
	return err
}

func (c *bodyCopy) write(p []byte) error {
	_ = c.control.SetWriteDeadline(time.Now().Add(callerStall))
	if _, err := c.exchange.w.Write(p); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "write to the caller")
	}
	if !c.unknown {
		return nil
	}
	if err := c.control.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Canceled, "write to the caller")
	}
	return nil
}
