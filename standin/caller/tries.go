package caller

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

// firstAttempt is the number of the first try under a key.
const firstAttempt = 1

// request sends one request, with the repeats that the policy allows. It
// outlives the run, so that the last answers count too.
func (c *class) request(number int, arrival time.Time, drawn draws) {
	r := &requestRun{class: c, drawn: drawn, number: firstAttempt, entry: RequestEntry{
		Class:   c.name,
		Key:     newKey(),
		Keyed:   c.keyed,
		Request: c.prefix + "-" + c.name + "-" + strconv.Itoa(number),
		Arrived: arrival,
	}}
	res := r.send()
	now := time.Now()
	c.recorder.end(res, r.entry.Key, now.Sub(arrival), now)
	r.entry.Server = res.server
	r.entry.Ended = now
	c.requests.add(r.entry)
}

// newKey returns an idempotency key that carries the time of its creation.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// requestRun is a request with its tries so far.
type requestRun struct {
	class *class
	drawn draws
	entry RequestEntry
	// number is the attempt number of the next try. It stays at the first while
	// no earlier try can have run.
	number int
}

// send tries until the policy has no further repeat and returns the last result.
func (r *requestRun) send() result {
	res := r.first()
	for repeat := range r.class.repeats {
		if !r.class.repeat.covers(res.outcome) {
			break
		}
		r.class.recorder.repeat()
		backoff := time.Duration(r.drawn.backoff * float64(firstBackoff<<repeat))
		time.Sleep(max(backoff, res.retryAfter))
		res = r.try(len(r.entry.Outcomes), r.number)
		r.note(res)
	}
	return res
}

// first sends the first try, or two at once.
func (r *requestRun) first() result {
	if !r.drawn.twin {
		res := r.try(0, firstAttempt)
		r.note(res)
		return res
	}
	r.entry.Duplicated = true
	var results [2]result
	var group errgroup.Group
	for i := range results {
		group.Go(func() error {
			results[i] = r.try(i, firstAttempt+i)
			return nil
		})
	}
	_ = group.Wait()
	r.note(results[0])
	r.note(results[1])
	r.number = firstAttempt + len(results)
	if results[0].outcome == OutcomeAnswered {
		return results[0]
	}
	return results[1]
}

// note records the result of a try.
func (r *requestRun) note(res result) {
	r.entry.Outcomes = append(r.entry.Outcomes, res.outcome)
	r.entry.AttemptNotRun = append(r.entry.AttemptNotRun, res.tryNotRun)
	if res.outcome != OutcomeNotRun && res.outcome != OutcomeNotConnected {
		r.number++
	}
}

// try sends the request once.
func (r *requestRun) try(index, attemptNumber int) result {
	c := r.class
	ctx, cancel := context.WithTimeout(context.Background(), c.timeout+answerGrace)
	defer cancel()
	if r.drawn.cancel {
		timer := time.AfterFunc(c.manners.cancelAfter, cancel)
		defer timer.Stop()
	}
	try := attempt{
		method:         c.method,
		url:            c.url,
		body:           c.body,
		request:        r.entry.AttemptID(index),
		deadline:       c.timeout,
		bytesPerSecond: c.manners.bytesPerSecond,
	}
	if c.keyed {
		try.key = r.entry.Key
		try.number = attemptNumber
		try.checkIdentity = true
	}
	return c.client.do(ctx, try)
}
