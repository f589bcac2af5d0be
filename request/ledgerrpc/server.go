package ledgerrpc

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// server answers the calls of peers out of the keeper's book.
type server struct{ keeper *Node }

func (s server) check(service string, claim *ledgerpb.Claim) error {
	if err := s.checkService(service); err != nil {
		return err
	}
	switch {
	case claim.GetKey() == "":
		return twirp.RequiredArgumentError("claim.key")
	case claim.GetToken() == "":
		return twirp.RequiredArgumentError("claim.token")
	}
	return nil
}

func (s server) checkService(service string) error {
	if service == s.keeper.options.Service {
		return nil
	}
	return twirp.NewErrorf(twirp.FailedPrecondition, "this agent belongs to service %q, not %q", s.keeper.options.Service, service)
}

// Claim implements ledgerpb.Ledger.
func (s server) Claim(_ context.Context, req *ledgerpb.ClaimRequest) (*ledgerpb.ClaimReply, error) {
	if err := s.check(req.GetService(), req.GetClaim()); err != nil {
		return nil, err
	}
	now := s.keeper.options.Now()
	reply := s.keeper.claimLocally(claimFromProto(req.GetClaim(), now), now)
	return replyToProto(reply, now), nil
}

// Release implements ledgerpb.Ledger.
func (s server) Release(_ context.Context, req *ledgerpb.ReleaseRequest) (*ledgerpb.ReleaseReply, error) {
	if err := s.check(req.GetService(), req.GetClaim()); err != nil {
		return nil, err
	}
	now := s.keeper.options.Now()
	s.keeper.releaseLocally(claimFromProto(req.GetClaim(), now), now)
	return &ledgerpb.ReleaseReply{}, nil
}

// Complete implements ledgerpb.Ledger.
func (s server) Complete(_ context.Context, req *ledgerpb.CompleteRequest) (*ledgerpb.CompleteReply, error) {
	if err := s.check(req.GetService(), req.GetClaim()); err != nil {
		return nil, err
	}
	now := s.keeper.options.Now()
	claim := claimFromProto(req.GetClaim(), now)
	s.keeper.completeLocally(claim, resultFromProto(req.GetResult()), now)
	return &ledgerpb.CompleteReply{}, nil
}

// Members implements ledgerpb.Ledger.
func (s server) Members(_ context.Context, req *ledgerpb.MembersRequest) (*ledgerpb.MembersReply, error) {
	if err := s.checkService(req.GetService()); err != nil {
		return nil, err
	}
	members, confirmed := s.keeper.members()
	statement, vouches := s.keeper.statement()
	return &ledgerpb.MembersReply{
		Members:   members,
		Confirmed: confirmed,
		Vouches:   vouches,
		SinceMs:   s.keeper.options.Now().Sub(statement.Since).Milliseconds(),
		Quorum:    int32(statement.Quorum),
	}, nil
}

// Export implements ledgerpb.Ledger.
func (s server) Export(_ context.Context, req *ledgerpb.ExportRequest) (*ledgerpb.ExportReply, error) {
	if err := s.checkService(req.GetService()); err != nil {
		return nil, err
	}
	now := s.keeper.options.Now()
	statement, vouches, entries := s.keeper.export(now)
	reply := &ledgerpb.ExportReply{
		Vouches: vouches,
		SinceMs: now.Sub(statement.Since).Milliseconds(),
		Quorum:  int32(statement.Quorum),
	}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, entryToProto(e, now))
	}
	return reply, nil
}

func entryToProto(e ledger.Entry, now time.Time) *ledgerpb.Entry {
	p := &ledgerpb.Entry{Claim: claimToProto(e.Claim, now), Done: e.Done()}
	if e.Done() {
		p.Result = resultToProto(e.Result)
	}
	return p
}
