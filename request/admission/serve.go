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
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
	"bergamotbank/request/queue"
)

// exchange is one caller's request on its way through the gate.
type exchange struct {
	gate     *Gate
	w        http.ResponseWriter
	r        *http.Request
	id       queue.ID
	deadline time.Time
	mu       sync.Mutex // guards state
	state    lifecycle.Request
	streams  bool
	header   time.Time
}

// ServeHTTP admits, sends and answers one caller's request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.counters.open.Add(1)
	defer g.counters.open.Add(-1)
	x := &exchange{gate: g, w: w, r: r, id: g.nextID()}
	if err := x.prepare(time.Now()); err != nil {
		x.fail(err)
		return
	}
	if err := x.admit(); err != nil {
		x.fail(err)
		return
	}
	x.run()
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
	arrival := engineEvent{kind: eventArrive, id: x.id, deadline: x.deadline, decided: decided}
	if !x.gate.engine.post(arrival) {
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
	select {
	case d := <-decided:
		if !d.start {
			return errkind.New(d.reason, "request refused before its start")
		}
		x.state.Start()
		return nil
	case <-x.r.Context().Done():
		x.gate.engine.post(engineEvent{kind: eventCancel, id: x.id, decided: decided})
		return errkind.Wrap(x.r.Context().Err(), errkind.Canceled, "request given up while it waited")
	case <-x.gate.engine.done:
		return errkind.New(errkind.Draining, "the agent has stopped")
	}
}

// run sends the request to the backend server and passes the answer on.
func (x *exchange) run() {
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(x.deadline), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	started := time.Now()
	answer, err := x.gate.client.Do(ctx, x.outgoing(), x.send)
	if err != nil {
		x.finishFailed(x.refine(ctx, err), time.Since(started))
		return
	}
	defer answer.Close()
	timer.Stop()
	x.header = time.Now()
	sample := limit.Sample{
		Outcome:  outcomeOf(answer.Response.StatusCode),
		Latency:  x.header.Sub(started),
		Instance: answer.Response.Header.Get(HeaderInstance),
	}
	x.pass(answer, sample)
}

// send notes that the first byte is about to leave, and tells whether it may.
func (x *exchange) send() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
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
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = []string{""}
	}
	out.Header.Set(HeaderDeadline, remaining(x.deadline, time.Now()))
	if host, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil {
		out.Header.Add("X-Forwarded-For", host)
	}
	return out
}

// finishFailed ends a started request that has no answer.
func (x *exchange) finishFailed(err error, latency time.Duration) {
	sample := limit.Sample{Latency: latency}
	switch errkind.Of(err) {
	case errkind.BackendUnavailable:
		sample.Outcome = limit.Unreachable
	case errkind.BackendTimeout:
		sample.Outcome = limit.TimedOut
	case errkind.Canceled:
		sample.Outcome = limit.Abandoned
	default:
		sample.Outcome = limit.Reset
	}
	x.gate.engine.post(engineEvent{kind: eventFinish, id: x.id, sample: sample})
	x.fail(err)
}

func outcomeOf(status int) limit.Outcome {
	switch {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		return limit.Refused
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
	x.gate.count(verdict, x.id)
	if verdict.Abort {
		panic(http.ErrAbortHandler)
	}
	header := x.w.Header()
	header.Set(HeaderError, verdict.Kind.String())
	header.Set(HeaderRun, verdict.Run.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	answer := verdict.Kind.Answer()
	if verdict.Run == errkind.RunNone && answer.Retryable {
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
	case verdict.Abort:
		g.counters.cut.Add(1)
	case verdict.Run == errkind.RunNone:
		kind = event.RequestRefused
		g.counters.refused.Add(1)
	default:
		g.counters.unknown.Add(1)
	}
	g.options.Recorder.Record(event.Event{
		Kind:    kind,
		Service: g.options.Service,
		Server:  g.options.Server,
		Request: strconv.FormatUint(uint64(id), 10),
		Detail:  verdict.Kind.String(),
	})
}
