package store

import (
	"bytes"
	"context"
	"net/http"
	"strconv"

	"bergamotbank/errkind"
)

const kvPath = "/v1/kv/"

// Get returns the entry of a key, with ModifyIndex 0 if the key does not exist.
// Error kinds: StoreUnavailable, Malformed.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	entry, _, err := c.get(ctx, request{method: http.MethodGet, path: kvPath + key, timeout: c.options.Timeout})
	return entry, err
}

func (c *Client) get(ctx context.Context, r request) (Entry, uint64, error) {
	resp, err := c.read(ctx, r)
	if err != nil {
		return Entry{}, 0, err
	}
	entries, err := decodeEntries(resp)
	if err != nil || len(entries) == 0 {
		return Entry{}, resp.index, err
	}
	return entries[0], resp.index, nil
}

// List returns the entries whose keys begin with prefix, in one call. Error kinds:
// StoreUnavailable, Malformed.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	resp, err := c.read(ctx, request{method: http.MethodGet, path: kvPath + prefix, query: "recurse", timeout: c.options.Timeout})
	if err != nil {
		return nil, err
	}
	return decodeEntries(resp)
}

// CompareAndSwap writes value if the key still has the given ModifyIndex; 0 means
// that the key must not exist. Error kinds: Conflict if the index does not match,
// TooLarge, StoreUnavailable if the write certainly did not take effect, and
// OutcomeUnknown if it may have taken effect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) error {
	return c.write(ctx, request{
		method: http.MethodPut, path: kvPath + key, query: casQuery(index), body: value, timeout: c.options.Timeout,
	})
}

// CompareAndSwapWithSession is like CompareAndSwap, but also acquires the lock of the
// key for the session; the service rejects the write if the session has expired or
// another one holds the lock. The lock alone does not fence writes, since a session
// may expire while its owner is paused; therefore the index is checked too.
func (c *Client) CompareAndSwapWithSession(ctx context.Context, key string, value []byte, index uint64, session string) error {
	return c.write(ctx, request{
		method: http.MethodPut, path: kvPath + key, query: casQuery(index) + "&acquire=" + session, body: value, timeout: c.options.Timeout,
	})
}

// Delete deletes the key if it still has the given ModifyIndex. The error kinds are
// those of CompareAndSwap.
func (c *Client) Delete(ctx context.Context, key string, index uint64) error {
	return c.write(ctx, request{
		method: http.MethodDelete, path: kvPath + key, query: casQuery(index), timeout: c.options.Timeout,
	})
}

func casQuery(index uint64) string {
	return "cas=" + strconv.FormatUint(index, 10)
}

// write sends a conditional write, without retries.
func (c *Client) write(ctx context.Context, r request) error {
	if len(r.body) > MaxValueBytes {
		return errkind.New(errkind.TooLarge, "%s %s: value of %d bytes, at most %d are allowed", r.method, r.path, len(r.body), MaxValueBytes)
	}
	resp, sent, err := c.send(ctx, r)
	if err != nil && sent {
		return errkind.Wrap(err, errkind.OutcomeUnknown, "no response to the write")
	}
	if err != nil {
		return err
	}
	if resp.status >= http.StatusInternalServerError {
		return errkind.Wrap(statusError(r, resp), errkind.OutcomeUnknown, "server error in response to the write")
	}
	if err := statusError(r, resp); err != nil {
		return err
	}
	if !bytes.Equal(bytes.TrimSpace(resp.body), []byte("true")) {
		return errkind.New(errkind.Conflict, "%s %s: write rejected, the index or the lock of the key does not match", r.method, r.path)
	}
	return nil
}
