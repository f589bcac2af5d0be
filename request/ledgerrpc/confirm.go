package ledgerrpc

import (
	"context"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// maxConfirmPeers is the maximum number of peers queried for their members.
const maxConfirmPeers = 16

// confirm queries the peers for their members until the members are confirmed.
func (n *Node) confirm(ctx context.Context) {
	peers := n.confirmPeers()
	if len(peers) == 0 {
		return
	}
	var replies []ledger.PeerView
	for _, reply := range fetchMembers(ctx, n.options.Service, peers) {
		replies = append(replies, ledger.PeerView{Members: reply.GetMembers(), Confirmed: reply.GetConfirmed()})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.membership.Confirm(replies, n.options.Now())
}

// confirmPeers returns the peers to query for their members, none if the members
// are confirmed.
func (n *Node) confirmPeers() []ledgerpb.Ledger {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.membership.Confirmed() {
		return nil
	}
	var peers []ledgerpb.Ledger
	for _, name := range n.membership.AlivePeers() {
		if client := n.clients[name]; client != nil && len(peers) < maxConfirmPeers {
			peers = append(peers, client)
		}
	}
	return peers
}

func fetchMembers(ctx context.Context, service string, peers []ledgerpb.Ledger) []*ledgerpb.MembersReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return callAll(peers, func(peer ledgerpb.Ledger) (*ledgerpb.MembersReply, error) {
		return peer.Members(ctx, &ledgerpb.MembersRequest{Service: service})
	})
}
