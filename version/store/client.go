// Package store provides a client for the platform's key-value service, which
// implements a subset of the Consul KV HTTP API. Every call has a timeout and is
// subject to a rate limit. Reads are retried with jittered exponential backoff;
// writes are not, since a write without a response may have taken effect.
package store

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"bergamotbank/errkind"
	"bergamotbank/event"
)

// MaxValueBytes is the largest value that the service stores, in bytes.
const MaxValueBytes = 1 << 20

// Defaults of the fields of Options.
const (
	// DefaultTimeout is the timeout of one call, not counting the wait for the rate
	// limiter.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is the maximum number of attempts of a read.
	DefaultAttempts = 3
	// DefaultCallsPerSecond is the rate limit of calls of one client.
	DefaultCallsPerSecond = 20
	// DefaultBurst is the burst size of the rate limit.
	DefaultBurst = 100
	// DefaultWatchWait is the longest time that the service blocks a watch call.
	DefaultWatchWait = 2 * time.Second
	// DefaultWatchGrace is the time beyond the wait after which a watch call
	// without a response counts as stalled.
	DefaultWatchGrace = 500 * time.Millisecond
)

// The backoff between attempts doubles from the minimum to the maximum, with
// jitter.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Options configures a Client. Fields that are zero get their defaults.
type Options struct {
	// Address is the host and port of the service.
	Address string
	// Timeout is the timeout of one call.
	Timeout time.Duration
	// Attempts is the maximum number of attempts of a read.
	Attempts int
	// CallsPerSecond is the rate limit of calls.
	CallsPerSecond float64
	// Burst is the burst size of the rate limit.
	Burst int
	// WatchWait is the longest time that the service blocks a watch call.
	WatchWait time.Duration
	// WatchGrace is the time beyond the wait after which a watch call without a
	// response counts as stalled.
	WatchGrace time.Duration
	// Recorder records the events of the client.
	Recorder event.Recorder
}

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	options     Options
	transport   *http.Transport
	http        *http.Client
	limiter     *rate.Limiter
	calls       atomic.Uint64
	reachable   atomic.Bool
	lastContact atomic.Int64
}

// NewClient returns a client without connecting to the service.
func NewClient(options Options) *Client {
	options = withDefaults(options)
	dialer := &net.Dialer{Timeout: options.Timeout, KeepAlive: -1}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
	c := &Client{
		options:   options,
		transport: transport,
		http:      &http.Client{Transport: transport},
		limiter:   rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
	}
	c.reachable.Store(true)
	return c
}

func withDefaults(o Options) Options {
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Attempts == 0 {
		o.Attempts = DefaultAttempts
	}
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.Burst == 0 {
		o.Burst = DefaultBurst
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.WatchGrace == 0 {
		o.WatchGrace = DefaultWatchGrace
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard{}
	}
	return o
}

// Calls returns the number of calls sent so far.
func (c *Client) Calls() uint64 {
	return c.calls.Load()
}

// Reachable reports whether the last call received a response. It is true before
// the first call.
func (c *Client) Reachable() bool {
	return c.reachable.Load()
}

// LastContact returns the time of the last response, or the zero time if there was
// none.
func (c *Client) LastContact() time.Time {
	nanoseconds := c.lastContact.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// response is the response to one call.
type response struct {
	status int
	index  uint64
	body   []byte
	// reconnected is true if the call used a new connection.
	reconnected bool
}

// request is one call.
type request struct {
	method  string
	path    string
	query   string
	body    []byte
	timeout time.Duration
}

// send makes one call within the rate limit and the timeout. sent is false only if
// the service certainly did not receive the call.
func (c *Client) send(ctx context.Context, r request) (resp response, sent bool, err error) {
	if err := c.limiter.Wait(ctx); err != nil {
		return response{}, false, errkind.Wrap(err, errkind.StoreUnavailable, "%s %s: wait for the rate limiter", r.method, r.path)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	resp, sent, err = c.exchange(ctx, r)
	c.recordReachability(ctx, err)
	if err != nil {
		// The other idle connections may have failed for the same reason.
		c.transport.CloseIdleConnections()
		err = errkind.Wrap(err, errkind.StoreUnavailable, "%s %s at %s", r.method, r.path, c.options.Address)
	}
	return resp, sent, err
}

func (c *Client) exchange(ctx context.Context, r request) (response, bool, error) {
	trace := newSendTrace()
	httpRequest, err := newHTTPRequest(trace.context(ctx), c.options.Address, r)
	if err != nil {
		return response{}, false, err
	}
	c.calls.Add(1)
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, trace.sent(), err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes))
	if err != nil {
		return response{}, true, err
	}
	return response{status: httpResponse.StatusCode, index: indexOf(httpResponse.Header), body: body, reconnected: trace.reconnected.Load()}, true, nil
}

// recordReachability records an event when the service becomes unreachable or
// reachable again. It ignores canceled calls, whose errors do not come from the
// service.
func (c *Client) recordReachability(ctx context.Context, err error) {
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	reachable := err == nil
	if reachable {
		c.lastContact.Store(time.Now().UnixNano())
	}
	if c.reachable.Swap(reachable) == reachable {
		return
	}
	if reachable {
		c.options.Recorder.Record(event.Event{Kind: event.StoreReachable, Detail: c.options.Address})
		return
	}
	c.options.Recorder.Record(event.Event{Kind: event.StoreUnreachable, Detail: err.Error()})
}

// read retries a call until it succeeds, fails with an error that cannot be retried,
// has used its attempts or ctx is done.
func (c *Client) read(ctx context.Context, r request) (response, error) {
	var lastErr error
	for attempt := range c.options.Attempts {
		if attempt > 0 && !sleep(ctx, backoff(attempt)) {
			break
		}
		resp, _, err := c.send(ctx, r)
		if err == nil {
			err = statusError(r, resp)
		}
		if err == nil || !retryable(resp.status) {
			return resp, err
		}
		lastErr = err
	}
	return response{}, lastErr
}

// backoff returns the delay before the given attempt. The jitter makes it between
// half of the exponential delay and all of it.
func backoff(attempt int) time.Duration {
	limit := maxBackoff
	if attempt < 8 {
		limit = min(maxBackoff, minBackoff<<(attempt-1))
	}
	return limit/2 + rand.N(limit/2+1)
}

// sleep waits for d or until ctx is done. It reports whether d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
