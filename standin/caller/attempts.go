package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// firstAttemptNumber is the attempt number of the first attempt under a key.
const firstAttemptNumber = 1

// sendRequest sends one request, with the retries that the policy allows. It does
// not stop at the end of the run, so that the last responses are counted too.
func (c *class) sendRequest(number int, arrival time.Time, choices randomChoices) {
	r := &pendingRequest{class: c, choices: choices, attemptNumber: firstAttemptNumber, entry: RequestEntry{
		Class:   c.name,
		Key:     newKey(),
		Keyed:   c.keyed,
		Request: c.prefix + "-" + c.name + "-" + strconv.Itoa(number),
		Arrived: arrival,
	}}
	res := r.send()
	now := time.Now()
	c.recorder.recordOutcome(res, r.entry.Key, now.Sub(arrival), now)
	r.entry.Server = res.server
	r.entry.Ended = now
	c.requests.add(r.entry)
}

// newKey returns an idempotency key. It is a UUIDv7, which contains its creation
// time.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// pendingRequest is a request with the attempts made so far.
type pendingRequest struct {
	class   *class
	choices randomChoices
	entry   RequestEntry
	// attemptNumber is the number of the next attempt. Attempts that cannot have run
	// do not increment it, except the two attempts of a duplicated request.
	attemptNumber int
}

// send makes attempts until the retry policy allows no further one and returns the
// last result.
func (r *pendingRequest) send() result {
	res := r.sendFirst()
	for retry := range r.class.maxRetries {
		if !r.class.retryPolicy.retries(res.outcome) {
			break
		}
		r.class.recorder.recordRetry()
		backoff := time.Duration(r.choices.backoff * float64(initialBackoff<<retry))
		time.Sleep(max(backoff, res.retryAfter))
		res = r.sendAttempt(len(r.entry.Outcomes), r.attemptNumber)
		r.recordResult(res)
	}
	return res
}

// sendFirst sends the first attempt, or two concurrent ones if the request is
// duplicated.
func (r *pendingRequest) sendFirst() result {
	if !r.choices.duplicate {
		res := r.sendAttempt(0, firstAttemptNumber)
		r.recordResult(res)
		return res
	}
	r.entry.Duplicated = true
	var results [2]result
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			results[i] = r.sendAttempt(i, firstAttemptNumber+i)
			return nil
		})
	}
	_ = group.Wait()
	r.recordResult(results[0])
	r.recordResult(results[1])
	r.attemptNumber = firstAttemptNumber + len(results)
	if results[0].outcome == OutcomeAnswered {
		return results[0]
	}
	return results[1]
}

// recordResult records the result of an attempt.
func (r *pendingRequest) recordResult(res result) {
	r.entry.Outcomes = append(r.entry.Outcomes, res.outcome)
	r.entry.AttemptNotRun = append(r.entry.AttemptNotRun, res.attemptNotRun)
	if res.outcome != OutcomeNotRun && res.outcome != OutcomeNotConnected {
		r.attemptNumber++
	}
}

// sendAttempt sends the request once.
func (r *pendingRequest) sendAttempt(index, attemptNumber int) result {
	c := r.class
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+responseGrace)
	defer cancel()
	if r.choices.cancel {
		timer := time.AfterFunc(c.behavior.cancelAfter, cancel)
		defer timer.Stop()
	}
	a := attempt{
		method:         c.method,
		url:            c.url,
		body:           c.body,
		request:        r.entry.AttemptID(index),
		deadline:       c.timeout,
		bytesPerSecond: c.behavior.bytesPerSecond,
	}
	if c.keyed {
		a.key = r.entry.Key
		a.number = attemptNumber
		a.checkIdentity = true
	}
	return c.client.do(ctx, a)
}
