package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers of requests and answers.
const (
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Bergamot-Attempt"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerServer   = "X-Server"
	headerService  = "X-Service"
	headerChecksum = "X-Checksum"
	headerRun      = "Bergamot-Run"
	headerError    = "Bergamot-Error"
	headerTry      = "Bergamot-Try"
	headerRetry    = "Retry-After"
	runNot         = "not-run"
)

// maxRetryAfter bounds the wait that an answer can ask for.
const maxRetryAfter = 10 * time.Second

// attempt is one try of a request.
type attempt struct {
	method  string
	url     string
	body    []byte
	key     string
	request string
	// number is the number of the try under its key; 0 for none.
	number int
	// deadline is the time that the request names for its answer; 0 for none.
	deadline time.Duration
	// bytesPerSecond is the rate at which the answer is read; 0 is no limit.
	bytesPerSecond int
	// checkIdentity asks that the answer names key and request.
	checkIdentity bool
}

// result is how one try ended.
type result struct {
	outcome Outcome
	server  string
	detail  string
	bytes   int64
	// tryNotRun tells that the answer promises that this try did not run.
	tryNotRun bool
	// retryAfter is the wait that the answer asks for.
	retryAfter time.Duration
}

// identity is the part of an order's answer that names the request.
type identity struct {
	Request string `json:"request"`
	Key     string `json:"key"`
}

// client sends requests and judges the answers.
type client struct {
	http     *http.Client
	services *serviceTable
}

// do sends one try and judges its answer.
func (c *client) do(ctx context.Context, try attempt) result {
	connected := false
	request, err := newTracedRequest(ctx, try, &connected)
	if err != nil {
		return result{outcome: OutcomeRejected, detail: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result{outcome: failure(err, connected), detail: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return c.judge(response, try)
}

// newTracedRequest returns the HTTP request of a try. It sets connected when
// there is a flow for it. The transport cannot repeat it by itself.
func newTracedRequest(ctx context.Context, try attempt, connected *bool) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, try.method, try.url, bytes.NewReader(try.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	setIfGiven(request, headerKey, try.key)
	if try.number > 0 {
		request.Header.Set(headerAttempt, strconv.Itoa(try.number))
	}
	setIfGiven(request, headerRequest, try.request)
	setDeadline(request, try.deadline)
	return request, nil
}

func setDeadline(request *http.Request, deadline time.Duration) {
	if deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
}

// failure returns the outcome of a flow that ended with an error.
func failure(err error, connected bool) Outcome {
	var netErr net.Error
	switch {
	case !connected:
		return OutcomeNotConnected
	case errors.Is(err, context.Canceled):
		return OutcomeCanceled
	case errors.Is(err, context.DeadlineExceeded):
		return OutcomeTimeout
	case errors.As(err, &netErr) && netErr.Timeout():
		return OutcomeTimeout
	default:
		return OutcomeBroken
	}
}

// judgeHeader checks the header of an answer.
func (c *client) judgeHeader(response *http.Response) result {
	res := result{server: response.Header.Get(headerServer)}
	service := response.Header.Get(headerService)
	switch {
	case !c.services.check(response.Request.URL.Host, service):
		res.outcome = OutcomeWrongService
		res.detail = "service " + service
	case response.StatusCode >= http.StatusBadRequest:
		res.outcome = refusal(response)
		res.detail = response.Status + " " + response.Header.Get(headerError)
		res.tryNotRun = response.Header.Get(headerTry) == runNot
		res.retryAfter = retryAfter(response)
	}
	return res
}

// judge reads the whole answer and checks it.
func (c *client) judge(response *http.Response, try attempt) result {
	res := c.judgeHeader(response)
	if res.outcome != OutcomeAnswered {
		return res
	}
	digest := xxhash.New()
	var text bytes.Buffer
	writer := io.Writer(digest)
	if try.checkIdentity {
		writer = io.MultiWriter(digest, &text)
	}
	n, err := io.Copy(writer, paced(response.Request.Context(), response.Body, try.bytesPerSecond))
	res.bytes = n
	if err != nil {
		res.outcome = failure(err, true)
		res.detail = err.Error()
		return res
	}
	res.outcome, res.detail = checkWhole(response, digest.Sum64())
	if res.outcome == OutcomeAnswered && try.checkIdentity {
		res.outcome, res.detail = checkIdentity(text.Bytes(), try)
	}
	return res
}

// retryAfter returns the wait that an answer asks for, 0 if none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get(headerRetry))
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// refusal returns the outcome of an answer 4xx or 5xx.
func refusal(response *http.Response) Outcome {
	run := response.Header.Get(headerRun)
	switch {
	case run == runNot:
		return OutcomeNotRun
	case run != "" || response.StatusCode >= http.StatusInternalServerError:
		return OutcomeUnknown
	default:
		return OutcomeRejected
	}
}

// checkWhole compares the checksum that the server gave, as a header or a
// trailer, with that of the body.
func checkWhole(response *http.Response, sum uint64) (Outcome, string) {
	want := response.Header.Get(headerChecksum)
	if want == "" {
		want = response.Trailer.Get(headerChecksum)
	}
	got := strconv.FormatUint(sum, 16)
	if want != got {
		return OutcomeCorrupted, "checksum " + got + ", server says " + want
	}
	return OutcomeAnswered, ""
}

func checkIdentity(body []byte, try attempt) (Outcome, string) {
	var id identity
	if err := json.Unmarshal(body, &id); err != nil {
		return OutcomeCorrupted, err.Error()
	}
	if id.Key != try.key {
		return OutcomeMismatched, "answer to key " + id.Key
	}
	return OutcomeAnswered, ""
}
