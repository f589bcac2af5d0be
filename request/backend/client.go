// Package backend provides an HTTP client that sends each request to a backend
// server at most once. Unlike http.Transport it never retries a request, and it
// calls a function before the first byte is sent.
package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"bergamotbank/errkind"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// writeBufferSize is the size in bytes of the write buffer of a request.
	writeBufferSize = 4 << 10
	// readBufferSize is the size in bytes of the read buffer of a response. It is
	// small because each open stream holds one; larger reads bypass it.
	readBufferSize = 1 << 10
	// maxInformational bounds the number of responses read for one request, of which
	// all but the last have status 1xx.
	maxInformational = 5
)

var errTooManyInformational = errkind.New(errkind.BackendFailed, "more than %d informational answers", maxInformational)

var errNotSent = errkind.New(errkind.Canceled, "request ended before it was sent")

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	address string
	dialer  net.Dialer
}

// NewClient returns a client of the backend server at address (host:port).
func NewClient(address string) *Client {
	return &Client{address: address, dialer: net.Dialer{Timeout: dialTimeout}}
}

// Dial opens a connection to the backend server. Its errors have the kind
// BackendUnavailable.
func (c *Client) Dial(ctx context.Context) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.BackendUnavailable, "dial backend server")
	}
	return conn, nil
}

// Exchange is one request and its response on a connection of its own.
type Exchange struct {
	// Response is the response. Reading its body fails if the backend server closes
	// the connection before the end of the body as declared in the header.
	Response *http.Response

	conn   net.Conn
	stop   func() bool
	cancel sync.Once
}

// Close ends the exchange and its connection.
func (x *Exchange) Close() {
	x.cancel.Do(func() {
		x.stop()
		_ = x.conn.Close()
	})
}

// SetReadDeadline sets the deadline for reading from the connection.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	return x.conn.SetReadDeadline(t)
}

// Do sends req once and returns when the header of the response has arrived. It
// calls onSend before the first byte is sent, and sends nothing if onSend returns
// false. If Do fails without having called onSend, the backend server has received
// nothing of the request.
//
// Canceling ctx closes the connection, also while the body is read. If the
// connection cannot be established, the error has the kind BackendUnavailable.
// Later errors have the kind BackendTimeout if the deadline of ctx has passed,
// Canceled if ctx was canceled, and BackendFailed otherwise.
func (c *Client) Do(ctx context.Context, req *http.Request, onSend func() bool) (*Exchange, error) {
	conn, err := c.Dial(ctx)
	if err != nil {
		return nil, err
	}
	x := &Exchange{conn: conn}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	go writeRequest(conn, req, onSend)
	x.Response, err = readResponse(conn, req) //nolint:bodyclose // closing the connection in Close ends the body
	if err != nil {
		x.Close()
		return nil, classify(ctx, err)
	}
	return x, nil
}

// writeRequest sends the request. If it fails it closes the connection, and the
// reader gets either an early response or an error.
func writeRequest(conn net.Conn, req *http.Request, onSend func() bool) {
	w := bufio.NewWriterSize(&notifyingWriter{conn: conn, onSend: onSend}, writeBufferSize)
	req.Close = true
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		_ = conn.Close()
	}
}

// notifyingWriter calls onSend before the first byte is written, and writes nothing
// if it returns false.
type notifyingWriter struct {
	conn   net.Conn
	onSend func() bool
	sent   bool
}

func (w *notifyingWriter) Write(p []byte) (int, error) {
	if !w.sent && !w.onSend() {
		return 0, errNotSent
	}
	w.sent = true
	return w.conn.Write(p)
}

func readResponse(conn net.Conn, req *http.Request) (*http.Response, error) {
	r := bufio.NewReaderSize(conn, readBufferSize)
	for range maxInformational {
		resp, err := http.ReadResponse(r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

func classify(ctx context.Context, err error) error {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return errkind.Wrap(err, errkind.BackendTimeout, "no answer by the deadline")
	case ctx.Err() != nil:
		return errkind.Wrap(err, errkind.Canceled, "request given up")
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return errkind.Wrap(err, errkind.BackendFailed, "backend server closed the connection")
	default:
		return errkind.Wrap(err, errkind.BackendFailed, "read answer")
	}
}
