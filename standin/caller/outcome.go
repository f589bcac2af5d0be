package caller

import "bergamotbank/errkind"

// Outcome is how a request or flow ended, as its caller saw it.
type Outcome uint8

// The outcomes of requests and flows.
const (
	// OutcomeAnswered is a whole answer to the caller's own request.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun is a refusal that promises that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown is an answer that admits that the request may have run.
	OutcomeUnknown
	// OutcomeRejected is an answer 4xx without a promise.
	OutcomeRejected
	// OutcomeNotConnected is a flow that was never established.
	OutcomeNotConnected
	// OutcomeBroken is an established flow that ended before the whole answer.
	OutcomeBroken
	// OutcomeTimeout is a flow that stayed silent until the caller's deadline.
	OutcomeTimeout
	// OutcomeCorrupted is an answer that looks whole and is not.
	OutcomeCorrupted
	// OutcomeWrongService is an answer of another service.
	OutcomeWrongService
	// OutcomeMismatched is an answer to another request.
	OutcomeMismatched
	// OutcomeGap is a status stream that lost or repeated a line or changed its
	// server.
	OutcomeGap
	// OutcomeCanceled is a request that the caller gave up on purpose.
	OutcomeCanceled
	// OutcomeOverrun is an arrival that was not sent, because too many requests
	// were in flight at the caller.
	OutcomeOverrun

	outcomeCount
)

var outcomeNames = [outcomeCount]string{
	"answered", "not_run", "unknown", "rejected", "not_connected", "broken",
	"timeout", "cut", "wrong_service", "crossed", "gap", "canceled", "overrun",
}

// String returns the name of the outcome in reports.
func (o Outcome) String() string {
	if o >= outcomeCount {
		return "invalid"
	}
	return outcomeNames[o]
}

// MarshalText returns the name of the outcome.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText reads the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return errkind.New(errkind.Malformed, "outcome %q is not known", text)
}
