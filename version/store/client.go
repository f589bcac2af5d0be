// Package store is a thin client of the platform's key-value service, which
// speaks a subset of the published Consul KV HTTP API. Every call has a
// deadline and counts against a budget; reads are retried with jitter, writes
// are not, since a write without an answer may have taken effect.
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

// MaxValueBytes is the largest value that the service holds, in bytes.
const MaxValueBytes = 1 << 20

// Defaults of the fields of Options.
const (
	// DefaultTimeout bounds one call, from the budget granted to the answer.
	DefaultTimeout = 2 * time.Second
	// DefaultAttempts is the number of times a read is sent.
	DefaultAttempts = 3
	// DefaultCallsPerSecond is the budget of calls of one process.
	DefaultCallsPerSecond = 20
	// DefaultBurst is the number of calls that may be made at once.
	DefaultBurst = 100
	// DefaultWatchWait is the time that a watch asks the service to wait.
	DefaultWatchWait = 2 * time.Second
	// DefaultWatchGrace is the time past its wait after which a watch is silent.
	DefaultWatchGrace = 500 * time.Millisecond
)

// Pauses between attempts double from the first to the last, with jitter.
const (
	firstPause = 50 * time.Millisecond
	lastPause  = 2 * time.Second
)

// Options configures a Client. Zero fields take the defaults.
type Options struct {
	// Address is the host and port of the service.
	Address string
	// Timeout bounds one call.
	Timeout time.Duration
	// Attempts is the number of times a read is sent.
	Attempts int
	// CallsPerSecond is the budget of calls.
	CallsPerSecond float64
	// Burst is the number of calls that may be made at once.
	Burst int
	// WatchWait is the time that a watch asks the service to wait.
	WatchWait time.Duration
	// WatchGrace is the time past its wait after which a watch is silent.
	WatchGrace time.Duration
	// Recorder takes the events of the client.
	Recorder event.Recorder
}

// Client calls the key-value service. It is safe for concurrent use.
type Client struct {
	options   Options
	transport *http.Transport
	http      *http.Client
	budget    *rate.Limiter
	calls     atomic.Uint64
	reachable atomic.Bool
	contact   atomic.Int64
}

// NewClient returns a client; it makes no call.
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
		budget:    rate.NewLimiter(rate.Limit(options.CallsPerSecond), options.Burst),
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

// Reachable tells whether the last call was answered.
func (c *Client) Reachable() bool {
	return c.reachable.Load()
}

// LastContact returns the time of the last answer, the zero time when there was
// none.
func (c *Client) LastContact() time.Time {
	nanoseconds := c.contact.Load()
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds)
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// answer is the status, index and body of one answered call.
type answer struct {
	status int
	index  uint64
	body   []byte
}

// request is one call.
type request struct {
	method  string
	path    string
	query   string
	body    []byte
	timeout time.Duration
}

// send makes one call within the budget and the timeout. sent is false when it
// is certain that the service never saw the call.
func (c *Client) send(ctx context.Context, r request) (a answer, sent bool, err error) {
	if err := c.budget.Wait(ctx); err != nil {
		return answer{}, false, errkind.Wrap(err, errkind.StoreUnavailable, "%s %s: budget of calls", r.method, r.path)
	}
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	a, sent, err = c.exchange(ctx, r)
	c.note(ctx, err)
	if err != nil {
		// The other idle connections may be as dead as this one.
		c.transport.CloseIdleConnections()
		err = errkind.Wrap(err, errkind.StoreUnavailable, "%s %s at %s", r.method, r.path, c.options.Address)
	}
	return a, sent, err
}

func (c *Client) exchange(ctx context.Context, r request) (answer, bool, error) {
	trace := newSendTrace()
	httpRequest, err := newHTTPRequest(trace.context(ctx), c.options.Address, r)
	if err != nil {
		return answer{}, false, err
	}
	c.calls.Add(1)
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return answer{}, trace.sent(), err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, true, err
	}
	return answer{status: response.StatusCode, index: indexOf(response.Header), body: body}, true, nil
}

// note records the moments at which the service becomes unreachable and
// reachable. A call given up by its caller tells nothing.
func (c *Client) note(ctx context.Context, err error) {
	if err != nil && errors.Is(context.Cause(ctx), context.Canceled) {
		return
	}
	reachable := err == nil
	if reachable {
		c.contact.Store(time.Now().UnixNano())
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

// read sends a read until it is answered, the attempts are used up or ctx ends.
func (c *Client) read(ctx context.Context, r request) (answer, error) {
	var last error
	for attempt := range c.options.Attempts {
		if attempt > 0 && !sleep(ctx, pause(attempt)) {
			break
		}
		a, _, err := c.send(ctx, r)
		if err == nil {
			err = refusal(r, a)
		}
		if err == nil || !retryable(a.status) {
			return a, err
		}
		last = err
	}
	return answer{}, last
}

// pause returns the time before the given attempt, with full jitter above half.
func pause(attempt int) time.Duration {
	longest := lastPause
	if attempt < 8 {
		longest = min(lastPause, firstPause<<(attempt-1))
	}
	return longest/2 + rand.N(longest/2+1)
}

// sleep waits for d and tells whether ctx is still open.
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
