package lifecycle

import "bergamotbank/errkind"

// Phase is the phase of one request.
type Phase uint8

// The phases of a request.
const (
	// Received is a request that has been read from its caller.
	Received Phase = iota
	// Queued is a request that waits for a place.
	Queued
	// Started is a request that has a place, of which nothing has been sent.
	Started
	// Sent is a request of which at least one byte may have left for the backend
	// server or for a sibling.
	Sent
	// Answering is a request whose answer has begun to go to the caller.
	Answering
	// Answered is a request whose whole answer has gone to the caller.
	Answered
	// Refused is a request that was not run and never will be.
	Refused
	// Unknown is a request that may have run and has no answer.
	Unknown
	// Cut is a request whose answer broke off after it had begun.
	Cut
)

// Terminal tells whether the phase is the last one.
func (p Phase) Terminal() bool { return p >= Answered }

// Request is the state machine of one request. The zero value is Received.
type Request struct {
	phase Phase
}

// Phase returns the present phase.
func (r *Request) Phase() Phase { return r.phase }

// Queue notes that the request waits.
func (r *Request) Queue() { r.advance(Queued) }

// Start notes that the request has a place.
func (r *Request) Start() { r.advance(Started) }

// Send notes that the first byte is about to leave, and tells whether it may: a
// request that has ended must not be sent any more.
func (r *Request) Send() bool {
	r.advance(Sent)
	return r.phase == Sent
}

// BeginAnswer notes that the answer begins to go to the caller.
func (r *Request) BeginAnswer() { r.advance(Answering) }

// EndAnswer notes that the whole answer has gone to the caller.
func (r *Request) EndAnswer() { r.advance(Answered) }

// advance moves forward only, so that a late event never undoes a later phase.
func (r *Request) advance(next Phase) {
	if r.phase.Terminal() || next <= r.phase {
		return
	}
	r.phase = next
}

// Verdict is what the caller is told about a request that failed.
type Verdict struct {
	// Kind is the error kind to answer with.
	Kind errkind.Kind
	// Run is the promise about the execution. For a request under an idempotency
	// key it covers every try under the key.
	Run errkind.Execution
	// Try is the promise about the execution of this try alone.
	Try errkind.Execution
	// Abort tells that the answer has begun, so that only a cut connection can
	// still tell the truth.
	Abort bool
}

// Fail ends the request with an error of the given kind and returns what to tell
// the caller. A kind that promises "not run" is replaced once a byte has left;
// a kind that admits "unknown" is strengthened to "not run" before that, unless
// it speaks of other tries under an idempotency key.
func (r *Request) Fail(kind errkind.Kind) Verdict {
	switch {
	case r.phase.Terminal():
		return Verdict{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown, Abort: true}
	case r.phase == Answering:
		r.phase = Cut
		return Verdict{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown, Abort: true}
	case r.phase == Sent:
		r.phase = Unknown
		return unknownVerdict(kind)
	default:
		return r.refuse(kind)
	}
}

// Disclaim ends a request that was sent to a sibling which has promised that it
// was not run. It counts as refused with the given kind.
func (r *Request) Disclaim(kind errkind.Kind) Verdict {
	if r.phase > Sent {
		return r.Fail(kind)
	}
	return r.refuse(kind)
}

func (r *Request) refuse(kind errkind.Kind) Verdict {
	r.phase = Refused
	run := errkind.NotExecuted
	if kind == errkind.KeyInProgress || kind == errkind.KeyUnverifiable {
		run = errkind.ExecutionUnknown
	}
	return Verdict{Kind: kind, Run: run, Try: errkind.NotExecuted}
}

func unknownVerdict(kind errkind.Kind) Verdict {
	if kind.Properties().Execution != errkind.ExecutionUnknown {
		kind = errkind.BackendFailed
	}
	return Verdict{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown}
}
