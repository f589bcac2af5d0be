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
	// reopenAfter is how long a caller waits before it opens a stream again.
	reopenAfter = 500 * time.Millisecond
	// silentIntervals is the least number of missing lines that count as silence.
	silentIntervals = 10
)

// statusLine is the part of a line that the caller checks.
type statusLine struct {
	Sequence uint64 `json:"sequence"`
	Server   string `json:"server"`
	Service  string `json:"service"`
	Instance string `json:"instance"`
}

// streamer holds one status stream open and checks its lines.
type streamer struct {
	url      string
	interval time.Duration
	// silence is the time without a line after which the stream is given up.
	silence  time.Duration
	client   *client
	recorder *recorder
	name     string
}

// run keeps a stream open until ctx ends and opens a new one after a failure.
func (s *streamer) run(ctx context.Context) {
	for {
		began := time.Now()
		res, first := s.stream(ctx)
		now := time.Now()
		if first.IsZero() {
			first = now
		}
		s.recorder.end(res, s.name, first.Sub(began), now)
		if !fault.Sleep(ctx, reopenAfter) {
			return
		}
	}
}

// stream reads one stream. It is answered when it was whole until ctx ended. It
// also returns when the first line came.
func (s *streamer) stream(ctx context.Context) (res result, first time.Time) {
	silence := max(s.silence, silentIntervals*s.interval)
	reading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(silence+answerGrace, func() { cancel(errSilent) })
	defer watchdog.Stop()
	response, res := s.open(reading, silence)
	if response == nil {
		return s.orEnd(ctx, reading, res), first
	}
	defer func() { _ = response.Body.Close() }()
	check := lineCheck{}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		now := time.Now()
		watchdog.Reset(silence)
		s.recorder.line(now)
		if first.IsZero() {
			first = now
		}
		if res := check.next(scanner.Bytes()); res.outcome != OutcomeAnswered {
			return res, first
		}
	}
	res = result{outcome: OutcomeBroken, server: check.last.Server, detail: "stream ended"}
	if err := scanner.Err(); err != nil {
		res.detail = err.Error()
	}
	return s.orEnd(ctx, reading, res), first
}

// errSilent is the cause of a stream given up because no line came.
var errSilent = errors.New("stream is silent")

// orEnd replaces the outcome of a stream that ended with the run or by silence.
func (s *streamer) orEnd(ctx, reading context.Context, res result) result {
	switch {
	case ctx.Err() != nil:
		return result{outcome: OutcomeAnswered, server: res.server}
	case errors.Is(context.Cause(reading), errSilent):
		res.outcome = OutcomeTimeout
		res.detail = errSilent.Error()
	}
	return res
}

// open sends the request, which names a deadline for the header of the answer. The
// response is nil when there is no stream.
func (s *streamer) open(ctx context.Context, deadline time.Duration) (*http.Response, result) {
	connected := false
	try := attempt{method: http.MethodGet, url: s.url, deadline: deadline}
	request, err := newTracedRequest(ctx, try, &connected)
	if err != nil {
		return nil, result{outcome: OutcomeRejected, detail: err.Error()}
	}
	response, err := s.client.http.Do(request)
	if err != nil {
		return nil, result{outcome: failure(err, connected), detail: err.Error()}
	}
	res := s.client.judgeHeader(response)
	if res.outcome != OutcomeAnswered {
		_ = response.Body.Close()
		return nil, res
	}
	return response, res
}

// lineCheck checks that lines are gapless and come from one server.
type lineCheck struct {
	last statusLine
}

func (c *lineCheck) next(text []byte) result {
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
