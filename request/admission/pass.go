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
	// copyBufferSize is the size in bytes of a buffer between backend server and
	// caller. It bounds what a slow caller holds in memory.
	copyBufferSize = 32 << 10
	// smallBufferSize is the size in bytes of the buffer of an answer that comes
	// in small pieces, as most streams do.
	smallBufferSize = 1 << 10
	// openStreamAfter is the time after the header from which an answer of unknown
	// length counts as a stream and gives its slot back.
	openStreamAfter = 50 * time.Millisecond
	// knownStreamAfter is the same for an answer of known length.
	knownStreamAfter = time.Second
	// callerStall is how long a write to the caller may make no progress.
	callerStall = 60 * time.Second
	// serverStall is how long the backend server may be silent within an answer
	// that is no event stream.
	serverStall = 60 * time.Second
	// eventStreamType is the media type of an answer that is a stream from its
	// first byte.
	eventStreamType = "text/event-stream"
)

var errCallerGone = errkind.New(errkind.Canceled, "the caller takes no more of the answer")

// pass sends the answer on to the caller. When the backend server breaks off, so
// does the answer.
func (x *exchange) pass(answer *backend.Exchange, sample limit.Sample) {
	x.advance((*lifecycle.Request).BeginAnswer)
	resp := answer.Response
	x.copyAnswerHeader(resp.Header)
	if x.gate.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	announceTrailers(x.w.Header(), resp)
	x.w.WriteHeader(resp.StatusCode)
	timer := time.AfterFunc(streamAfter(resp), func() { x.becomeStream(sample) })
	defer timer.Stop()
	err := x.copyBody(answer)
	x.finish(sample, err)
	if err != nil {
		x.fail(err)
		return
	}
	if x.placed || resp.Header.Get(HeaderError) == "" {
		x.complete(resp.StatusCode, resp.Header)
	}
	if x.callerGone != nil {
		x.fail(x.callerGone)
		return
	}
	for name, values := range resp.Trailer {
		x.w.Header()[name] = values
	}
	x.advance((*lifecycle.Request).EndAnswer)
	x.gate.counters.answered.Add(1)
}

func (x *exchange) advance(step func(*lifecycle.Request)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	step(&x.state)
}

// copyAnswerHeader copies the header of an answer. Only a sibling may set the
// headers that tell about the execution.
func (x *exchange) copyAnswerHeader(src http.Header) {
	copyHeader(x.w.Header(), src)
	if x.placed {
		dropOwnHeaders(x.w.Header())
	}
	x.w.Header().Del(headerRoom)
	if x.origin.hops > 0 {
		x.w.Header().Set(headerRoom, strconv.Itoa(x.gate.seen.Load().room))
	}
}

// streamAfter returns the time after the header from which an answer counts as a
// stream.
func streamAfter(resp *http.Response) time.Duration {
	switch {
	case isEventStream(resp):
		return 0
	case resp.ContentLength < 0:
		return openStreamAfter
	default:
		return knownStreamAfter
	}
}

func announceTrailers(header http.Header, resp *http.Response) {
	for name := range resp.Trailer {
		header.Add("Trailer", name)
	}
}

// becomeStream gives the slot back; the request stays open.
func (x *exchange) becomeStream(sample limit.Sample) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.state.Phase() != lifecycle.Answering || x.finished {
		return
	}
	x.streams = true
	x.gate.counters.streams.Add(1)
	if x.placed {
		x.gate.engine.post(engineEvent{kind: eventStream, id: x.id, sample: sample})
	}
}

func (x *exchange) finish(sample limit.Sample, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	kind := eventFinish
	if x.streams {
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
	if x.placed {
		x.gate.engine.post(engineEvent{kind: kind, id: x.id, sample: sample})
	}
}

// copyBody copies the body with a buffer of fixed size, so that a slow caller
// slows the backend server down instead of filling memory.
func (x *exchange) copyBody(answer *backend.Exchange) error {
	c := &bodyCopy{
		exchange: x,
		answer:   answer,
		control:  http.NewResponseController(x.w),
		unknown:  answer.Response.ContentLength < 0,
		small:    make([]byte, smallBufferSize),
	}
	if c.unknown {
		_ = c.control.Flush()
	}
	for {
		done, err := c.next()
		if done || err != nil {
			return err
		}
	}
}

func isEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), eventStreamType)
}
