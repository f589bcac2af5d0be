package caller

import (
	"fmt"

	"bergamotbank/errkind"
)

// checkExpectations adds the enabled expectations that the report does not meet to
// Unmet.
func (c *Command) checkExpectations(r *Report) {
	t := r.Totals
	mustBeZero := []struct {
		enabled     bool
		description string
		count       uint64
	}{
		{c.ExpectNoBroken, "broken flows", t.BrokenFlows},
		{c.ExpectUncorrupted, "corrupted responses", t.CorruptedResponses},
		{c.ExpectUncorrupted, "responses from the wrong service", t.WrongService},
		{c.ExpectUncorrupted, "responses to another request", t.MismatchedResponses},
		{c.ExpectNoUnknown, "unknown outcomes", t.Unknown},
		{c.ExpectNoRefusal, "requests refused", t.NotRun},
		{c.ExpectConnected, "flows not established", t.NotConnected},
	}
	for _, expectation := range mustBeZero {
		if expectation.enabled && expectation.count > 0 {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%d %s", expectation.count, expectation.description))
		}
	}
	if t.Responses < c.ExpectResponses {
		r.Unmet = append(r.Unmet, fmt.Sprintf("%d responses, expected at least %d", t.Responses, c.ExpectResponses))
	}
}

// unmetError returns an error if an expectation was not met.
func (r *Report) unmetError() error {
	if len(r.Unmet) == 0 {
		return nil
	}
	return errkind.New(errkind.Partial, "expectations not met: %v", r.Unmet)
}
