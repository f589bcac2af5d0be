package admission

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/request/backend"
	"bergamotbank/request/lifecycle"
	"bergamotbank/request/limit"
)

const (
	// copyBufferSize is the size in bytes of a copy buffer between backend server and
	// caller. It bounds the memory used for a slow caller.
	copyBufferSize = 32 << 10
	// smallBufferSize is the size in bytes of the buffer of a response that arrives
	// in small pieces, as most streams do.
	smallBufferSize = 1 << 10
	// unknownLengthStreamDelay is the time after the header at which a response of
	// unknown length is treated as a stream and releases its slot.
	unknownLengthStreamDelay = 50 * time.Millisecond
	// knownLengthStreamDelay is the same for a response of known length.
	knownLengthStreamDelay = time.Second
	// callerWriteTimeout bounds a single write to the caller.
	callerWriteTimeout = 60 * time.Second
	// serverReadTimeout is how long the backend server may send nothing within a
	// response of known length.
	serverReadTimeout = 60 * time.Second
	// eventStreamType is the media type of a response that is a stream from its
	// first byte.
	eventStreamType = "text/event-stream"
)

var errCanceled = errkind.New(errkind.Canceled, "request canceled before the response was complete")

// forwardResponse copies the response to the caller. If the response ends early,
// the caller's connection is aborted, so that it does not look complete.
func (x *exchange) forwardResponse(response *backend.Exchange, sample limit.Sample) {
	x.advance((*lifecycle.Request).BeginResponse)
	resp := response.Response
	x.copyResponseHeader(resp.Header)
	if x.gate.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	announceTrailers(x.w.Header(), resp)
	x.w.WriteHeader(resp.StatusCode)
	timer := time.AfterFunc(streamDelay(resp), func() { x.markStreaming(sample) })
	defer timer.Stop()
	err := x.copyBody(response)
	x.finish(sample, err)
	if err != nil {
		x.fail(err)
		return
	}
	if x.admitted || resp.Header.Get(HeaderError) == "" {
		x.storeResponse(resp.StatusCode, resp.Header)
	}
	if x.callerErr != nil {
		x.fail(x.callerErr)
		return
	}
	for name, values := range resp.Trailer {
		x.w.Header()[name] = values
	}
	x.advance((*lifecycle.Request).EndResponse)
	x.gate.counters.answered.Add(1)
}

func (x *exchange) advance(step func(*lifecycle.Request)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	step(&x.state)
}

// copyResponseHeader copies the header of a response. Headers that describe the
// execution are accepted from a sibling only, not from the backend server.
func (x *exchange) copyResponseHeader(src http.Header) {
	copyHeader(x.w.Header(), src)
	if x.admitted {
		dropInternalHeaders(x.w.Header())
	}
	x.w.Header().Del(headerFreeSlots)
	if x.origin.hops > 0 {
		x.w.Header().Set(headerFreeSlots, strconv.Itoa(x.gate.snapshot.Load().freeSlots))
	}
}

// streamDelay returns the time after the header at which a response is treated as a
// stream.
func streamDelay(resp *http.Response) time.Duration {
	switch {
	case isEventStream(resp):
		return 0
	case resp.ContentLength < 0:
		return unknownLengthStreamDelay
	default:
		return knownLengthStreamDelay
	}
}

func announceTrailers(header http.Header, resp *http.Response) {
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
}

// markStreaming releases the slot of a request, which stays open as a stream.
func (x *exchange) markStreaming(sample limit.Sample) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.Phase() != lifecycle.Responding || x.finished {
		return
	}
	x.streaming = true
	x.gate.counters.streams.Add(1)
	if x.admitted {
		x.gate.engine.post(engineEvent{kind: eventStream, id: x.id, sample: sample})
	}
}

func (x *exchange) finish(sample limit.Sample, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	kind := eventFinish
	if x.streaming {
		kind = eventFinishStream
		x.gate.counters.streams.Add(-1)
	}
	switch {
	case err == nil:
	case errkind.Is(err, errkind.Canceled):
		sample.Outcome = limit.Canceled
	default:
		sample.Outcome = limit.Reset
	}
	if x.admitted {
		x.gate.engine.post(engineEvent{kind: kind, id: x.id, sample: sample})
	}
}

// copyBody copies the body with a buffer of fixed size, so that a slow caller
// applies back pressure to the backend server instead of using up memory.
func (x *exchange) copyBody(response *backend.Exchange) error {
	c := &bodyCopier{
		exchange:      x,
		response:      response,
		control:       http.NewResponseController(x.w),
		unknownLength: response.Response.ContentLength < 0,
		smallBuffer:   make([]byte, smallBufferSize),
	}
	if c.unknownLength {
		_ = c.control.Flush()
	}
	for {
		done, err := c.copyNext()
		if done || err != nil {
			return err
		}
	}
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}
