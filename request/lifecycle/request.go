package lifecycle

import "bergamotbank/errkind"

// Phase is the phase of one request.
type Phase uint8

// The phases of a request.
const (
	// Received is a request that was received from its caller.
	Received Phase = iota
	// Queued is a request that waits for a slot.
	Queued
	// Started is a request that holds a slot and of which nothing has been sent.
	Started
	// Sent is a request of which at least one byte may have been sent to the backend
	// server or to a sibling.
	Sent
	// Responding is a request whose response is being sent to the caller.
	Responding
	// Completed is a request whose complete response has been sent to the caller.
	Completed
	// Refused is a request that was not run and never will be.
	Refused
	// Unknown is a request that may have been run and has no response.
	Unknown
	// Aborted is a request whose response was aborted after it had begun.
	Aborted
)

// Terminal reports whether the phase is final.
func (p Phase) Terminal() bool { return p >= Completed }

// Request is the state machine of one request. The zero value is Received.
type Request struct {
	phase Phase
}

// Phase returns the current phase.
func (r *Request) Phase() Phase { return r.phase }

// Queue records that the request is queued.
func (r *Request) Queue() { r.advance(Queued) }

// Start records that the request holds a slot.
func (r *Request) Start() { r.advance(Started) }

// Send records that the first byte is about to be sent and reports whether it may be.
// A request that has ended must not be sent.
func (r *Request) Send() bool {
	r.advance(Sent)
	return r.phase == Sent
}

// BeginResponse records that the response begins to be sent to the caller.
func (r *Request) BeginResponse() { r.advance(Responding) }

// EndResponse records that the complete response has been sent to the caller.
func (r *Request) EndResponse() { r.advance(Completed) }

// advance only moves forward, so that a late event cannot revert a later phase.
func (r *Request) advance(next Phase) {
	if r.phase.Terminal() || next <= r.phase {
		return
	}
	r.phase = next
}

// Failure describes a failed request to its caller.
type Failure struct {
	// Kind is the error kind of the response.
	Kind errkind.Kind
	// Run is the guarantee about the execution of the request. With an idempotency
	// key it covers all attempts with the key.
	Run errkind.Execution
	// Try is the guarantee about the execution of this attempt only.
	Try errkind.Execution
	// Abort is true if the response has begun, so that the failure can only be
	// reported by aborting the connection.
	Abort bool
}

// Fail ends the request with an error of the given kind and returns the failure to
// report. A kind that guarantees "not run" is replaced if a byte may have been
// sent. Otherwise the request is reported as "not run" even if the kind says
// "unknown", unless the kind refers to other attempts with an idempotency key.
func (r *Request) Fail(kind errkind.Kind) Failure {
	switch {
	case r.phase.Terminal():
		return Failure{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown, Abort: true}
	case r.phase == Responding:
		r.phase = Aborted
		return Failure{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown, Abort: true}
	case r.phase == Sent:
		r.phase = Unknown
		return unknownOutcome(kind)
	default:
		return r.refuse(kind)
	}
}

// FailNotRun ends a request that was sent to a sibling, after the sibling has
// confirmed that it was not run. The request is refused with the given kind.
func (r *Request) FailNotRun(kind errkind.Kind) Failure {
	if r.phase > Sent {
		return r.Fail(kind)
	}
	return r.refuse(kind)
}

func (r *Request) refuse(kind errkind.Kind) Failure {
	r.phase = Refused
	run := errkind.NotExecuted
	if kind == errkind.KeyInProgress || kind == errkind.KeyUnverifiable {
		run = errkind.ExecutionUnknown
	}
	return Failure{Kind: kind, Run: run, Try: errkind.NotExecuted}
}

func unknownOutcome(kind errkind.Kind) Failure {
	if kind.Properties().Execution != errkind.ExecutionUnknown {
		kind = errkind.BackendFailed
	}
	return Failure{Kind: kind, Run: errkind.ExecutionUnknown, Try: errkind.ExecutionUnknown}
}
