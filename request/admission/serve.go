package admission

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/ledger"
	"bergamotbank/request/ledgerrpc"
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
)

// origin describes how a request reached the gate. The zero value is a request sent
// by a caller.
type origin struct {
	// hops is the number of times that the request was handed off.
	hops int
	// claimed is true if the agent that handed the request off has claimed its key.
	claimed bool
}

// exchange is one caller's request and the response to it.
type exchange struct {
	gate     *Gate
	w        http.ResponseWriter
	r        *http.Request
	origin   origin
	id       lifecycle.ID
	deadline time.Time
	mu       sync.Mutex // guards state, streaming and finished
	state    lifecycle.Request
	finished bool

	// admitted is true while the request holds a slot of the agent's own backend
	// server, or streams after it has released one.
	admitted  bool
	streaming bool

	// ctx bounds the request and its response; stopTimer removes its deadline.
	ctx       context.Context
	stopTimer func() bool

	permit    *ledgerrpc.Permit
	captured  *capture
	callerErr error
}

// ServeHTTP serves one caller's request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.picker.recordRequest()
	g.serve(w, r, origin{})
}

func (g *Gate) serve(w http.ResponseWriter, r *http.Request, from origin) {
	g.counters.open.Add(1)
	defer g.counters.open.Add(-1)
	x := &exchange{gate: g, w: w, r: r, origin: from, id: g.nextID()}
	err := x.prepare(time.Now())
	if err == nil {
		var answered bool
		answered, err = x.claim()
		if answered && err == nil {
			return
		}
	}
	if err == nil && x.handOffIfPaused() {
		return
	}
	if err == nil {
		err = x.admit()
	}
	if err == nil {
		err = x.run()
	}
	if err == nil || x.handOff(err) {
		return
	}
	x.fail(err)
}

// prepare sets the deadline of the request and checks whether it has to be refused
// before it is queued.
func (x *exchange) prepare(now time.Time) error {
	timeout := time.Duration(x.gate.timeout.Load())
	var err error
	x.deadline, err = requestDeadline(x.r.Header, timeout, now)
	if err != nil {
		return err
	}
	if x.gate.draining.Load() {
		return errkind.New(errkind.Draining, "the backend server is leaving")
	}
	if x.gate.counters.open.Load() > x.gate.maxOpen.Load() || x.gate.snapshot.Load().queueFull {
		return errkind.New(errkind.Overloaded, "no room for a further request")
	}
	if x.gate.options.DependencyHealthy == nil {
		return nil
	}
	if missing, ok := x.gate.options.DependencyHealthy(); !ok {
		return errkind.New(errkind.DependencyUnavailable, "service %s has no healthy backend server", missing)
	}
	return nil
}

// admit waits for a slot. If it returns nil, the request holds one.
func (x *exchange) admit() error {
	decided := make(chan decision, 1)
	x.state.Queue()
	arrival := engineEvent{kind: eventArrive, id: x.id, deadline: x.deadline, decided: decided, noQueue: x.origin.hops > 0}
	if !x.gate.engine.post(arrival) {
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
	select {
	case d := <-decided:
		if !d.start {
			return errkind.New(d.reason, "request refused before its start")
		}
		x.state.Start()
		x.admitted = true
		return nil
	case <-x.r.Context().Done():
		x.gate.engine.post(engineEvent{kind: eventCancel, id: x.id, decided: decided})
		return errkind.Wrap(x.r.Context().Err(), errkind.Canceled, "request given up while it waited")
	case <-x.gate.engine.done:
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
}

// context returns the context of the request with its deadline, and a function that
// releases it. A keyed request is not canceled when its caller disconnects, so that
// a retry finds its result.
func (x *exchange) context() (context.Context, func()) {
	parent := x.r.Context()
	if x.permit != nil {
		parent = context.WithoutCancel(parent)
		x.captured = &capture{}
	}
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	x.ctx = ctx
	x.stopTimer = timer.Stop
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// run sends the request to the backend server and forwards the response. It returns
// an error only if nothing was sent.
func (x *exchange) run() error {
	ctx, stop := x.context()
	defer stop()
	started := time.Now()
	response, err := x.gate.client.Do(ctx, x.backendRequest(), x.send)
	if err != nil {
		return x.handleRunError(x.wrapContextError(ctx, err), time.Since(started))
	}
	defer response.Close()
	x.stopTimer()
	sample := limit.Sample{
		Outcome:  outcomeOf(response.Response.StatusCode),
		Latency:  time.Since(started),
		Instance: response.Response.Header.Get(HeaderInstance),
	}
	x.forwardResponse(response, sample)
	return nil
}

// send records that the first byte is about to be sent and reports whether that is
// allowed. It is not after the deadline, when the ledger no longer reserves the key
// for this attempt.
func (x *exchange) send() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !time.Now().Before(x.deadline) {
		return false
	}
	return x.state.Send()
}

// wrapContextError gives err the kind BackendTimeout if the deadline of the request
// has passed, and Canceled if its caller has disconnected.
func (x *exchange) wrapContextError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(err, errkind.BackendTimeout, "no answer by the deadline")
	default:
		return errkind.Wrap(err, errkind.Canceled, "the caller gave the request up")
	}
}

func (x *exchange) backendRequest() *http.Request {
	out := &http.Request{
		Method:        x.r.Method,
		URL:           x.r.URL,
		Host:          x.r.Host,
		Header:        make(http.Header, len(x.r.Header)+2),
		Body:          x.r.Body,
		ContentLength: x.r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if out.ContentLength == 0 {
		out.Body = http.NoBody
	}
	copyHeader(out.Header, x.r.Header)
	attempt := x.r.Header.Get(HeaderAttempt)
	dropInternalHeaders(out.Header)
	if attempt != "" {
		out.Header.Set(HeaderAttempt, attempt)
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(HeaderDeadline, remainingMillis(x.deadline, time.Now()))
	if host, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out
}

// handleRunError ends a started request that has no response. It returns err only if
// nothing was sent.
func (x *exchange) handleRunError(err error, latency time.Duration) error {
	sample := limit.Sample{Latency: latency}
	switch errkind.Of(err) {
	case errkind.BackendUnavailable:
		sample.Outcome = limit.Unreachable
	case errkind.BackendTimeout:
		sample.Outcome = limit.TimedOut
	case errkind.Canceled:
		sample.Outcome = limit.Canceled
	default:
		sample.Outcome = limit.Reset
	}
	x.gate.engine.post(engineEvent{kind: eventFinish, id: x.id, sample: sample})
	x.admitted = false
	if errkind.Is(err, errkind.BackendUnavailable) {
		return err
	}
	x.fail(err)
	return nil
}

func outcomeOf(status int) limit.Outcome {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return limit.Refused
	case status == http.StatusGatewayTimeout:
		return limit.TimedOut
	case status >= http.StatusInternalServerError:
		return limit.Failed
	default:
		return limit.Succeeded
	}
}

// fail ends a request without a complete response and reports the error to the
// caller.
func (x *exchange) fail(err error) {
	x.mu.Lock()
	failure := x.state.Fail(errkind.Of(err))
	x.mu.Unlock()
	x.reportFailure(failure, err)
}

// reportFailure ends a failed request. If the response has begun, the connection is
// aborted, which is then the only way to report the failure.
func (x *exchange) reportFailure(failure lifecycle.Failure, err error) {
	x.gate.countFailure(failure, x.id)
	x.endPermit(func(p *ledgerrpc.Permit) {
		if failure.Try == errkind.NotExecuted {
			p.Release()
			return
		}
		p.Complete(ledger.Result{Outcome: ledger.OutcomeUnknown})
	})
	if failure.Abort {
		panic(http.ErrAbortHandler)
	}
	x.writeFailure(failure, err)
}

func (x *exchange) writeFailure(failure lifecycle.Failure, err error) {
	header := x.w.Header()
	header.Set(HeaderError, failure.Kind.String())
	header.Set(HeaderRun, failure.Run.String())
	header.Set(HeaderTry, failure.Try.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	properties := failure.Kind.Properties()
	if failure.Try == errkind.NotExecuted && properties.Retryable {
		header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	if x.gate.draining.Load() {
		header.Set("Connection", "close")
	}
	x.w.WriteHeader(properties.HTTPStatus)
	_, _ = x.w.Write([]byte(failure.Run.String() + ": " + err.Error() + "\n"))
}

func (g *Gate) countFailure(failure lifecycle.Failure, id lifecycle.ID) {
	kind := event.RequestUnknown
	switch {
	case failure.Abort && failure.Kind == errkind.Canceled:
		// The caller ended a response that had begun, such as a stream or a download.
		return
	case failure.Abort:
		g.counters.aborted.Add(1)
	case failure.Run == errkind.NotExecuted:
		kind = event.RequestRefused
		g.counters.refused.Add(1)
	default:
		g.counters.unknown.Add(1)
	}
	g.record(kind, id, "", failure.Kind.String())
}

func (g *Gate) record(kind event.Kind, id lifecycle.ID, peer, detail string) {
	g.options.Recorder.Record(event.Event{
		Kind:    kind,
		Service: g.options.Service,
		Server:  g.options.Server,
		Peer:    peer,
		Request: strconv.FormatUint(uint64(id), 10),
		Detail:  detail,
	})
}
