package flows

import "net/netip"

// Verdict is what to do with a segment.
type Verdict uint8

// The verdicts.
const (
	// Drop discards the segment.
	Drop Verdict = iota
	// Deliver gives the segment to the other side: an inbound one to the local
	// TCP endpoint, an outbound one to the fabric.
	Deliver
	// Pass sends the segment to the agent at Decision.To.
	Pass
)

// Reason is why a segment was dropped.
type Reason uint8

// The reasons.
const (
	// ReasonNone marks segments that were not dropped.
	ReasonNone Reason = iota
	// ReasonSuspended is a segment while the agent's failure domain is out.
	ReasonSuspended
	// ReasonWrongService is a segment to an address not served here.
	ReasonWrongService
	// ReasonHopLimit is a segment that was passed on too often.
	ReasonHopLimit
	// ReasonNoHolder is a segment of a flow that no reachable agent holds.
	ReasonNoHolder
	// ReasonDraining is a new flow that reached a draining agent.
	ReasonDraining
	// ReasonTableFull is a new flow beyond the bound of the flow table.
	ReasonTableFull
	// ReasonUnknownFlow is an outbound segment of a flow not held here.
	ReasonUnknownFlow
	// ReasonForeignReset is an outbound reset of a flow not established here.
	ReasonForeignReset
	// ReasonSuperseded is an answer to a caller that took another agent's answer.
	ReasonSuperseded
	// ReasonStaleAcknowledgement is an acknowledgement that a newer one overtook.
	ReasonStaleAcknowledgement

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	ReasonNone:                 "none",
	ReasonSuspended:            "suspended",
	ReasonWrongService:         "wrong_service",
	ReasonHopLimit:             "hop_limit",
	ReasonNoHolder:             "no_holder",
	ReasonDraining:             "draining",
	ReasonTableFull:            "table_full",
	ReasonUnknownFlow:          "unknown_flow",
	ReasonForeignReset:         "foreign_reset",
	ReasonSuperseded:           "superseded",
	ReasonStaleAcknowledgement: "stale_acknowledgement",
}

// String returns the stable name of the reason in metrics.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the verdict on one segment.
type Decision struct {
	// Verdict is what to do with the segment.
	Verdict Verdict
	// To is the agent to send a passed segment to.
	To netip.AddrPort
	// Reason tells why a dropped segment was dropped.
	Reason Reason
}

func drop(why Reason) Decision {
	return Decision{Verdict: Drop, Reason: why}
}

func deliver() Decision {
	return Decision{Verdict: Deliver}
}
