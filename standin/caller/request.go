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

// Headers of requests and responses.
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
	notRun         = "not-run"
)

// maxRetryAfter is the upper limit for the delay from a Retry-After header.
const maxRetryAfter = 10 * time.Second

// attempt is one attempt of a request.
type attempt struct {
	method  string
	url     string
	body    []byte
	key     string
	request string
	// number is the attempt number under the key; 0 means that none is sent.
	number int
	// deadline is the time allowed for the response, as sent in the request; 0 means
	// none.
	deadline time.Duration
	// bytesPerSecond is the rate at which the response is read; 0 means no limit.
	bytesPerSecond int
	// checkIdentity is true if the body of the response must carry the key of the
	// request.
	checkIdentity bool
}

// result is the result of one attempt.
type result struct {
	outcome Outcome
	server  string
	detail  string
	bytes   int64
	// attemptNotRun is true if the response guarantees that this attempt did not
	// run.
	attemptNotRun bool
	// retryAfter is the delay from the Retry-After header.
	retryAfter time.Duration
}

// identity is the part of a response body that identifies the request.
type identity struct {
	Request string `json:"request"`
	Key     string `json:"key"`
}

// client sends requests and checks the responses.
type client struct {
	http     *http.Client
	services *serviceTable
}

// do sends one attempt and checks the response.
func (c *client) do(ctx context.Context, a attempt) result {
	connected := false
	request, err := newTracedRequest(ctx, a, &connected)
	if err != nil {
		return result{outcome: OutcomeRejected, detail: err.Error()}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return result{outcome: transportErrorOutcome(err, connected), detail: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	return c.checkResponse(response, a)
}

// newTracedRequest returns the HTTP request of an attempt. It sets connected when
// the request gets a connection. GetBody is nil, so that the transport cannot
// retry the request by itself.
func newTracedRequest(ctx context.Context, a attempt, connected *bool) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, a.method, a.url, bytes.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	setIfGiven(request, headerKey, a.key)
	if a.number > 0 {
		request.Header.Set(headerAttempt, strconv.Itoa(a.number))
	}
	setIfGiven(request, headerRequest, a.request)
	setDeadline(request, a.deadline)
	return request, nil
}

func setDeadline(request *http.Request, deadline time.Duration) {
	if deadline > 0 {
		request.Header.Set(headerDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
}

// transportErrorOutcome returns the outcome of a flow that ended with an error.
func transportErrorOutcome(err error, connected bool) Outcome {
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

// checkHeader checks the status and the header of a response.
func (c *client) checkHeader(response *http.Response) result {
	res := result{server: response.Header.Get(headerServer)}
	service := response.Header.Get(headerService)
	switch {
	case !c.services.check(response.Request.URL.Host, service):
		res.outcome = OutcomeWrongService
		res.detail = "service " + service
	case response.StatusCode >= http.StatusBadRequest:
		res.outcome = errorStatusOutcome(response)
		res.detail = response.Status + " " + response.Header.Get(headerError)
		res.attemptNotRun = response.Header.Get(headerTry) == notRun
		res.retryAfter = retryAfter(response)
	}
	return res
}

// checkResponse reads and checks the complete response.
func (c *client) checkResponse(response *http.Response, a attempt) result {
	res := c.checkHeader(response)
	if res.outcome != OutcomeAnswered {
		return res
	}
	digest := xxhash.New()
	var text bytes.Buffer
	writer := io.Writer(digest)
	if a.checkIdentity {
		writer = io.MultiWriter(digest, &text)
	}
	n, err := io.Copy(writer, throttle(response.Request.Context(), response.Body, a.bytesPerSecond))
	res.bytes = n
	if err != nil {
		res.outcome = transportErrorOutcome(err, true)
		res.detail = err.Error()
		return res
	}
	res.outcome, res.detail = verifyChecksum(response, digest.Sum64())
	if res.outcome == OutcomeAnswered && a.checkIdentity {
		res.outcome, res.detail = checkIdentity(text.Bytes(), a)
	}
	return res
}

// retryAfter returns the delay from the Retry-After header, or 0 if there is none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get(headerRetry))
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds)*time.Second, maxRetryAfter)
}

// errorStatusOutcome returns the outcome of a 4xx or 5xx response.
func errorStatusOutcome(response *http.Response) Outcome {
	execution := response.Header.Get(headerRun)
	switch {
	case execution == notRun:
		return OutcomeNotRun
	case execution != "" || response.StatusCode >= http.StatusInternalServerError:
		return OutcomeUnknown
	default:
		return OutcomeRejected
	}
}

// verifyChecksum compares the checksum that the server sent, in a header or a
// trailer, with that of the body.
func verifyChecksum(response *http.Response, sum uint64) (Outcome, string) {
	want := response.Header.Get(headerChecksum)
	if want == "" {
		want = response.Trailer.Get(headerChecksum)
	}
	got := strconv.FormatUint(sum, 16)
	if want != got {
		return OutcomeCorrupted, "checksum of the body is " + got + ", server sent " + want
	}
	return OutcomeAnswered, ""
}

func checkIdentity(body []byte, a attempt) (Outcome, string) {
	var id identity
	if err := json.Unmarshal(body, &id); err != nil {
		return OutcomeCorrupted, err.Error()
	}
	if id.Key != a.key {
		return OutcomeMismatched, "response to key " + id.Key
	}
	return OutcomeAnswered, ""
}
