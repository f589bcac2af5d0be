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
	// queueBytes bounds the lines that wait for a slow reader.
	queueBytes = 256 << 10
	// writeInterval gathers lines for one system call.
	writeInterval = 100 * time.Millisecond
	// closeTimeout bounds the wait for a reader that stands still at the end of the
	// process.
	closeTimeout = 200 * time.Millisecond
)

// Output writes lines from a goroutine of its own. What does not fit into its
// queue is dropped and counted, so that a reader that stands still stops nothing.
type Output struct {
	w     io.Writer
	level zap.AtomicLevel
	done  chan struct{}
	wake  chan struct{}

	mu      sync.Mutex
	queue   []byte
	spare   []byte
	closed  bool
	waiting bool
	dropped uint64
}

func newOutput(w io.Writer) *Output {
	o := &Output{w: w, level: zap.NewAtomicLevel(), done: make(chan struct{}), wake: make(chan struct{}, 1)}
	go o.run()
	return o
}

// Write queues one line. It never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || len(o.queue)+len(line) > queueBytes {
		o.dropped++
		return len(line), nil
	}
	o.queue = append(o.queue, line...)
	if !o.waiting {
		o.waiting = true
		o.signal()
	}
	return len(line), nil
}

// SetLevel changes the lowest level that is logged. An unknown level is an error of
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

// Dropped returns the number of lines that did not fit into the queue.
func (o *Output) Dropped() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dropped
}

// Close writes what is queued, for a short time at most.
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
		batch, closed := o.take()
		if _, err := o.w.Write(batch); err != nil {
			o.count(batch)
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

// take hands over the queued lines and starts a new queue.
func (o *Output) take() (batch []byte, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch = o.queue
	o.queue, o.spare = o.spare[:0], batch
	o.waiting = false
	return batch, o.closed
}

// count adds the lines of a batch that could not be written.
func (o *Output) count(batch []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, b := range batch {
		if b == '\n' {
			o.dropped++
		}
	}
}
