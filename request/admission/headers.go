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
	// HeaderInstance names the instance of the backend server that answered.
	HeaderInstance = "X-Instance"
)

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
