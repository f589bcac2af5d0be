package caller

import "bergamotbank/errkind"

// Outcome is the result of a request or flow from the caller's point of view.
type Outcome uint8

// The outcomes of requests and flows.
const (
	// OutcomeAnswered is a complete response that belongs to the request.
	OutcomeAnswered Outcome = iota
	// OutcomeNotRun is a refusal that guarantees that the request did not run.
	OutcomeNotRun
	// OutcomeUnknown is an error response after which the request may have run.
	OutcomeUnknown
	// OutcomeRejected is a 4xx response that does not say whether the request ran.
	OutcomeRejected
	// OutcomeNotConnected is a flow that was never established.
	OutcomeNotConnected
	// OutcomeBroken is an established flow that ended before the response was
	// complete.
	OutcomeBroken
	// OutcomeTimeout is a flow without a response by the caller's deadline.
	OutcomeTimeout
	// OutcomeCorrupted is a response that ended normally but fails its checksum or
	// cannot be decoded.
	OutcomeCorrupted
	// OutcomeWrongService is a response from another service.
	OutcomeWrongService
	// OutcomeMismatched is a response to another request.
	OutcomeMismatched
	// OutcomeGap is a status stream that skipped or repeated a line, or whose server
	// changed.
	OutcomeGap
	// OutcomeCanceled is a request that the caller canceled deliberately.
	OutcomeCanceled
	// OutcomeOverrun is an arrival that was not sent because the caller had too many
	// requests in flight.
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

// UnmarshalText parses the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return errkind.New(errkind.Malformed, "unknown outcome %q", text)
}
