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
	// maxConflictWait limits the wait for another attempt with the same key.
	maxConflictWait = 2 * time.Second
	// minPollInterval and maxPollInterval limit the time between two claims of a
	// key that another attempt holds.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 100 * time.Millisecond
	// heldMargin is added to the time until which another attempt may run.
	heldMargin = time.Second
	// releaseTimeout limits the wait for replicas to confirm a release.
	releaseTimeout = 100 * time.Millisecond
	// notifyAttempts is the maximum number of calls to notify a replica of the end
	// of an attempt.
	notifyAttempts = 3
)

// Request is a request with an idempotency key that is to be run.
type Request struct {
	// Key is the idempotency key.
	Key ledger.Key
	// Fingerprint is the fingerprint of the request.
	Fingerprint ledger.Fingerprint
	// Timeout is the time after which the request is no longer running.
	Timeout time.Duration
}

// Permit is the right to run one keyed request once. The holder must call exactly
// one of Release and Complete.
type Permit struct {
	node  *Node
	claim ledger.Claim
}

// Acquire returns a permit, or the result of an earlier attempt with the key, or
// an error: KeyMismatch, KeyInProgress, KeyUnverifiable; PeerUnavailable if the
// caller marked the request as its first and too few replicas could be reached;
// Canceled if ctx is done.
func (n *Node) Acquire(ctx context.Context, req Request) (*Permit, *ledger.Result, error) {
	deadline := n.options.Now().Add(req.Timeout)
	waitUntil := n.options.Now().Add(min(maxConflictWait, req.Timeout))
	for {
		claim := n.newClaim(req, deadline)
		round, decision := n.runRound(ctx, claim)
		permit := &Permit{node: n, claim: claim}
		if decision != ledger.Run && decision != ledger.Replay {
			permit.releaseWithTimeout()
		}
		switch decision {
		case ledger.Run:
			return permit, nil, nil
		case ledger.Replay:
			result := round.Result()
			return nil, &result, nil
		case ledger.Reject:
			return nil, nil, errkind.New(errkind.KeyMismatch, "key %q was used for a different request", req.Key.Value)
		case ledger.NoQuorum, ledger.Pending:
			return nil, nil, noQuorumError(ctx, req.Key)
		case ledger.Wait:
		}
		if err := n.waitForHolder(ctx, req.Key, round.HeldUntil(), waitUntil); err != nil {
			return nil, nil, err
		}
	}
}

func (n *Node) newClaim(req Request, deadline time.Time) ledger.Claim {
	return ledger.Claim{
		Key:         req.Key,
		Fingerprint: req.Fingerprint,
		Token:       rand.Text(),
		Executor:    n.options.Self,
		Deadline:    deadline,
	}
}

func noQuorumError(ctx context.Context, key ledger.Key) error {
	switch {
	case ctx.Err() != nil:
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "claim key %q", key.Value)
	case key.First:
		return errkind.New(errkind.PeerUnavailable, "too few agents could grant key %q", key.Value)
	default:
		return errkind.New(errkind.KeyUnverifiable, "too few agents can vouch that key %q was not used before", key.Value)
	}
}

// waitForHolder waits before the next claim of a key that another attempt holds.
func (n *Node) waitForHolder(ctx context.Context, key ledger.Key, heldUntil, waitUntil time.Time) error {
	now := n.options.Now()
	if now.After(heldUntil.Add(heldMargin)) {
		return errkind.New(errkind.KeyUnverifiable, "the first try of key %q never reported its end", key.Value)
	}
	interval := randomPollInterval()
	if now.Add(interval).After(waitUntil) {
		return errkind.New(errkind.KeyInProgress, "another try of key %q still runs", key.Value)
	}
	select {
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "wait for another try of key %q", key.Value)
	case <-time.After(interval):
		return nil
	}
}

// randomPollInterval returns a random interval, so that two attempts that
// conflicted do not conflict again.
func randomPollInterval() time.Duration {
	n, err := rand.Int(rand.Reader, big.NewInt(int64(maxPollInterval-minPollInterval)))
	if err != nil {
		return maxPollInterval
	}
	return minPollInterval + time.Duration(n.Int64())
}

// runRound sends the claim to every replica and returns once there is a decision.
// Pending calls continue, so that every replica records the claim.
func (n *Node) runRound(ctx context.Context, claim ledger.Claim) (*ledger.Round, ledger.Decision) {
	replicas, quorum := n.replicasOf(claim.Key.Value)
	round := ledger.NewRound(len(replicas), quorum)
	if len(replicas) == 0 {
		return round, ledger.NoQuorum
	}
	replies := make(chan *ledger.Reply, len(replicas))
	for _, r := range replicas {
		go func() { replies <- n.claimAt(context.WithoutCancel(ctx), r, claim) }()
	}
	for range replicas {
		select {
		case <-ctx.Done():
			return round, ledger.NoQuorum
		case reply := <-replies:
			if decision := addReply(round, reply); decision != ledger.Pending {
				return round, decision
			}
		}
	}
	return round, ledger.NoQuorum
}

func addReply(round *ledger.Round, reply *ledger.Reply) ledger.Decision {
	if reply == nil {
		return round.AddNoReply()
	}
	return round.Add(*reply)
}

// claimAt sends the claim to one replica and returns nil if there is no response.
func (n *Node) claimAt(ctx context.Context, r keyReplica, claim ledger.Claim) *ledger.Reply {
	now := n.options.Now()
	if r.self {
		reply := n.claimLocally(claim, now)
		return &reply
	}
	if r.client == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response, err := r.client.Claim(ctx, &ledgerpb.ClaimRequest{
		Service: n.options.Service,
		Claim:   claimToProto(claim, now),
	})
	if err != nil {
		return nil
	}
	reply := replyFromProto(response, n.options.Now())
	return &reply
}

// Release returns the permit unused. It returns after every replica has been
// notified or has failed to respond.
func (p *Permit) Release() {
	p.node.releaseLocally(p.claim, p.node.options.Now())
	p.notify(func(ctx context.Context, client ledgerpb.Ledger, c *ledgerpb.Claim) error {
		_, err := client.Release(ctx, &ledgerpb.ReleaseRequest{Service: p.node.options.Service, Claim: c})
		return err
	})
}

// releaseWithTimeout releases the permit and waits at most releaseTimeout for the
// replicas.
func (p *Permit) releaseWithTimeout() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Release()
	}()
	select {
	case <-done:
	case <-time.After(releaseTimeout):
	}
}

// Complete stores the result of the request on the replicas. It returns after
// every replica has been notified or has failed to respond.
func (p *Permit) Complete(result ledger.Result) {
	p.node.completeLocally(p.claim, result, p.node.options.Now())
	encoded := resultToProto(result)
	p.notify(func(ctx context.Context, client ledgerpb.Ledger, c *ledgerpb.Claim) error {
		_, err := client.Complete(ctx, &ledgerpb.CompleteRequest{
			Service: p.node.options.Service,
			Claim:   c,
			Result:  encoded,
		})
		return err
	})
}
