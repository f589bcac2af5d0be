package store

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bergamotbank/event"
)

// Watch calls handle with the current entry of a key and again after each change,
// until ctx is done; it returns the error of ctx. Intermediate states may be
// skipped, but the latest one is always delivered, since each call continues from
// the index of the previous one. A call that stalls beyond its wait and grace is
// abandoned with its connection, and the next call uses a new connection. The entry is
// read after each call on a new connection, whatever the index: the service may have been
// restored from an older copy, and assigns the same indexes to other changes. onError,
// if not nil, is called with the error of each failed call.
func (c *Client) Watch(ctx context.Context, key string, handle func(Entry), onError func(error)) error {
	w := watch{client: c, key: key, handle: handle, onError: onError}
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return ctx.Err()
}

// watch is the state of one call of Watch.
type watch struct {
	client  *Client
	key     string
	handle  func(Entry)
	onError func(error)
	index   uint64
	// unread is true if the entry is to be read whatever the index.
	unread   bool
	failures int
}

func (w *watch) step(ctx context.Context) {
	index, reconnected, err := w.poll(ctx)
	w.unread = w.unread || reconnected
	if err == nil && (index != w.index || index == 0 || w.unread) {
		err = w.deliver(ctx)
		w.unread = err != nil
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.handleError(ctx, err)
		return
	}
	w.failures = 0
	// The Consul API requires clients to reset the index if it goes backwards.
	if index < w.index {
		index = 0
	}
	w.index = index
	if index == 0 {
		sleep(ctx, backoff(1))
	}
}

// deliver reads the entry after a change and calls handle. The entry may be newer
// than the index of the change; the next call then returns at once and the entry is
// read again.
func (w *watch) deliver(ctx context.Context) error {
	entry, err := w.client.Get(ctx, w.key)
	if err == nil {
		w.handle(entry)
	}
	return err
}

func (w *watch) handleError(ctx context.Context, err error) {
	w.failures++
	if w.onError != nil {
		w.onError(err)
	}
	sleep(ctx, backoff(w.failures))
}

// poll makes one blocking query and returns the index of the response and whether the
// query used a new connection. It requests only the key names, since most calls end
// without a change.
func (w *watch) poll(ctx context.Context) (index uint64, reconnected bool, err error) {
	options := w.client.options
	r := request{method: http.MethodGet, path: kvPath + w.key, query: "keys", timeout: options.Timeout}
	if w.index > 0 {
		r.query = fmt.Sprintf("keys&index=%d&wait=%dms", w.index, options.WatchWait.Milliseconds())
		r.timeout = options.WatchWait + options.WatchWait/16 + options.WatchGrace
	}
	start := time.Now()
	resp, _, err := w.client.send(ctx, r)
	if err != nil {
		w.recordStall(ctx, time.Since(start), r.timeout)
		return 0, false, err
	}
	return resp.index, resp.reconnected, statusError(r, resp)
}

func (w *watch) recordStall(ctx context.Context, elapsed, timeout time.Duration) {
	if ctx.Err() != nil || elapsed < timeout {
		return
	}
	w.client.options.Recorder.Record(event.Event{
		Kind:   event.ConnectionSilent,
		Peer:   w.client.options.Address,
		Detail: fmt.Sprintf("watch of %s received no response for %s, connection closed", w.key, elapsed.Round(time.Millisecond)),
	})
}
