package ledgerrpc

import (
	"net/http"
	"time"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

func claimToProto(c ledger.Claim, now time.Time) *ledgerpb.Claim {
	p := &ledgerpb.Claim{
		Key:         c.Key.Value,
		First:       c.Key.First,
		Fingerprint: uint64(c.Fingerprint),
		Token:       c.Token,
		Executor:    c.Executor,
		RemainingMs: c.Deadline.Sub(now).Milliseconds(),
	}
	if !c.Key.Issued.IsZero() {
		p.IssuedUnixMs = c.Key.Issued.UnixMilli()
	}
	return p
}

func claimFromProto(p *ledgerpb.Claim, now time.Time) ledger.Claim {
	c := ledger.Claim{
		Key:         ledger.Key{Value: p.GetKey(), First: p.GetFirst()},
		Fingerprint: ledger.Fingerprint(p.GetFingerprint()),
		Token:       p.GetToken(),
		Executor:    p.GetExecutor(),
		Deadline:    now.Add(time.Duration(p.GetRemainingMs()) * time.Millisecond),
	}
	if p.GetIssuedUnixMs() != 0 {
		c.Key.Issued = time.UnixMilli(p.GetIssuedUnixMs())
	}
	return c
}

func resultToProto(r ledger.Result) *ledgerpb.Result {
	p := &ledgerpb.Result{
		Unknown:  r.Outcome == ledger.OutcomeUnknown,
		Status:   int32(r.Status),
		Body:     r.Body,
		BodyKept: r.BodyStored,
	}
	for name, values := range r.Header {
		p.Header = append(p.Header, &ledgerpb.Header{Name: name, Values: values})
	}
	return p
}

func resultFromProto(p *ledgerpb.Result) ledger.Result {
	r := ledger.Result{
		Status:     int(p.GetStatus()),
		Header:     make(http.Header, len(p.GetHeader())),
		Body:       p.GetBody(),
		BodyStored: p.GetBodyKept(),
	}
	if p.GetUnknown() {
		r.Outcome = ledger.OutcomeUnknown
	}
	for _, h := range p.GetHeader() {
		r.Header[h.GetName()] = h.GetValues()
	}
	return r
}

func replyToProto(r ledger.Reply, now time.Time) *ledgerpb.ClaimReply {
	p := &ledgerpb.ClaimReply{
		Verdict: verdictToProto(r.Verdict),
		Quorum:  int32(r.Quorum),
	}
	if r.Verdict == ledger.Held {
		p.HeldMs = r.HeldUntil.Sub(now).Milliseconds()
	}
	if r.Verdict == ledger.Done {
		p.Result = resultToProto(r.Result)
	}
	return p
}

func replyFromProto(p *ledgerpb.ClaimReply, now time.Time) ledger.Reply {
	r := ledger.Reply{
		Verdict: verdictFromProto(p.GetVerdict()),
		Quorum:  int(p.GetQuorum()),
	}
	if r.Verdict == ledger.Held {
		r.HeldUntil = now.Add(time.Duration(p.GetHeldMs()) * time.Millisecond)
	}
	if r.Verdict == ledger.Done {
		r.Result = resultFromProto(p.GetResult())
	}
	return r
}

func verdictToProto(v ledger.Verdict) ledgerpb.Verdict {
	switch v {
	case ledger.Granted:
		return ledgerpb.Verdict_VERDICT_GRANTED
	case ledger.Held:
		return ledgerpb.Verdict_VERDICT_HELD
	case ledger.Done:
		return ledgerpb.Verdict_VERDICT_DONE
	case ledger.Mismatch:
		return ledgerpb.Verdict_VERDICT_MISMATCH
	case ledger.Abstained:
	}
	return ledgerpb.Verdict_VERDICT_ABSTAINED
}

// verdictFromProto takes a verdict that it does not know for an abstention, the
// one that promises nothing.
func verdictFromProto(v ledgerpb.Verdict) ledger.Verdict {
	switch v {
	case ledgerpb.Verdict_VERDICT_GRANTED:
		return ledger.Granted
	case ledgerpb.Verdict_VERDICT_HELD:
		return ledger.Held
	case ledgerpb.Verdict_VERDICT_DONE:
		return ledger.Done
	case ledgerpb.Verdict_VERDICT_MISMATCH:
		return ledger.Mismatch
	case ledgerpb.Verdict_VERDICT_ABSTAINED:
	}
	return ledger.Abstained
}
