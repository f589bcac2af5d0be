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

// maxResponseBytes is the largest response body that is read.
const maxResponseBytes = 64 << 20

// Entry is a key of the service with its value.
type Entry struct {
	// Key is the key of the entry.
	Key string `json:"Key"`
	// Value is the value, of at most MaxValueBytes.
	Value []byte `json:"Value"`
	// ModifyIndex increases with each write; 0 means that the key does not exist.
	ModifyIndex uint64 `json:"ModifyIndex"`
	// Session is the session that holds the lock of the key; empty if there is none.
	Session string `json:"Session,omitempty"`
}

// Exists reports whether the key exists.
func (e Entry) Exists() bool {
	return e.ModifyIndex != 0
}

// sendTrace records whether a call may have reached the service, and whether it used a new
// connection, also one on which the transport has repeated it.
type sendTrace struct {
	connected, reconnected atomic.Bool
}

func newSendTrace() *sendTrace {
	return &sendTrace{}
}

func (t *sendTrace) context(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.connected.Store(true)
			if !info.Reused {
				t.reconnected.Store(true)
			}
		},
	})
}

// sent reports whether the call got a connection, so that the service may have
// received it.
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

// retryable reports whether a read with this status may be retried. Status 0 means
// that there was no response.
func retryable(status int) bool {
	return status == 0 || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// statusError returns the error of a response with a status other than 200 and 404,
// the status of a missing key.
func statusError(r request, resp response) error {
	switch resp.status {
	case http.StatusOK, http.StatusNotFound:
		return nil
	case http.StatusRequestEntityTooLarge:
		return errkind.New(errkind.TooLarge, "%s %s: value of %d bytes", r.method, r.path, len(r.body))
	case http.StatusTooManyRequests:
		return errkind.New(errkind.StoreUnavailable, "%s %s: rate limit of the store exceeded", r.method, r.path)
	}
	return errkind.New(errkind.StoreUnavailable, "%s %s: status %d: %s", r.method, r.path, resp.status, excerpt(resp.body))
}

func excerpt(body []byte) string {
	const maxBytes = 200
	return strings.TrimSpace(string(body[:min(len(body), maxBytes)]))
}

func decodeEntries(resp response) ([]Entry, error) {
	if resp.status == http.StatusNotFound {
		return nil, nil
	}
	var entries []Entry
	if err := json.Unmarshal(resp.body, &entries); err != nil {
		return nil, errkind.Wrap(err, errkind.Malformed, "decode the response of the store")
	}
	return entries, nil
}
