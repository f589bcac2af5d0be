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
	// Responding is a request whose answer has begun to go to the caller.
	Responding
	// Completed is a request whose whole answer has gone to the caller.
	Completed
	// Refused is a request that was not run and never will be.
	Refused
	// Unknown is a request that may have run and has no answer.
	Unknown
	// Aborted is a request whose answer broke off after it had begun.
	Aborted
)

// Terminal tells whether the phase is the last one.
func (p Phase) Terminal() bool { return p >= Completed }

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

// BeginResponse notes that the answer begins to go to the caller.
func (r *Request) BeginResponse() { r.advance(Responding) }

// EndResponse notes that the whole answer has gone to the caller.
func (r *Request) EndResponse() { r.advance(Completed) }

// advance moves forward only, so that a late event never undoes a later phase.
func (r *Request) advance(next Phase) {
	if r.phase.Terminal() || next <= r.phase {
		return
	}
	r.phase = next
}

// Failure is what the caller is told about a request that failed.
type Failure struct {
	// Kind is the error kind to answer with.
	Kind errkind.Kind
	// Run is the promise about the execution. For a request under an idempotency
	// key it covers every try under the key.
	Run errkind.Run
	// Try is the promise about the execution of this try alone.
	Try errkind.Run
	// Abort tells that the answer has begun, so that only a cut connection can
	// still tell the truth.
	Abort bool
}

// Fail ends the request with an error of the given kind and returns what to tell
// the caller. A kind that promises "not run" is replaced once a byte has left;
// a kind that admits "unknown" is strengthened to "not run" before that, unless
// it speaks of other tries under an idempotency key.
func (r *Request) Fail(kind errkind.Kind) Failure {
	switch {
	case r.phase.Terminal():
		return Failure{Kind: kind, Run: errkind.RunUnknown, Try: errkind.RunUnknown, Abort: true}
	case r.phase == Responding:
		r.phase = Aborted
		return Failure{Kind: kind, Run: errkind.RunUnknown, Try: errkind.RunUnknown, Abort: true}
	case r.phase == Sent:
		r.phase = Unknown
		return unknownVerdict(kind)
	default:
		return r.refuse(kind)
	}
}

// FailNotRun ends a request that was sent to a sibling which has promised that it
// was not run. It counts as refused with the given kind.
func (r *Request) FailNotRun(kind errkind.Kind) Failure {
	if r.phase > Sent {
		return r.Fail(kind)
	}
	return r.refuse(kind)
}

func (r *Request) refuse(kind errkind.Kind) Failure {
	r.phase = Refused
	run := errkind.RunNone
	if kind == errkind.KeyInProgress || kind == errkind.KeyUnverifiable {
		run = errkind.RunUnknown
	}
	return Failure{Kind: kind, Run: run, Try: errkind.RunNone}
}

func unknownVerdict(kind errkind.Kind) Failure {
	if kind.Answer().Run != errkind.RunUnknown {
		kind = errkind.BackendFailed
	}
	return Failure{Kind: kind, Run: errkind.RunUnknown, Try: errkind.RunUnknown}
}
