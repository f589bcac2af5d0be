// Package backend sends HTTP requests to a backend server, each exactly once.
// Unlike http.Transport it never repeats a request by itself, and it tells the
// caller when the first byte is about to leave.
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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// writeBufferSize is the size in bytes of the buffer of a request.
	writeBufferSize = 4 << 10
	// readBufferSize is the size in bytes of the buffer of an answer. Larger reads
	// go past it; it stays small because each open stream holds one.
	readBufferSize = 1 << 10
	// maxInformational is the number of 1xx answers accepted before the answer.
	maxInformational = 5
)

var errTooManyInformational = errkind.New(errkind.BackendFailed, "more than %d informational answers", maxInformational)

var errNotSent = errkind.New(errkind.Canceled, "request ended before it was sent")

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	address string
	dialer  net.Dialer
}

// NewClient returns a client of the server at address (host:port).
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

// Exchange is one request and its answer on a connection of its own.
type Exchange struct {
	// Response is the answer. Its body ends with an error when the backend server
	// breaks off before the end that the header declared.
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

// SetReadDeadline bounds the wait for further bytes of the answer.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	return x.conn.SetReadDeadline(t)
}

// Do sends req once and returns when the header of the answer has arrived. The
// function onSend is called before the first byte leaves, and nothing leaves when
// it returns false. When Do fails without having called it, the backend server
// has seen nothing of the request.
// Cancelling ctx closes the connection, also while the body is read. Errors have
// the kind BackendUnavailable before the first byte; afterwards BackendTimeout
// past the deadline of ctx, Canceled when ctx was cancelled, else BackendFailed.
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

// writeRequest sends the request. A failure is seen by the reader, which either
// gets an early answer or a closed connection.
func writeRequest(conn net.Conn, req *http.Request, onSend func() bool) {
	w := bufio.NewWriterSize(&announcingWriter{conn: conn, onSend: onSend}, writeBufferSize)
	req.Close = true
	err := req.Write(w)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		_ = conn.Close()
	}
}

// announcingWriter calls onSend before the first byte is written.
type announcingWriter struct {
	conn   net.Conn
	onSend func() bool
	sent   bool
}

func (w *announcingWriter) Write(p []byte) (int, error) {
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
