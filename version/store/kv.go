package store

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"bergamotbank/errkind"
)

const kvPath = "/v1/kv/"

// Get returns the entry of a key; an entry that does not exist has no
// ModifyIndex. Errors: StoreUnavailable, Malformed.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	entry, _, err := c.get(ctx, request{method: http.MethodGet, path: kvPath + key, timeout: c.options.Timeout})
	return entry, err
}

func (c *Client) get(ctx context.Context, r request) (Entry, uint64, error) {
	a, err := c.read(ctx, r)
	if err != nil {
		return Entry{}, 0, err
	}
	entries, err := decodeEntries(a)
	if err != nil || len(entries) == 0 {
		return Entry{}, a.index, err
	}
	return entries[0], a.index, nil
}

// List returns the entries whose keys begin with prefix, in one call. Errors:
// StoreUnavailable, Malformed.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	a, err := c.read(ctx, request{method: http.MethodGet, path: kvPath + prefix, query: "recurse", timeout: c.options.Timeout})
	if err != nil {
		return nil, err
	}
	return decodeEntries(a)
}

// CompareAndSwap writes value when the key still has the given ModifyIndex; 0
// means that the key must not exist. Errors: Conflict when another write came
// first, TooLarge, StoreUnavailable when the write certainly did not take
// effect, OutcomeUnknown when it may have.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	return c.write(ctx, request{
		method: http.MethodPut, path: kvPath + key, query: casQuery(index), body: value, timeout: c.options.Timeout,
	})
}

// CompareAndSwapWithSession is CompareAndSwap that the service refuses too when the
// session does not hold the key. The lease alone fences nothing: a session may
// lapse while its holder is paused, so the index decides.
func (c *Client) CompareAndSwapWithSession(ctx context.Context, key string, value []byte, index uint64, session string) error {
	return c.write(ctx, request{
		method: http.MethodPut, path: kvPath + key, query: casQuery(index) + "&acquire=" + session, body: value, timeout: c.options.Timeout,
	})
}

// Delete removes a key that still has the given ModifyIndex. Errors as for
// CompareAndSwap.
func (c *Client) Delete(ctx context.Context, key string, index uint64) error {
	return c.write(ctx, request{
		method: http.MethodDelete, path: kvPath + key, query: casQuery(index), timeout: c.options.Timeout,
	})
}

func casQuery(index uint64) string {
	return "cas=" + strconv.FormatUint(index, 10)
}

// write sends a conditional write once.
func (c *Client) write(ctx context.Context, r request) error {
	if len(r.body) > MaxValueBytes {
		return errkind.New(errkind.TooLarge, "%s %s: value of %d bytes, at most %d are allowed", r.method, r.path, len(r.body), MaxValueBytes)
	}
	a, sent, err := c.send(ctx, r)
	if err != nil && sent {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "write without an answer")
	}
	if err != nil {
		return err
	}
	if a.status >= http.StatusInternalServerError {
		return errkind.Wrap(refusal(r, a), errkind.OutcomeUnknown, "write failed inside the store")
	}
	if err := refusal(r, a); err != nil {
		return err
	}
	if !bytes.Equal(bytes.TrimSpace(a.body), []byte("true")) {
		return errkind.New(errkind.Conflict, "%s %s: another write came first", r.method, r.path)
	}
	return nil
}
