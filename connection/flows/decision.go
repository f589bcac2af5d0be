package flows

import "net/netip"

// Verdict is the action to take on a segment.
type Verdict uint8

// The verdicts.
const (
	// Drop discards the segment.
	Drop Verdict = iota
	// Deliver hands the segment to its receiver: an inbound one to the local TCP
	// endpoint, an outbound one to the fabric.
	Deliver
	// Forward sends the segment to the agent at Decision.To.
	Forward
)

// Reason is why a segment was dropped.
type Reason uint8

// The reasons.
const (
	// ReasonNone is the reason of a segment that was not dropped.
	ReasonNone Reason = iota
	// ReasonSuspended is a segment while the agent's failure domain is out of
	// service.
	ReasonSuspended
	// ReasonWrongService is a segment to an address not served here.
	ReasonWrongService
	// ReasonHopLimit is a segment that was forwarded too often.
	ReasonHopLimit
	// ReasonNoHolder is a segment of a flow that no reachable agent holds.
	ReasonNoHolder
	// ReasonDraining is a new flow that reached a draining agent.
	ReasonDraining
	// ReasonTableFull is a new flow while the flow table is full or has too many
	// half-open flows.
	ReasonTableFull
	// ReasonUnknownFlow is an outbound segment of a flow not in the flow table.
	ReasonUnknownFlow
	// ReasonForeignReset is an outbound reset of a flow that is not established at
	// this agent and may be established at another.
	ReasonForeignReset
	// ReasonSuperseded is an outbound segment to a caller that acknowledged another
	// agent's SYN-ACK.
	ReasonSuperseded
	// ReasonStaleAcknowledgement is an acknowledgement that arrived after a newer
	// one.
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

// String returns the name of the reason in metrics. The names must not change.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Decision is the verdict on one segment and its parameters.
type Decision struct {
	// Verdict is the action to take on the segment.
	Verdict Verdict
	// To is the address of the agent that a segment is forwarded to.
	To netip.AddrPort
	// Reason is why the segment is dropped.
	Reason Reason
}

func drop(reason Reason) Decision {
	return Decision{Verdict: Drop, Reason: reason}
}

func deliver() Decision {
	return Decision{Verdict: Deliver}
}
