package ledgerrpc

import (
	"context"

	"bergamotbank/request/ledger"
	"bergamotbank/request/ledger/ledgerpb"
)

// maxAsked is the number of peers that are asked for the members.
const maxAsked = 16

// confirm learns which members the peers count, once after the start.
func (k *Node) confirm(ctx context.Context) {
	peers := k.confirmable()
	if len(peers) == 0 {
		return
	}
	var replies []ledger.Knowledge
	for _, reply := range askMembers(ctx, k.options.Service, peers) {
		replies = append(replies, ledger.Knowledge{Members: reply.GetMembers(), Confirmed: reply.GetConfirmed()})
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ring.Confirm(replies, k.options.Now())
}

// confirmable returns the peers to ask for the members, none when they are
// confirmed.
func (k *Node) confirmable() []ledgerpb.Ledger {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.ring.Confirmed() {
		return nil
	}
	var peers []ledgerpb.Ledger
	for _, name := range k.ring.Present() {
		if client := k.peers[name]; client != nil && len(peers) < maxAsked {
			peers = append(peers, client)
		}
	}
	return peers
}

func askMembers(ctx context.Context, service string, peers []ledgerpb.Ledger) []*ledgerpb.MembersReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return askAll(peers, func(peer ledgerpb.Ledger) (*ledgerpb.MembersReply, error) {
		return peer.Members(ctx, &ledgerpb.MembersRequest{Service: service})
	})
}
