package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"bergamotbank/errkind"
)

// maxAnswerBytes bounds the answer to one call.
const maxAnswerBytes = 64 << 20

// Entry is one key of the service.
type Entry struct {
	// Key names the entry.
	Key string `json:"Key"`
	// Value is the content, at most MaxValueBytes.
	Value []byte `json:"Value"`
	// ModifyIndex changes with each write; 0 means that the key does not exist.
	ModifyIndex uint64 `json:"ModifyIndex"`
	// Session is the session that holds the key as a lease; empty when none.
	Session string `json:"Session,omitempty"`
}

// Exists tells whether the key exists.
func (e Entry) Exists() bool {
	return e.ModifyIndex != 0
}

// sendTrace learns whether a call may have reached the service.
type sendTrace struct {
	connected atomic.Bool
}

func newSendTrace() *sendTrace {
	return &sendTrace{}
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { t.connected.Store(true) },
	})
}

// sent is false when no connection was ever had.
func (t *sendTrace) sent() bool {
	return t.connected.Load()
}

func newHTTPRequest(ctx context.Context, address string, r request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, Path: r.path, RawQuery: r.query}
	return http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
}

func indexOf(header http.Header) uint64 {
	index, err := strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// retryable tells whether a read with this status may be sent again. Status 0
// stands for no answer.
func retryable(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// refusal returns the error of an answer that is neither a success nor a
// missing key.
func refusal(r request, a answer) error {
	switch a.status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.TooLarge, "%s %s: value of %d bytes", r.method, r.path, len(r.body))
	case http.StatusTooManyRequests:
		return errkind.New(errkind.StoreUnavailable, "%s %s: the store is over its rate of calls", r.method, r.path)
	}
	return errkind.New(errkind.StoreUnavailable, "%s %s: status %d: %s", r.method, r.path, a.status, excerpt(a.body))
}

func excerpt(body []byte) string {
	const longest = 200
	return strings.TrimSpace(string(body[:min(len(body), longest)]))
}

func decodeEntries(a answer) ([]Entry, error) {
	if a.status == http.StatusNotFound {
		return nil, nil
	}
	var entries []Entry
	if err := json.Unmarshal(a.body, &entries); err != nil {
		return nil, errkind.Wrap(err, errkind.Malformed, "answer of the store")
	}
	return entries, nil
}
