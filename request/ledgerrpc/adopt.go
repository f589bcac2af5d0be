package ledgerrpc

import (
	"context"
	"sync"
	"time"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// minBackfillGain is the least time further back that makes it worth to transfer all keys
// of the peers.
const minBackfillGain = time.Second

// backfill learns the keys of the peers, so that the agent can vouch for times
// before its own start. It asks for the keys only when the peers say that they
// reach further back.
func (k *Node) backfill(ctx context.Context) {
	peers, quorum := k.backfillPeers(k.options.Now())
	if len(peers) == 0 || !k.backfillUseful(ctx, peers, quorum) {
		return
	}
	replies := fetchExports(ctx, k.options.Service, peers)
	now := k.options.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	statements := make([]ledger.Coverage, 0, len(replies))
	for _, reply := range replies {
		k.importEntries(reply, now)
		statements = appendCoverage(statements, reply, now)
	}
	own, ok := k.replica.Coverage()
	plan, enough := ledger.PlanBackfill(statements, quorum)
	if ok && enough && plan.Since.Before(own.Since) {
		k.membership.Backfill(plan.Since, plan.Quorum)
	}
}

func (k *Node) backfillUseful(ctx context.Context, peers []ledgerpb.Ledger, quorum int) bool {
	var statements []ledger.Coverage
	replies := fetchMembers(ctx, k.options.Service, peers)
	now := k.options.Now()
	for _, reply := range replies {
		statements = appendCoverage(statements, reply, now)
	}
	own, _ := k.coverage()
	plan, enough := ledger.PlanBackfill(statements, quorum)
	return enough && plan.Since.Before(own.Since.Add(-minBackfillGain))
}

// coverageReply is a reply with a statement about the memory of a peer.
type coverageReply interface {
	GetVouches() bool
	GetSinceMs() int64
	GetQuorum() int32
}

func appendCoverage(statements []ledger.Coverage, reply coverageReply, now time.Time) []ledger.Coverage {
	if !reply.GetVouches() {
		return statements
	}
	return append(statements, ledger.Coverage{
		Since:  now.Add(-time.Duration(reply.GetSinceMs()) * time.Millisecond),
		Quorum: int(reply.GetQuorum()),
	})
}

// backfillPeers returns the peers to learn from once the agent is known to all, while
// its own memory does not cover the retention.
func (k *Node) backfillPeers(now time.Time) ([]ledgerpb.Ledger, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	own, ok := k.replica.Coverage()
	if !ok || now.Before(own.Since) || k.membership.Backfilled() {
		return nil, 0
	}
	if now.Sub(own.Since) > ledger.Retention {
		return nil, 0
	}
	var peers []ledgerpb.Ledger
	for _, name := range k.membership.Members() {
		if client := k.clients[name]; client != nil && name != k.options.Self {
			peers = append(peers, client)
		}
	}
	return peers, own.Quorum
}

func (k *Node) importEntries(reply *ledgerpb.ExportReply, now time.Time) {
	for _, e := range reply.GetEntries() {
		claim := claimFromProto(e.GetClaim(), now)
		k.replica.Import(ledger.NewEntry(claim, now, e.GetDone(), resultFromProto(e.GetResult())), now)
	}
}

func fetchExports(ctx context.Context, service string, peers []ledgerpb.Ledger) []*ledgerpb.ExportReply {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	return callAll(peers, func(peer ledgerpb.Ledger) (*ledgerpb.ExportReply, error) {
		return peer.Export(ctx, &ledgerpb.ExportRequest{Service: service})
	})
}

// callAll asks every peer at the same time and returns the answers of those that
// give one.
func callAll[Reply any](peers []ledgerpb.Ledger, ask func(ledgerpb.Ledger) (Reply, error)) []Reply {
	var mu sync.Mutex
	var replies []Reply
	var wait sync.WaitGroup
	for _, peer := range peers {
		wait.Go(func() {
			reply, err := ask(peer)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wait.Wait()
	return replies
}
