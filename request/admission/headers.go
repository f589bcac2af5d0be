package admission

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"bergamotbank/errkind"
)

// The headers of requests and answers, as described in docs/CALLERS.md.
const (
	// HeaderRun tells whether a failed request was run.
	HeaderRun = "Bergamot-Run"
	// HeaderError names the error kind of an answer made by the agent.
	HeaderError = "Bergamot-Error"
	// HeaderDeadline carries the time left for a request in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderKey carries the idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderAttempt carries the number of a try under a key, from 1.
	HeaderAttempt = "Bergamot-Attempt"
	// HeaderReplayed marks an answer that was stored for an earlier try.
	HeaderReplayed = "Bergamot-Replayed"
	// HeaderOriginalStatus carries the status of an answer that was not kept.
	HeaderOriginalStatus = "Bergamot-Original-Status"
	// HeaderTry tells whether this try alone was run, when the request failed.
	HeaderTry = "Bergamot-Try"
	// HeaderInstance names the instance of the backend server that answered.
	HeaderInstance = "X-Instance"
)

// The headers between the agents of a service.
const (
	headerPrefix  = "Bergamot-"
	headerURI     = "Bergamot-Handoff-Uri"
	headerHops    = "Bergamot-Handoff-Hops"
	headerClaimed = "Bergamot-Handoff-Claimed"
	headerRoom    = "Bergamot-Room"
	headerTrue    = "true"
)

// runDone is the value of HeaderRun for a request that was run by an earlier try.
const runDone = "run"

// retryAfter is the hint given with a refusal, in seconds.
const retryAfter = 1

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// copyHeader copies the end-to-end headers.
func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append([]string(nil), values...)
	}
	for _, value := range src["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			dst.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		dst.Del(name)
	}
}

// dropOwnHeaders removes the headers that only the agents set.
func dropOwnHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// deadline returns the time by which the answer is wanted: the caller's budget,
// but no more than the timeout of the service. A header that is no positive
// number is an error of the kind Malformed.
func deadline(header http.Header, timeout time.Duration, now time.Time) (time.Time, error) {
	value := header.Get(HeaderDeadline)
	if value == "" {
		return now.Add(timeout), nil
	}
	budget, err := strconv.ParseInt(value, 10, 64)
	if err != nil || budget <= 0 {
		return time.Time{}, errkind.New(errkind.Malformed, "%s: %q is no positive number of milliseconds", HeaderDeadline, value)
	}
	if budget >= timeout.Milliseconds() {
		return now.Add(timeout), nil
	}
	return now.Add(time.Duration(budget) * time.Millisecond), nil
}

// remaining returns the header value for the time left until the deadline.
func remaining(deadline, now time.Time) string {
	return strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 1), 10)
}
