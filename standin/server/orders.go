package server

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/standin/fault"
)

// Headers of requests and answers.
const (
	headerKey      = "Idempotency-Key"
	headerRequest  = "X-Request-Id"
	headerDeadline = "X-Deadline-Ms"
	headerServer   = "X-Server"
	headerService  = "X-Service"
	headerInstance = "X-Instance"
	headerChecksum = "X-Checksum"
)

const (
	// maxBodyBytes bounds the body of an order.
	maxBodyBytes = 1 << 20
	// workSpread is the largest deviation of a work time, as a share of it.
	workSpread = 0.5
)

// Response is the body of the answer to an order or a release. It names the
// request, so that the caller can tell that the answer is its own.
type Response struct {
	Request      string `json:"request"`
	Key          string `json:"key"`
	Server       string `json:"server"`
	Service      string `json:"service"`
	Execution    uint64 `json:"execution"`
	BodyChecksum string `json:"body_checksum"`
}

// run handles a request that is not idempotent.
func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	faults := b.faults.Get()
	if b.refuse(w, faults) || b.resetEarly(w, r, faults) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body is too large or cut", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r, arrived)
	defer cancel()
	t, verdict := b.slots.enter(ctx)
	if verdict != admitRun {
		b.answerRefused(w, verdict)
		return
	}
	sequence, outcome := b.execute(ctx, r, t)
	b.slots.leave(t)
	b.answerRun(w, r, outcome, Response{
		Request:      r.Header.Get(headerRequest),
		Key:          r.Header.Get(headerKey),
		Server:       b.command.Name,
		Service:      b.command.Service,
		Execution:    sequence,
		BodyChecksum: checksum(body),
	})
}

// refuse answers 503 while the server drains or sheds load.
func (b *backend) refuse(w http.ResponseWriter, faults Faults) bool {
	if faults.Drain {
		b.counts.refused.Add(1)
		unavailable(w, "draining")
		return true
	}
	if b.dice.hit(faults.Shed) {
		b.answerRefused(w, admitShed)
		return true
	}
	return false
}

// resetEarly resets the connection before the request runs, if a fault says so.
func (b *backend) resetEarly(w http.ResponseWriter, r *http.Request, faults Faults) bool {
	reused := requestNumber(r) > 1
	if b.dice.hit(faults.ResetBeforeRead) || (faults.ResetOnReuse && reused) {
		b.reset(w)
		return true
	}
	return false
}

func (b *backend) answerRefused(w http.ResponseWriter, verdict admission) {
	if verdict == admitShed {
		b.counts.shed.Add(1)
		unavailable(w, "overloaded")
		return
	}
	b.reset(w)
}

// unavailable answers 503. It promises that the request did not run.
func unavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (b *backend) reset(w http.ResponseWriter) {
	b.counts.resets.Add(1)
	fault.Abort(w)
}

// withDeadline returns the context of the request, bounded by the remaining time
// that the request names.
func withDeadline(r *http.Request, arrived time.Time) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), arrived.Add(time.Duration(milliseconds)*time.Millisecond))
}

// execute works for the work time and logs the run.
func (b *backend) execute(ctx context.Context, r *http.Request, t ticket) (uint64, Outcome) {
	sequence := b.executions.start(Execution{
		Key:     r.Header.Get(headerKey),
		Request: r.Header.Get(headerRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		Started: time.Now(),
	})
	b.counts.started.Add(1)
	outcome := b.work(ctx, t)
	b.executions.end(sequence, outcome, time.Now())
	return sequence, outcome
}

func (b *backend) work(ctx context.Context, t ticket) Outcome {
	timer := time.NewTimer(b.workTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		b.counts.finished.Add(1)
		return OutcomeFinished
	case <-t.fallen.Done():
		return OutcomeAborted
	case <-ctx.Done():
		b.counts.canceled.Add(1)
		return OutcomeCanceled
	}
}

// workTime draws the work time of a request. A cold server is slower.
func (b *backend) workTime() time.Duration {
	factor := 1 + workSpread*(2*b.dice.draw()-1)
	if state, _, _ := b.slots.load(); state == StateCold {
		factor *= b.command.ColdSlowdown
	}
	return time.Duration(factor * float64(b.command.Work))
}

// answerRun answers after the run, unless a fault says otherwise.
func (b *backend) answerRun(w http.ResponseWriter, r *http.Request, outcome Outcome, answer Response) {
	faults := b.faults.Get()
	switch {
	case outcome == OutcomeAborted, b.dice.hit(faults.ResetAfterRead):
		b.reset(w)
		return
	case outcome == OutcomeCanceled:
		http.Error(w, "canceled", http.StatusGatewayTimeout)
		return
	case !fault.Sleep(r.Context(), faults.Delay.Std()):
		return
	case b.dice.hit(faults.Fail):
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	b.writeBody(w, body, b.dice.hit(faults.ResetMidResponse))
}

// writeBody writes an answer with its checksum, or half of it before a reset.
func (b *backend) writeBody(w http.ResponseWriter, body []byte, half bool) {
	w.Header().Set(headerChecksum, checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !half {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	b.reset(w)
}

// checksum returns the xxHash of data in hexadecimal.
func checksum(data []byte) string {
	return formatChecksum(xxhash.Sum64(data))
}

func formatChecksum(sum uint64) string {
	return strconv.FormatUint(sum, 16)
}
