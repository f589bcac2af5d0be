package ledgerrpc

import (
	"context"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// maxConfirmPeers is the number of peers that are asked for the members.
const maxConfirmPeers = 16

// confirm learns which members the peers count, once after the start.
func (k *Node) confirm(ctx context.Context) {
	peers := k.confirmPeers()
	if len(peers) == 0 {
		return
	}
	var replies []ledger.PeerView
	for _, reply := range fetchMembers(ctx, k.options.Service, peers) {
		replies = append(replies, ledger.PeerView{Members: reply.GetMembers(), Confirmed: reply.GetConfirmed()})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.membership.Confirm(replies, k.options.Now())
}

// confirmPeers returns the peers to ask for the members, none when they are
// confirmed.
func (k *Node) confirmPeers() []ledgerpb.Ledger {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.membership.Confirmed() {
		return nil
	}
	var peers []ledgerpb.Ledger
	for _, name := range k.membership.AlivePeers() {
		if client := k.clients[name]; client != nil && len(peers) < maxConfirmPeers {
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
