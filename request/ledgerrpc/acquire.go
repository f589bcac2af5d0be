package ledgerrpc

import (
	"context"
	"crypto/rand"
	"math/big"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

const (
	// waitForOther bounds the wait for another try under the same key.
	waitForOther = 2 * time.Second
	// minPoll and maxPoll bound the time between two looks at a key that another
	// try holds.
	minPoll = 20 * time.Millisecond
	maxPoll = 100 * time.Millisecond
	// heldMargin is added to the time until which another try may run.
	heldMargin = time.Second
	// releaseWait bounds the wait for homes to take note of a release.
	releaseWait = 100 * time.Millisecond
	// notifyAttempts is how often a home is told of the end of a try.
	notifyAttempts = 3
)

// Request is a keyed request that wants to run.
type Request struct {
	// Key is its idempotency key.
	Key ledger.Key
	// Fingerprint is that of the request.
	Fingerprint ledger.Fingerprint
	// Timeout is the time left until the request no longer runs.
	Timeout time.Duration
}

// Permit is the right to run one keyed request once. Exactly one of Release and
// Complete has to be called.
type Permit struct {
	keeper *Node
	claim  ledger.Claim
}

// Acquire returns a permit, or the result of an earlier try under the key, or an
// error: KeyMismatch, KeyInProgress, KeyUnverifiable; PeerUnavailable when the
// caller marked the request as its first and too few homes could be reached;
// Canceled when ctx ends.
func (k *Node) Acquire(ctx context.Context, req Request) (*Permit, *ledger.Result, error) {
	deadline := k.options.Now().Add(req.Timeout)
	end := k.options.Now().Add(min(waitForOther, req.Timeout))
	for {
		claim := k.newClaim(req, deadline)
		round, decision := k.round(ctx, claim)
		permit := &Permit{keeper: k, claim: claim}
		if decision != ledger.Run && decision != ledger.Replay {
			permit.releaseSoon()
		}
		switch decision {
		case ledger.Run:
			return permit, nil, nil
		case ledger.Replay:
			result := round.Result()
			return nil, &result, nil
		case ledger.Reject:
			return nil, nil, errkind.New(errkind.KeyMismatch, "key %q was used for a different request", req.Key.Value)
		case ledger.Unvouched, ledger.Pending:
			return nil, nil, unvouched(ctx, req.Key)
		case ledger.Wait:
		}
		if err := k.waitOn(ctx, req.Key, round.HeldUntil(), end); err != nil {
			return nil, nil, err
		}
	}
}

func (k *Node) newClaim(req Request, deadline time.Time) ledger.Claim {
	return ledger.Claim{
		Key:         req.Key,
		Fingerprint: req.Fingerprint,
		Token:       rand.Text(),
		Executor:    k.options.Self,
		Deadline:    deadline,
	}
}

func unvouched(ctx context.Context, key ledger.Key) error {
	switch {
	case ctx.Err() != nil:
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "claim key %q", key.Value)
	case key.First:
		return errkind.New(errkind.PeerUnavailable, "too few agents could grant key %q", key.Value)
	default:
		return errkind.New(errkind.KeyUnverifiable, "too few agents can vouch that key %q was not used before", key.Value)
	}
}

// waitOn waits before the next look at a key that another try holds.
func (k *Node) waitOn(ctx context.Context, key ledger.Key, heldUntil, end time.Time) error {
	now := k.options.Now()
	if now.After(heldUntil.Add(heldMargin)) {
		return errkind.New(errkind.KeyUnverifiable, "the first try of key %q never reported its end", key.Value)
	}
	pause := randomPause()
	if now.Add(pause).After(end) {
		return errkind.New(errkind.KeyInProgress, "another try of key %q still runs", key.Value)
	}
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "wait for another try of key %q", key.Value)
	case <-time.After(pause):
		return nil
	}
}

// randomPause keeps two tries that met from meeting again.
func randomPause() time.Duration {
	n, err := rand.Int(rand.Reader, big.NewInt(int64(maxPoll-minPoll)))
	if err != nil {
		return maxPoll
	}
	return minPoll + time.Duration(n.Int64())
}

// round makes one claim at every home and returns when it is decided. Calls that
// are still under way go on, so that every home learns of the claim.
func (k *Node) round(ctx context.Context, claim ledger.Claim) (*ledger.Round, ledger.Decision) {
	homes, quorum := k.homes(claim.Key.Value)
	round := ledger.NewRound(len(homes), quorum)
	if len(homes) == 0 {
		return round, ledger.Unvouched
	}
	replies := make(chan *ledger.Reply, len(homes))
	for _, h := range homes {
		go func() { replies <- k.claimAt(context.WithoutCancel(ctx), h, claim) }()
	}
	for range homes {
		select {
		case <-ctx.Done():
			return round, ledger.Unvouched
		case reply := <-replies:
			if decision := addReply(round, reply); decision != ledger.Pending {
				return round, decision
			}
		}
	}
	return round, ledger.Unvouched
}

func addReply(round *ledger.Round, reply *ledger.Reply) ledger.Decision {
	if reply == nil {
		return round.Missing()
	}
	return round.Add(*reply)
}

// claimAt makes the claim at one home; nil means that the home did not answer.
func (k *Node) claimAt(ctx context.Context, h home, claim ledger.Claim) *ledger.Reply {
	now := k.options.Now()
	if h.self {
		reply := k.claimLocally(claim, now)
		return &reply
	}
	if h.client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := h.client.Claim(ctx, &ledgerpb.ClaimRequest{
		Service: k.options.Service,
		Claim:   claimToProto(claim, now),
	})
	if err != nil {
		return nil
	}
	reply := replyFromProto(answer, k.options.Now())
	return &reply
}

// Release gives the permit back: nothing was run. It returns when every home has
// been told or given up.
func (p *Permit) Release() {
	p.keeper.releaseLocally(p.claim, p.keeper.options.Now())
	p.notify(func(ctx context.Context, client ledgerpb.Ledger, c *ledgerpb.Claim) error {
		_, err := client.Release(ctx, &ledgerpb.ReleaseRequest{Service: p.keeper.options.Service, Claim: c})
		return err
	})
}

// releaseSoon gives the permit back without waiting long for a home that does
// not answer.
func (p *Permit) releaseSoon() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Release()
	}()
	select {
	case <-done:
	case <-time.After(releaseWait):
	}
}

// Complete stores the result of the request at the homes. It returns when every
// home has been told or given up.
func (p *Permit) Complete(result ledger.Result) {
	p.keeper.completeLocally(p.claim, result, p.keeper.options.Now())
	encoded := resultToProto(result)
	p.notify(func(ctx context.Context, client ledgerpb.Ledger, c *ledgerpb.Claim) error {
		_, err := client.Complete(ctx, &ledgerpb.CompleteRequest{
			Service: p.keeper.options.Service,
			Claim:   c,
			Result:  encoded,
		})
		return err
	})
}
