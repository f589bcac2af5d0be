package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

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

// Repeat says which requests a caller repeats.
type Repeat string

// The policies for repeats.
const (
	// RepeatNever sends each request once.
	RepeatNever Repeat = "never"
	// RepeatNotRun repeats what was refused with the promise "not run" and what
	// found no connection.
	RepeatNotRun Repeat = "not-run"
	// RepeatUnknown repeats, under the same key, also what may have run.
	RepeatUnknown Repeat = "unknown"
)

// UnmarshalText reads the name of a policy.
func (r *Repeat) UnmarshalText(text []byte) error {
	switch policy := Repeat(text); policy {
	case RepeatNever, RepeatNotRun, RepeatUnknown:
		*r = policy
		return nil
	default:
		return errkind.New(errkind.Usage, "repeat %q is not never, not-run or unknown", text)
	}
}

// covers tells whether the policy repeats after an outcome.
func (r Repeat) covers(outcome Outcome) bool {
	switch outcome {
	case OutcomeNotRun, OutcomeNotConnected:
		return r != RepeatNever
	case OutcomeUnknown, OutcomeBroken, OutcomeTimeout:
		return r == RepeatUnknown
	default:
		return false
	}
}

// firstAttempt is the number of the first try under a key.
const firstAttempt = 1

// class is a kind of requests that arrive at random times at a fixed mean rate,
// however slow the answers are.
type class struct {
	name      string
	method    string
	url       string
	body      []byte
	perSecond float64
	keyed     bool
	repeat    Repeat
	repeats   int
	timeout   time.Duration
	prefix    string
	client    *client
	recorder  *recorder
	requests  *requestLog
	inFlight  chan struct{}
	random    *rand.Rand
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
	backoff := c.random.Float64() + 0.5
	group.Go(func() {
		defer func() { <-c.inFlight }()
		c.request(number, arrival, backoff)
	})
}

// request sends one request, with the repeats that the policy allows. It
// outlives the run, so that the last answers count too.
func (c *class) request(number int, arrival time.Time, backoff float64) {
	id := c.prefix + "-" + c.name + "-" + strconv.Itoa(number)
	key := newKey()
	attemptNumber := firstAttempt
	entry := RequestEntry{Class: c.name, Key: key, Keyed: c.keyed, Request: id, Arrived: arrival}
	var res result
	for n := 0; ; n++ {
		res = c.try(entry.Try(n), key, attemptNumber)
		if res.outcome != OutcomeNotRun && res.outcome != OutcomeNotConnected {
			attemptNumber++
		}
		entry.Outcomes = append(entry.Outcomes, res.outcome)
		if n >= c.repeats || !c.repeat.covers(res.outcome) {
			break
		}
		c.recorder.repeat()
		time.Sleep(time.Duration(backoff * float64(firstBackoff<<n)))
	}
	now := time.Now()
	c.recorder.end(res, key, now.Sub(arrival), now)
	entry.Server = res.server
	entry.Ended = now
	c.requests.add(entry)
}

// newKey returns an idempotency key that carries the time of its creation.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// try sends the request once. The attempt number stays at the first while no
// earlier try can have run.
func (c *class) try(id, key string, attemptNumber int) result {
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+answerGrace)
	defer cancel()
	try := attempt{method: c.method, url: c.url, body: c.body, request: id, deadline: c.timeout}
	if c.keyed {
		try.key = key
		try.number = attemptNumber
		try.checkIdentity = true
	}
	return c.client.do(ctx, try)
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
