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

// Headers of requests and responses.
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
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 1 << 20
	// workSpread is the largest deviation of a work time from the mean, as a share of
	// the mean.
	workSpread = 0.5
)

// Response is the body of the response to an order or a release. It identifies the
// request, so that the caller can verify that the response belongs to it.
type Response struct {
	Request      string `json:"request"`
	Key          string `json:"key"`
	Server       string `json:"server"`
	Service      string `json:"service"`
	Execution    uint64 `json:"execution"`
	BodyChecksum string `json:"body_checksum"`
}

// serveNonIdempotent handles a non-idempotent request.
func (b *backend) serveNonIdempotent(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	faults := b.faults.Get()
	if b.rejectUnavailable(w, faults) || b.resetBeforeRead(w, r, faults) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "request body is too large or incomplete", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r, arrived)
	defer cancel()
	t, decision := b.slots.acquire(ctx)
	if decision != admitRun {
		b.writeRejection(w, decision)
		return
	}
	sequence, outcome := b.execute(ctx, r, t)
	b.slots.release(t)
	b.writeOutcome(w, r, outcome, Response{
		Request:      r.Header.Get(headerRequest),
		Key:          r.Header.Get(headerKey),
		Server:       b.command.Name,
		Service:      b.command.Service,
		Execution:    sequence,
		BodyChecksum: checksum(body),
	})
}

// rejectUnavailable responds with 503 and returns true if the server is draining or
// a fault sheds the request.
func (b *backend) rejectUnavailable(w http.ResponseWriter, faults Faults) bool {
	if faults.Drain {
		b.counts.refused.Add(1)
		writeUnavailable(w, "draining")
		return true
	}
	if b.random.chance(faults.Shed) {
		b.writeRejection(w, admitShed)
		return true
	}
	return false
}

// resetBeforeRead resets the connection before the execution and returns true if a
// fault requires it.
func (b *backend) resetBeforeRead(w http.ResponseWriter, r *http.Request, faults Faults) bool {
	reused := requestNumber(r) > 1
	if b.random.chance(faults.ResetBeforeRead) || (faults.ResetOnReuse && reused) {
		b.reset(w)
		return true
	}
	return false
}

func (b *backend) writeRejection(w http.ResponseWriter, decision admission) {
	if decision == admitShed {
		b.counts.shed.Add(1)
		writeUnavailable(w, "overloaded")
		return
	}
	b.reset(w)
}

// writeUnavailable responds with 503, which guarantees that the request did not run.
func writeUnavailable(w http.ResponseWriter, reason string) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (b *backend) reset(w http.ResponseWriter) {
	b.counts.resets.Add(1)
	fault.Abort(w)
}

// withDeadline returns the context of the request, limited to the remaining time in
// its deadline header.
func withDeadline(r *http.Request, arrived time.Time) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithDeadline(r.Context(), arrived.Add(time.Duration(milliseconds)*time.Millisecond))
}

// execute simulates the work of a request and logs the execution.
func (b *backend) execute(ctx context.Context, r *http.Request, t ticket) (uint64, Outcome) {
	sequence := b.executions.start(Execution{
		Key:     r.Header.Get(headerKey),
		Request: r.Header.Get(headerRequest),
		Method:  r.Method,
		Path:    r.URL.Path,
		Started: time.Now(),
	})
	b.counts.started.Add(1)
	outcome := b.simulateWork(ctx, t)
	b.executions.end(sequence, outcome, time.Now())
	return sequence, outcome
}

func (b *backend) simulateWork(ctx context.Context, t ticket) Outcome {
	timer := time.NewTimer(b.drawWorkTime())
	defer timer.Stop()
	select {
	case <-timer.C:
		b.counts.finished.Add(1)
		return OutcomeFinished
	case <-t.crashed.Done():
		return OutcomeAborted
	case <-ctx.Done():
		b.counts.canceled.Add(1)
		return OutcomeCanceled
	}
}

// drawWorkTime returns a random work time for a request. A cold server is slower.
func (b *backend) drawWorkTime() time.Duration {
	factor := 1 + workSpread*(2*b.random.uniform()-1)
	if state, _, _ := b.slots.load(); state == StateCold {
		factor *= b.command.ColdSlowdown
	}
	return time.Duration(factor * float64(b.command.Work))
}

// writeOutcome writes the response after the execution, or the result of an injected
// fault.
func (b *backend) writeOutcome(w http.ResponseWriter, r *http.Request, outcome Outcome, response Response) {
	faults := b.faults.Get()
	switch {
	case outcome == OutcomeAborted, b.random.chance(faults.ResetAfterRead):
		b.reset(w)
		return
	case outcome == OutcomeCanceled:
		http.Error(w, "canceled", http.StatusGatewayTimeout)
		return
	case !fault.Sleep(r.Context(), faults.Delay.Std()):
		return
	case b.random.chance(faults.Fail):
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	body, err := json.Marshal(response)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	b.writeBody(w, body, b.random.chance(faults.ResetMidResponse))
}

// writeBody writes a response body with its checksum. If truncate is true, it writes
// half of the body and resets the connection.
func (b *backend) writeBody(w http.ResponseWriter, body []byte, truncate bool) {
	w.Header().Set(headerChecksum, checksum(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if !truncate {
		_, _ = w.Write(body)
		return
	}
	_, _ = w.Write(body[:len(body)/2])
	_ = http.NewResponseController(w).Flush()
	b.reset(w)
}

// checksum returns the 64-bit xxHash of data in hexadecimal.
func checksum(data []byte) string {
	return formatChecksum(xxhash.Sum64(data))
}

func formatChecksum(sum uint64) string {
	return strconv.FormatUint(sum, 16)
}
