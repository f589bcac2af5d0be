package ledgerrpc

import (
	"context"
	"sync"

	"bergamotbank/request/ledger/ledgerpb"
)

type replicaCall func(ctx context.Context, client ledgerpb.Ledger, claim *ledgerpb.Claim) error

// notify tells the other homes of the end of the try, side by side.
func (p *Permit) notify(call replicaCall) {
	homes, _ := p.node.replicasOf(p.claim.Key.Value)
	var wait sync.WaitGroup
	for _, h := range homes {
		if h.client != nil && !h.self {
			wait.Go(func() { p.notifyReplica(h.client, call) })
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
