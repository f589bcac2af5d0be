package ledgerrpc

import (
	"context"
	"sync"
	"time"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// minBackfillGain is the minimum extension of the coverage that justifies copying
// all entries of the peers.
const minBackfillGain = time.Second

// backfill copies the entries of the peers, so that the agent covers times before
// its own start. It fetches the entries only if the coverage of the peers starts
// earlier.
func (n *Node) backfill(ctx context.Context) {
	peers, quorum := n.backfillPeers(n.options.Now())
	if len(peers) == 0 || !n.backfillUseful(ctx, peers, quorum) {
		return
	}
	replies := fetchExports(ctx, n.options.Service, peers)
	now := n.options.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	coverages := make([]ledger.Coverage, 0, len(replies))
	for _, reply := range replies {
		n.importEntries(reply, now)
		coverages = appendCoverage(coverages, reply, now)
	}
	own, ok := n.replica.Coverage()
	plan, enough := ledger.PlanBackfill(coverages, quorum)
	if ok && enough && plan.Since.Before(own.Since) {
		n.membership.Backfill(plan.Since, plan.Quorum)
	}
}

func (n *Node) backfillUseful(ctx context.Context, peers []ledgerpb.Ledger, quorum int) bool {
	var coverages []ledger.Coverage
	replies := fetchMembers(ctx, n.options.Service, peers)
	now := n.options.Now()
	for _, reply := range replies {
		coverages = appendCoverage(coverages, reply, now)
	}
	own, _ := n.coverage()
	plan, enough := ledger.PlanBackfill(coverages, quorum)
	return enough && plan.Since.Before(own.Since.Add(-minBackfillGain))
}

// coverageReply is a reply that contains the coverage of a peer.
type coverageReply interface {
	GetVouches() bool
	GetSinceMs() int64
	GetQuorum() int32
}

func appendCoverage(coverages []ledger.Coverage, reply coverageReply, now time.Time) []ledger.Coverage {
	if !reply.GetVouches() {
		return coverages
	}
	return append(coverages, ledger.Coverage{
		Since:  now.Add(-time.Duration(reply.GetSinceMs()) * time.Millisecond),
		Quorum: int(reply.GetQuorum()),
	})
}

// backfillPeers returns the peers to copy from, and the quorum. It returns none
// until all peers know the agent, and none once its coverage spans the
// retention.
func (n *Node) backfillPeers(now time.Time) ([]ledgerpb.Ledger, int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own, ok := n.replica.Coverage()
	if !ok || now.Before(own.Since) || n.membership.Backfilled() {
		return nil, 0
	}
	if now.Sub(own.Since) > ledger.Retention {
		return nil, 0
	}
	var peers []ledgerpb.Ledger
	for _, name := range n.membership.Members() {
		if client := n.clients[name]; client != nil && name != n.options.Self {
			peers = append(peers, client)
		}
	}
	return peers, own.Quorum
}

func (n *Node) importEntries(reply *ledgerpb.ExportReply, now time.Time) {
	for _, e := range reply.GetEntries() {
		claim := claimFromProto(e.GetClaim(), now)
		n.replica.Import(ledger.NewEntry(claim, now, e.GetDone(), resultFromProto(e.GetResult())), now)
	}
}

func fetchExports(ctx context.Context, service string, peers []ledgerpb.Ledger) []*ledgerpb.ExportReply {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	return callAll(peers, func(peer ledgerpb.Ledger) (*ledgerpb.ExportReply, error) {
		return peer.Export(ctx, &ledgerpb.ExportRequest{Service: service})
	})
}

// callAll calls every peer concurrently and returns the replies of the calls that
// succeed.
func callAll[Reply any](peers []ledgerpb.Ledger, call func(ledgerpb.Ledger) (Reply, error)) []Reply {
	var mu sync.Mutex
	var replies []Reply
	var wait sync.WaitGroup
	for _, peer := range peers {
		wait.Go(func() {
			reply, err := call(peer)
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
