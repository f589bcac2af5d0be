package caller

import (
	"fmt"

	"bergamotbank/errkind"
)

// check lists the stated expectations that the report does not meet.
func (c *Command) check(r *Report) {
	t := r.Totals
	none := []struct {
		stated bool
		what   string
		count  uint64
	}{
		{c.ExpectNoBroken, "broken flows", t.BrokenFlows},
		{c.ExpectWhole, "cut answers", t.CorruptedResponses},
		{c.ExpectWhole, "answers of a wrong service", t.WrongService},
		{c.ExpectWhole, "answers to another request", t.MismatchedResponses},
		{c.ExpectNoUnknown, "answers unknown", t.Unknown},
		{c.ExpectNoRefusal, "refusals", t.NotRun},
		{c.ExpectConnected, "flows not connected", t.NotConnected},
	}
	for _, expectation := range none {
		if expectation.stated && expectation.count > 0 {
			r.Unmet = append(r.Unmet, fmt.Sprintf("%d %s", expectation.count, expectation.what))
		}
	}
	if t.Responses < c.ExpectAnswers {
		r.Unmet = append(r.Unmet, fmt.Sprintf("%d answers of %d", t.Responses, c.ExpectAnswers))
	}
}

// unmet returns an error if an expectation did not hold.
func (r *Report) unmet() error {
	if len(r.Unmet) == 0 {
		return nil
	}
	return errkind.New(errkind.Partial, "expectations not met: %v", r.Unmet)
}
