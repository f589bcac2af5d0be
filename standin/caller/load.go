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
	// firstBackoff is the mean wait before the first repeat; it doubles.
	firstBackoff = 200 * time.Millisecond
	// answerGrace is how long the caller waits for an answer past the deadline
	// that it named in the request.
	answerGrace = 2 * time.Second
)

// RetryPolicy says which requests a caller repeats.
type RetryPolicy string

// The policies for repeats.
const (
	// RetryNever sends each request once.
	RetryNever RetryPolicy = "never"
	// RetryNotRun repeats what was refused with the promise "not run" and what
	// found no connection.
	RetryNotRun RetryPolicy = "not-run"
	// RetryUnknown repeats, under the same key, also what may have run.
	RetryUnknown RetryPolicy = "unknown"
)

// UnmarshalText reads the name of a policy.
func (r *RetryPolicy) UnmarshalText(text []byte) error {
	switch policy := RetryPolicy(text); policy {
	case RetryNever, RetryNotRun, RetryUnknown:
		*r = policy
		return nil
	default:
		return errkind.New(errkind.Usage, "repeat %q is not never, not-run or unknown", text)
	}
}

// covers tells whether the policy repeats after an outcome.
func (r RetryPolicy) covers(outcome Outcome) bool {
	switch outcome {
	case OutcomeNotRun, OutcomeNotConnected:
		return r != RetryNever
	case OutcomeUnknown, OutcomeBroken, OutcomeTimeout:
		return r == RetryUnknown
	default:
		return false
	}
}

// class is a kind of requests that arrive at random times at a fixed mean rate,
// however slow the answers are.
type class struct {
	name      string
	method    string
	url       string
	body      []byte
	perSecond float64
	keyed     bool
	repeat    RetryPolicy
	repeats   int
	timeout   time.Duration
	prefix    string
	client    *client
	recorder  *recorder
	requests  *requestLog
	inFlight  chan struct{}
	random    *rand.Rand
	manners   manners
}

// manners says what callers do besides waiting for answers. Shares are from 0 to 1.
type manners struct {
	// cancelShare is the share of tries given up after cancelAfter.
	cancelShare float64
	cancelAfter time.Duration
	// twinShare is the share of requests of which two tries are sent at once.
	twinShare float64
	// bytesPerSecond is the rate at which an answer is read; 0 is no limit.
	bytesPerSecond int
}

// draws holds what is drawn for one request when it arrives.
type draws struct {
	// backoff is the factor of waits before repeats.
	backoff float64
	cancel  bool
	twin    bool
}

func (c *class) draw() draws {
	return draws{
		backoff: c.random.Float64() + 0.5,
		cancel:  c.random.Float64() < c.manners.cancelShare,
		twin:    c.random.Float64() < c.manners.twinShare,
	}
}

// run sends requests until ctx ends and then waits for their answers.
func (c *class) run(ctx context.Context) {
	var group sync.WaitGroup
	arrival := time.Now()
	for number := 0; ; number++ {
		arrival = arrival.Add(time.Duration(c.random.ExpFloat64() / c.perSecond * float64(time.Second)))
		if !fault.Sleep(ctx, time.Until(arrival)) {
			break
		}
		c.start(&group, number, arrival)
	}
	group.Wait()
}

func (c *class) start(group *sync.WaitGroup, number int, arrival time.Time) {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.recorder.end(result{outcome: OutcomeOverrun}, "", 0, time.Now())
		return
	}
	drawn := c.draw()
	group.Go(func() {
		defer func() { <-c.inFlight }()
		c.request(number, arrival, drawn)
	})
}

// newTransport returns a transport that never repeats a request by itself and,
// unless keepAlive is set, uses a new flow for each request.
func newTransport(dial dialer, keepAlive bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   !keepAlive,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleFlows,
	}
}
