package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/standin/fault"
)

const (
	// initialBackoff is the mean delay before the first retry. It doubles with each
	// further retry.
	initialBackoff = 200 * time.Millisecond
	// responseGrace is how long the caller waits for a response beyond the deadline
	// that it sent in the request.
	responseGrace = 2 * time.Second
)

// RetryPolicy determines which requests a caller retries.
type RetryPolicy string

// The retry policies.
const (
	// RetryNever sends each request once.
	RetryNever RetryPolicy = "never"
	// RetryNotRun retries requests refused with the guarantee that they did not
	// run, and requests for which no connection was established.
	RetryNotRun RetryPolicy = "not-run"
	// RetryUnknown also retries, under the same key, requests that may have run.
	RetryUnknown RetryPolicy = "unknown"
)

// UnmarshalText parses the name of a policy.
func (r *RetryPolicy) UnmarshalText(text []byte) error {
	switch policy := RetryPolicy(text); policy {
	case RetryNever, RetryNotRun, RetryUnknown:
		*r = policy
		return nil
	default:
		return errkind.New(errkind.Usage, "retry policy %q is not never, not-run or unknown", text)
	}
}

// retries reports whether the policy retries a request with the given outcome.
func (r RetryPolicy) retries(outcome Outcome) bool {
	switch outcome {
	case OutcomeNotRun, OutcomeNotConnected:
		return r != RetryNever
	case OutcomeUnknown, OutcomeBroken, OutcomeTimeout:
		return r == RetryUnknown
	default:
		return false
	}
}

// class is a class of requests that arrive at random times at a fixed mean rate,
// regardless of how long responses take.
type class struct {
	name        string
	method      string
	url         string
	body        []byte
	perSecond   float64
	keyed       bool
	retryPolicy RetryPolicy
	maxRetries  int
	timeout     time.Duration
	prefix      string
	client      *client
	recorder    *recorder
	requests    *requestLog
	inFlight    chan struct{}
	random      *rand.Rand
	behavior    behavior
}

// behavior describes how callers deviate from sending a request once and reading
// the response at full speed. Shares are in the range 0 to 1.
type behavior struct {
	// cancelShare is the share of requests whose attempts are canceled after
	// cancelAfter.
	cancelShare float64
	cancelAfter time.Duration
	// duplicateShare is the share of requests that are sent twice concurrently.
	duplicateShare float64
	// bytesPerSecond is the rate at which a response is read; 0 means no limit.
	bytesPerSecond int
}

// randomChoices holds the random values drawn for one request when it arrives.
type randomChoices struct {
	// backoff is the jitter factor applied to the delay before a retry.
	backoff   float64
	cancel    bool
	duplicate bool
}

func (c *class) drawChoices() randomChoices {
	return randomChoices{
		backoff:   c.random.Float64() + 0.5,
		cancel:    c.random.Float64() < c.behavior.cancelShare,
		duplicate: c.random.Float64() < c.behavior.duplicateShare,
	}
}

// run sends requests until ctx is canceled and then waits for their responses.
func (c *class) run(ctx context.Context) {
	var group sync.WaitGroup
	arrival := time.Now()
	for number := 0; ; number++ {
		arrival = arrival.Add(time.Duration(c.random.ExpFloat64() / c.perSecond * float64(time.Second)))
		if !fault.Sleep(ctx, time.Until(arrival)) {
			break
		}
		c.startRequest(&group, number, arrival)
	}
	group.Wait()
}

func (c *class) startRequest(group *sync.WaitGroup, number int, arrival time.Time) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.recorder.recordOutcome(result{outcome: OutcomeOverrun}, "", 0, time.Now())
		return
	}
	choices := c.drawChoices()
	group.Go(func() {
		defer func() { <-c.inFlight }()
		c.sendRequest(number, arrival, choices)
	})
}

// newTransport returns a transport that does not retry requests by itself and,
// unless keepAlive is set, opens a new flow for each request.
func newTransport(dial dialFunc, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleFlows,
	}
}
