package admission

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotbank/errkind"
	"bergamotbank/event"
	"bergamotbank/request/ledger"
	"bergamotbank/request/ledgerrpc"
)

const (
	// fingerprintBytes is the number of bytes of the body that the fingerprint
	// covers. It bounds the memory used for the body of a keyed request.
	fingerprintBytes = 64 << 10
	// maxStoredBody is the size in bytes of the largest response body that is stored
	// for retries.
	maxStoredBody = 16 << 10
	// firstAttemptNumber is the value of HeaderAttempt for a first attempt.
	firstAttemptNumber = "1"
)

// isSafe reports whether the method is safe as defined by HTTP. Idempotency keys are
// ignored for safe methods.
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

// claim claims the idempotency key of a request before it is run. It reports
// whether the request was answered with the stored result of an earlier attempt.
func (x *exchange) claim() (answered bool, err error) {
	value := x.r.Header.Get(HeaderKey)
	if value == "" || isSafe(x.r.Method) || x.origin.claimed {
		return false, nil
	}
	key, err := ledger.ParseKey(value, x.r.Header.Get(HeaderAttempt) == firstAttemptNumber, x.gate.clock())
	if err != nil {
		return false, err
	}
	fingerprint, err := x.fingerprint()
	if err != nil {
		return false, err
	}
	permit, result, err := x.gate.ledgerNode.Acquire(x.r.Context(), ledgerrpc.Request{
		Key:         key,
		Fingerprint: fingerprint,
		Timeout:     time.Until(x.deadline),
	})
	if err != nil {
		return false, err
	}
	if result != nil {
		x.gate.record(event.RequestRepeated, x.id, "", "answered from the ledger")
		return true, x.replay(*result)
	}
	x.permit = permit
	return false, nil
}

// fingerprint reads the beginning of the body and returns the fingerprint of the
// request. The complete body is still sent to the backend server.
func (x *exchange) fingerprint() (ledger.Fingerprint, error) {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	head, err := io.ReadAll(io.LimitReader(x.r.Body, fingerprintBytes))
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Malformed, "read the body of a keyed request")
	}
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(x.r.Method + " " + x.r.URL.RequestURI() + " " + strconv.FormatInt(x.r.ContentLength, 10) + "\n")
	_, _ = digest.Write(head)
	x.r.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), x.r.Body), x.r.Body}
	return ledger.Fingerprint(digest.Sum64()), nil
}

// replay responds with the stored result of an earlier attempt.
func (x *exchange) replay(result ledger.Result) error {
	if result.Outcome == ledger.OutcomeUnknown {
		return errkind.New(errkind.KeyUnverifiable, "the first try under this key has an unknown outcome")
	}
	header := x.w.Header()
	if !result.BodyStored {
		x.gate.counters.replayed.Add(1)
		header.Set(HeaderRun, runCompleted)
		header.Set(HeaderTry, errkind.NotExecuted.String())
		header.Set(HeaderError, errkind.KeyUnverifiable.String())
		header.Set(HeaderOriginalStatus, strconv.Itoa(result.Status))
		x.w.WriteHeader(errkind.KeyUnverifiable.Properties().HTTPStatus)
		_, _ = io.WriteString(x.w, "run: the answer of the first try was too large to be kept\n")
		return nil
	}
	x.gate.counters.replayed.Add(1)
	copyHeader(header, result.Header)
	header.Set(HeaderReplayed, headerTrue)
	x.w.WriteHeader(result.Status)
	_, _ = x.w.Write(result.Body)
	return nil
}

// capture holds the response body for retries, unless it exceeds maxStoredBody.
type capture struct {
	body     bytes.Buffer
	overflow bool
}

func (c *capture) add(p []byte) {
	if c == nil || c.overflow {
		return
	}
	if c.body.Len()+len(p) > maxStoredBody {
		c.overflow = true
		c.body.Reset()
		return
	}
	c.body.Write(p)
}

// storeResponse stores the complete response to a keyed request.
func (x *exchange) storeResponse(status int, header http.Header) {
	if x.permit == nil {
		return
	}
	result := ledger.Result{
		Status:     status,
		Header:     make(http.Header),
		Body:       x.captured.body.Bytes(),
		BodyStored: !x.captured.overflow,
	}
	copyHeader(result.Header, header)
	dropInternalHeaders(result.Header)
	x.endPermit(func(p *ledgerrpc.Permit) { p.Complete(result) })
}

// endPermit calls end with the permit in the background. The call counts as an open
// request until it returns, so that Drain waits for it.
func (x *exchange) endPermit(end func(*ledgerrpc.Permit)) {
	permit := x.permit
	if permit == nil {
		return
	}
	x.permit = nil
	x.gate.counters.open.Add(1)
	go func() {
		defer x.gate.counters.open.Add(-1)
		end(permit)
	}()
}
