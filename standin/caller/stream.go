package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"bergamotbank/standin/fault"
)

const (
	// reopenDelay is the delay before a caller opens a new stream or flow.
	reopenDelay = 500 * time.Millisecond
	// minIdleIntervals is the minimum idle timeout, in intervals between lines.
	minIdleIntervals = 10
)

// statusLine is the part of a line that the caller checks.
type statusLine struct {
	Sequence uint64 `json:"sequence"`
	Server   string `json:"server"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// streamClient keeps one status stream open and checks its lines.
type streamClient struct {
	url      string
	interval time.Duration
	// idleTimeout is the time without a line after which the stream is closed.
	idleTimeout time.Duration
	client      *client
	recorder    *recorder
	name        string
}

// run keeps a stream open until ctx is canceled and opens a new one after a
// failure.
func (s *streamClient) run(ctx context.Context) {
	for {
		started := time.Now()
		res, first := s.readStream(ctx)
		now := time.Now()
		if first.IsZero() {
			first = now
		}
		s.recorder.recordOutcome(res, s.name, first.Sub(started), now)
		if !fault.Sleep(ctx, reopenDelay) {
			return
		}
	}
}

// readStream reads one stream. The outcome is OutcomeAnswered if the stream had no
// fault until ctx was canceled. It also returns the time of the first line, which
// is zero if there was none.
func (s *streamClient) readStream(ctx context.Context) (res result, first time.Time) {
	idleTimeout := max(s.idleTimeout, minIdleIntervals*s.interval)
	reading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(idleTimeout+responseGrace, func() { cancel(errIdleTimeout) })
	defer watchdog.Stop()
	response, res := s.open(reading, idleTimeout)
	if response == nil {
		return s.resolveOutcome(ctx, reading, res), first
	}
	defer func() { _ = response.Body.Close() }()
	checker := lineChecker{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		now := time.Now()
		watchdog.Reset(idleTimeout)
		s.recorder.recordLine(now)
		if first.IsZero() {
			first = now
		}
		if res := checker.check(scanner.Bytes()); res.outcome != OutcomeAnswered {
			return res, first
		}
	}
	res = result{outcome: OutcomeBroken, server: checker.last.Server, detail: "stream ended"}
	if err := scanner.Err(); err != nil {
		res.detail = err.Error()
	}
	return s.resolveOutcome(ctx, reading, res), first
}

// errIdleTimeout is the cancellation cause of a stream that received no line within
// the idle timeout.
var errIdleTimeout = errors.New("no line within the idle timeout")

// resolveOutcome replaces the outcome of a stream that ended with the run or by the
// idle timeout.
func (s *streamClient) resolveOutcome(ctx, reading context.Context, res result) result {
	switch {
	case ctx.Err() != nil:
		return result{outcome: OutcomeAnswered, server: res.server}
	case errors.Is(context.Cause(reading), errIdleTimeout):
		res.outcome = OutcomeTimeout
		res.detail = errIdleTimeout.Error()
	}
	return res
}

// open sends the request with the given deadline for the response header. The
// response is nil if no stream was opened.
func (s *streamClient) open(ctx context.Context, deadline time.Duration) (*http.Response, result) {
	connected := false
	a := attempt{method: http.MethodGet, url: s.url, deadline: deadline}
	request, err := newTracedRequest(ctx, a, &connected)
	if err != nil {
		return nil, result{outcome: OutcomeRejected, detail: err.Error()}
	}
	response, err := s.client.http.Do(request)
	if err != nil {
		return nil, result{outcome: transportErrorOutcome(err, connected), detail: err.Error()}
	}
	res := s.client.checkHeader(response)
	if res.outcome != OutcomeAnswered {
		_ = response.Body.Close()
		return nil, res
	}
	return response, res
}

// lineChecker checks that the sequence numbers of lines are consecutive and that
// all lines come from one server.
type lineChecker struct {
	last statusLine
}

func (c *lineChecker) check(text []byte) result {
	var line statusLine
	if err := json.Unmarshal(text, &line); err != nil {
		return result{outcome: OutcomeCorrupted, server: c.last.Server, detail: err.Error()}
	}
	previous := c.last
	c.last = line
	switch {
	case line.Sequence != previous.Sequence+1:
		return result{outcome: OutcomeGap, server: line.Server, detail: "line out of sequence"}
	case previous.Sequence == 0:
	case line.Service != previous.Service:
		return result{outcome: OutcomeWrongService, server: line.Server, detail: "service changed to " + line.Service}
	case line.Server != previous.Server || line.Instance != previous.Instance:
		return result{outcome: OutcomeGap, server: line.Server, detail: "server changed from " + previous.Server}
	}
	return result{outcome: OutcomeAnswered, server: line.Server}
}
