package store

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"bergamotbank/event"
)

// Watch calls handle with the entry of a key, first as it is, then whenever it
// has changed, until ctx ends; it returns the error of ctx. No last state is
// missed: each call continues from the index of the one before. A call that is
// silent past its wait and grace is given up together with its connection, and
// a new connection continues. failed, when not nil, is called with the error of
// each call that fails.
func (c *Client) Watch(ctx context.Context, key string, handle func(Entry), failed func(error)) error {
	w := watch{client: c, key: key, handle: handle, failed: failed}
	for ctx.Err() == nil {
		w.step(ctx)
	}
	return ctx.Err()
}

// watch is the state of one Watch.
type watch struct {
	client   *Client
	key      string
	handle   func(Entry)
	failed   func(error)
	index    uint64
	failures int
}

func (w *watch) step(ctx context.Context) {
	index, err := w.poll(ctx)
	if err == nil && (index != w.index || index == 0) {
		err = w.tell(ctx)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.fail(ctx, err)
		return
	}
	w.failures = 0
	// The published API asks clients to start over when the index goes back.
	if index < w.index {
		index = 0
	}
	w.index = index
	if index == 0 {
		sleep(ctx, pause(1))
	}
}

// tell reads the key after a change. The value may be newer than the index of
// the change; the next call then ends at once and the value is read again.
func (w *watch) tell(ctx context.Context) error {
	entry, err := w.client.Get(ctx, w.key)
	if err == nil {
		w.handle(entry)
	}
	return err
}

func (w *watch) fail(ctx context.Context, err error) {
	w.failures++
	if w.failed != nil {
		w.failed(err)
	}
	sleep(ctx, pause(w.failures))
}

// poll makes one blocking query and returns the index. It asks for the names of
// the keys only, since most calls end without a change.
func (w *watch) poll(ctx context.Context) (uint64, error) {
	options := w.client.options
	r := request{method: http.MethodGet, path: kvPath + w.key, query: "keys", timeout: options.Timeout}
	if w.index > 0 {
		r.query = fmt.Sprintf("keys&index=%d&wait=%dms", w.index, options.WatchWait.Milliseconds())
		r.timeout = options.WatchWait + options.WatchWait/16 + options.WatchGrace
	}
	start := time.Now()
	a, _, err := w.client.send(ctx, r)
	if err != nil {
		w.noteSilence(ctx, time.Since(start), r.timeout)
		return 0, err
	}
	return a.index, refusal(r, a)
}

func (w *watch) noteSilence(ctx context.Context, elapsed, timeout time.Duration) {
	if ctx.Err() != nil || elapsed < timeout {
		return
	}
	w.client.options.Recorder.Record(event.Event{
		Kind:   event.ConnectionSilent,
		Peer:   w.client.options.Address,
		Detail: fmt.Sprintf("watch of %s silent for %s, connection replaced", w.key, elapsed.Round(time.Millisecond)),
	})
}
