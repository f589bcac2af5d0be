package ledgerrpc

import (
	"context"
	"sync"

	"bergamotbank/request/ledger/ledgerpb"
)

type replicaCall func(ctx context.Context, client ledgerpb.Ledger, claim *ledgerpb.Claim) error

// notify makes the call to all other replicas of the key concurrently.
func (p *Permit) notify(call replicaCall) {
	replicas, _ := p.node.replicasOf(p.claim.Key.Value)
	var wait sync.WaitGroup
	for _, r := range replicas {
		if r.client != nil && !r.self {
			wait.Go(func() { p.notifyReplica(r.client, call) })
		}
	}
	wait.Wait()
}

func (p *Permit) notifyReplica(client ledgerpb.Ledger, call replicaCall) {
	for range notifyAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		err := call(ctx, client, claimToProto(p.claim, p.node.options.Now()))
		cancel()
		if err == nil {
			return
		}
	}
}
