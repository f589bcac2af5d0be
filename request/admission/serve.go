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
	"bergamotbank/request/queue"
)

// origin tells how a request came to the gate. The zero value is a request from a
// caller.
type origin struct {
	hops    int
	claimed bool
}

// exchange is one caller's request on its way through the gate.
type exchange struct {
	gate     *Gate
	w        http.ResponseWriter
	r        *http.Request
	origin   origin
	id       queue.ID
	deadline time.Time
	mu       sync.Mutex // guards state, streams and finished
	state    lifecycle.Request
	finished bool

	// placed tells that the request holds a place, or streams after it had one.
	placed  bool
	streams bool

	// ctx ends the sending and the answer; stopTimer takes its deadline off.
	ctx       context.Context
	stopTimer func() bool

	permit     *ledgerrpc.Permit
	captured   *capture
	callerGone error
}

// ServeHTTP admits, sends and answers one caller's request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.picker.received()
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
	if err == nil && x.avoidFailing() {
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

// prepare checks what can be refused without a place.
func (x *exchange) prepare(now time.Time) error {
	timeout := time.Duration(x.gate.timeout.Load())
	var err error
	x.deadline, err = deadline(x.r.Header, timeout, now)
	if err != nil {
		return err
	}
	if x.gate.draining.Load() {
		return errkind.New(errkind.Draining, "the backend server is leaving")
	}
	if x.gate.counters.open.Load() > x.gate.maxOpen.Load() || x.gate.seen.Load().full {
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

// admit waits for a place. When it returns nil the request has started.
func (x *exchange) admit() error {
	decided := make(chan decision, 1)
	x.state.Queue()
	arrival := engineEvent{kind: eventArrive, id: x.id, deadline: x.deadline, decided: decided, atOnce: x.origin.hops > 0}
	if !x.gate.engine.post(arrival) {
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
	select {
	case d := <-decided:
		if !d.start {
			return errkind.New(d.reason, "request refused before its start")
		}
		x.state.Start()
		x.placed = true
		return nil
	case <-x.r.Context().Done():
		x.gate.engine.post(engineEvent{kind: eventCancel, id: x.id, decided: decided})
		return errkind.Wrap(x.r.Context().Err(), errkind.Canceled, "request given up while it waited")
	case <-x.gate.engine.done:
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
}

// context returns the context of the request with its deadline. A keyed request
// that has begun goes on without its caller, so that a repeat finds its result.
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

// run sends the request to the backend server and passes the answer on. It
// returns an error only when nothing was sent.
func (x *exchange) run() error {
	ctx, stop := x.context()
	defer stop()
	started := time.Now()
	answer, err := x.gate.client.Do(ctx, x.outgoing(), x.send)
	if err != nil {
		return x.runFailed(x.refine(ctx, err), time.Since(started))
	}
	defer answer.Close()
	x.stopTimer()
	sample := limit.Sample{
		Outcome:  outcomeOf(answer.Response.StatusCode),
		Latency:  time.Since(started),
		Instance: answer.Response.Header.Get(HeaderInstance),
	}
	x.pass(answer, sample)
	return nil
}

// send notes that the first byte is about to leave, and tells whether it may: not
// past the deadline, when the ledger no longer holds the key for this try.
func (x *exchange) send() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !time.Now().Before(x.deadline) {
		return false
	}
	return x.state.Send()
}

// refine tells the deadline of the request from a caller that went away.
func (x *exchange) refine(ctx context.Context, err error) error {
	switch {
	case ctx.Err() == nil:
		return err
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return errkind.Wrap(err, errkind.BackendTimeout, "no answer by the deadline")
	default:
		return errkind.Wrap(err, errkind.Canceled, "the caller gave the request up")
	}
}

func (x *exchange) outgoing() *http.Request {
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
	dropOwnHeaders(out.Header)
	if attempt != "" {
		out.Header.Set(HeaderAttempt, attempt)
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(HeaderDeadline, remaining(x.deadline, time.Now()))
	if host, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out
}

// runFailed ends a started request that has no answer.
func (x *exchange) runFailed(err error, latency time.Duration) error {
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
	x.placed = false
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

// fail tells the caller the truth about a request that has no whole answer.
func (x *exchange) fail(err error) {
	x.mu.Lock()
	verdict := x.state.Fail(errkind.Of(err))
	x.mu.Unlock()
	x.conclude(verdict, err)
}

// conclude ends a request with a verdict. After the beginning of an answer only
// an aborted connection tells the truth.
func (x *exchange) conclude(verdict lifecycle.Verdict, err error) {
	x.gate.count(verdict, x.id)
	x.settle(func(p *ledgerrpc.Permit) {
		if verdict.Try == errkind.NotExecuted {
			p.Release()
			return
		}
		p.Complete(ledger.Result{Outcome: ledger.OutcomeUnknown})
	})
	if verdict.Abort {
		panic(http.ErrAbortHandler)
	}
	x.writeVerdict(verdict, err)
}

func (x *exchange) writeVerdict(verdict lifecycle.Verdict, err error) {
	header := x.w.Header()
	header.Set(HeaderError, verdict.Kind.String())
	header.Set(HeaderRun, verdict.Run.String())
	header.Set(HeaderTry, verdict.Try.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	answer := verdict.Kind.Properties()
	if verdict.Try == errkind.NotExecuted && answer.Retryable {
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	if x.gate.draining.Load() {
		header.Set("Connection", "close")
	}
	x.w.WriteHeader(answer.HTTPStatus)
	_, _ = x.w.Write([]byte(verdict.Run.String() + ": " + err.Error() + "\n"))
}

func (g *Gate) count(verdict lifecycle.Verdict, id queue.ID) {
	kind := event.RequestUnknown
	switch {
	case verdict.Abort && verdict.Kind == errkind.Canceled:
		// The caller ended a stream or a download that had begun.
		return
	case verdict.Abort:
		g.counters.cut.Add(1)
	case verdict.Run == errkind.NotExecuted:
		kind = event.RequestRefused
		g.counters.refused.Add(1)
	default:
		g.counters.unknown.Add(1)
	}
	g.record(kind, id, "", verdict.Kind.String())
}

func (g *Gate) record(kind event.Kind, id queue.ID, peer, detail string) {
	g.options.Recorder.Record(event.Event{
		Kind:    kind,
		Service: g.options.Service,
		Server:  g.options.Server,
		Peer:    peer,
		Request: strconv.FormatUint(uint64(id), 10),
		Detail:  detail,
	})
}
