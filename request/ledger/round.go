package ledger

import "time"

// Decision is the outcome of the replies to a claim.
type Decision uint8

// The decisions on a claim.
const (
	// Pending means that further replies are needed.
	Pending Decision = iota
	// Run means that the request may run, once.
	Run
	// Replay means that the request has ended and its result is stored.
	Replay
	// Wait means that another attempt holds the key.
	Wait
	// Reject means that the key was used for a different request.
	Reject
	// NoQuorum means that too few replicas could be reached or cover the key.
	NoQuorum
)

// Round collects the replies to one claim. It is not safe for concurrent use.
type Round struct {
	outstanding int
	grants      int
	quorum      int
	held        bool
	heldUntil   time.Time
	decision    Decision
	result      Result
}

// NewRound returns a round over the given number of replicas, with the number of
// grants that the claiming agent computes from its own view.
func NewRound(replicas, quorum int) *Round {
	return &Round{outstanding: replicas, quorum: quorum}
}

// Result returns the stored result if the decision is Replay.
func (r *Round) Result() Result { return r.result }

// HeldUntil returns the latest time until which another attempt may run.
func (r *Round) HeldUntil() time.Time { return r.heldUntil }

// AddNoReply counts a replica that did not reply.
func (r *Round) AddNoReply() Decision {
	r.outstanding--
	return r.decide()
}

// Add counts a reply. A decision other than Pending is final.
func (r *Round) Add(reply Reply) Decision {
	r.outstanding--
	r.quorum = max(r.quorum, reply.Quorum)
	switch reply.Verdict {
	case Granted:
		r.grants++
	case Held:
		r.held = true
		if reply.HeldUntil.After(r.heldUntil) {
			r.heldUntil = reply.HeldUntil
		}
	case Done:
		r.setDecision(Replay)
		r.result = reply.Result
	case Mismatch:
		r.setDecision(Reject)
	case Abstained:
	}
	return r.decide()
}

func (r *Round) setDecision(d Decision) {
	if r.decision == Pending {
		r.decision = d
	}
}

// decide updates the decision. A request does not run while another attempt holds its
// key, but the round stays open because a later reply may contain the result.
func (r *Round) decide() Decision {
	switch {
	case r.decision != Pending:
	case r.held && r.outstanding > 0:
	case r.held:
		r.decision = Wait
	case r.quorum > 0 && r.grants >= r.quorum:
		r.decision = Run
	case r.grants+r.outstanding < r.quorum || r.outstanding == 0:
		r.decision = NoQuorum
	}
	return r.decision
}
