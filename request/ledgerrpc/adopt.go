package ledgerrpc

import (
	"context"
	"sync"
	"time"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// minGain is the least time further back that makes it worth to transfer all keys
// of the peers.
const minGain = time.Second

// adopt learns the keys of the peers, so that the agent can vouch for times
// before its own start. It asks for the keys only when the peers say that they
// reach further back.
func (k *Node) adopt(ctx context.Context) {
	peers, quorum := k.adoptable(k.options.Now())
	if len(peers) == 0 || !k.worthAdopting(ctx, peers, quorum) {
		return
	}
	replies := exportAll(ctx, k.options.Service, peers)
	now := k.options.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	statements := make([]ledger.Statement, 0, len(replies))
	for _, reply := range replies {
		k.learn(reply, now)
		statements = appendStatement(statements, reply, now)
	}
	own, ok := k.book.VouchesSince()
	plan, enough := ledger.PlanAdoption(statements, quorum)
	if ok && enough && plan.Since.Before(own.Since) {
		k.ring.Adopt(plan.Since, plan.Quorum)
	}
}

func (k *Node) worthAdopting(ctx context.Context, peers []ledgerpb.Ledger, quorum int) bool {
	var statements []ledger.Statement
	replies := askMembers(ctx, k.options.Service, peers)
	now := k.options.Now()
	for _, reply := range replies {
		statements = appendStatement(statements, reply, now)
	}
	own, _ := k.statement()
	plan, enough := ledger.PlanAdoption(statements, quorum)
	return enough && plan.Since.Before(own.Since.Add(-minGain))
}

// stater is a reply with a statement about the memory of a peer.
type stater interface {
	GetVouches() bool
	GetSinceMs() int64
	GetQuorum() int32
}

func appendStatement(statements []ledger.Statement, reply stater, now time.Time) []ledger.Statement {
	if !reply.GetVouches() {
		return statements
	}
	return append(statements, ledger.Statement{
		Since:  now.Add(-time.Duration(reply.GetSinceMs()) * time.Millisecond),
		Quorum: int(reply.GetQuorum()),
	})
}

// adoptable returns the peers to learn from once the agent is known to all, while
// its own memory does not cover the retention.
func (k *Node) adoptable(now time.Time) ([]ledgerpb.Ledger, int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	own, ok := k.book.VouchesSince()
	if !ok || now.Before(own.Since) || k.ring.Adopted() {
		return nil, 0
	}
	if now.Sub(own.Since) > ledger.Retention {
		return nil, 0
	}
	var peers []ledgerpb.Ledger
	for _, name := range k.ring.Members() {
		if client := k.peers[name]; client != nil && name != k.options.Self {
			peers = append(peers, client)
		}
	}
	return peers, own.Quorum
}

func (k *Node) learn(reply *ledgerpb.ExportReply, now time.Time) {
	for _, e := range reply.GetEntries() {
		claim := claimFromProto(e.GetClaim(), now)
		k.book.Import(ledger.NewEntry(claim, now, e.GetDone(), resultFromProto(e.GetResult())), now)
	}
}

func exportAll(ctx context.Context, service string, peers []ledgerpb.Ledger) []*ledgerpb.ExportReply {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	return askAll(peers, func(peer ledgerpb.Ledger) (*ledgerpb.ExportReply, error) {
		return peer.Export(ctx, &ledgerpb.ExportRequest{Service: service})
	})
}

// askAll asks every peer at the same time and returns the answers of those that
// give one.
func askAll[Reply any](peers []ledgerpb.Ledger, ask func(ledgerpb.Ledger) (Reply, error)) []Reply {
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
