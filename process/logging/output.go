package logging

import (
	"io"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotbank/errkind"
)

const (
	// queueBytes is the maximum size of the queue of lines for a slow reader.
	queueBytes = 256 << 10
	// writeInterval is the time during which lines are batched into one write.
	writeInterval = 100 * time.Millisecond
	// closeTimeout limits the wait for a blocked reader when the process exits.
	closeTimeout = 200 * time.Millisecond
)

// Output writes lines asynchronously in a separate goroutine. Lines that do not fit
// into its queue are dropped and counted, so that a blocked reader of the output never
// blocks the process.
type Output struct {
	w     io.Writer
	level zap.AtomicLevel
	done  chan struct{}
	wake  chan struct{}

	mu          sync.Mutex
	queue       []byte
	spare       []byte
	closed      bool
	wakePending bool
	dropped     uint64
}

func newOutput(w io.Writer) *Output {
	o := &Output{w: w, level: zap.NewAtomicLevel(), done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go o.run()
	return o
}

// Write queues one line. It never blocks on the output and never returns an error.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.queue)+len(line) > queueBytes {
		o.dropped++
		return len(line), nil
	}
	o.queue = append(o.queue, line...)
	if !o.wakePending {
		o.wakePending = true
		o.signal()
	}
	return len(line), nil
}

// SetLevel sets the minimum level of log entries. An unknown level is an error of
// kind InvalidSettings.
func (o *Output) SetLevel(level string) error {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidSettings, "log level %q", level)
	}
	o.level.SetLevel(lowest)
	return nil
}

// Sync does nothing: lines are written within writeInterval.
func (o *Output) Sync() error { return nil }

// Dropped returns the number of lines that did not fit into the queue or could not be
// written.
func (o *Output) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close writes the queued lines. It waits for at most closeTimeout.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
	select {
	case <-o.done:
	case <-time.After(closeTimeout):
	}
}

func (o *Output) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run writes batches of lines until the output is closed.
func (o *Output) run() {
	defer close(o.done)
	for {
		<-o.wake
		if !o.isClosed() {
			time.Sleep(writeInterval)
		}
		batch, closed := o.takeQueue()
		if _, err := o.w.Write(batch); err != nil {
			o.countDropped(batch)
		}
		if closed {
			return
		}
	}
}

func (o *Output) isClosed() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.closed
}

// takeQueue returns the queued lines and starts a new queue.
func (o *Output) takeQueue() (batch []byte, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch = o.queue
	o.queue, o.spare = o.spare[:0], batch
	o.wakePending = false
	return batch, o.closed
}

// countDropped counts the lines of a batch that could not be written as dropped.
func (o *Output) countDropped(batch []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batch {
		if b == '\n' {
			o.dropped++
		}
	}
}
