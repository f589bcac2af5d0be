package roster

import (
	"slices"
	"time"

	"bergamotbank/connection/passthrough"
)

// viewRequestInterval is the minimum time between two requests for the view of a member. It is
// longer than a round trip between failure domains and shorter than callers' retransmission
// timeout of 200 ms.
const viewRequestInterval = 100 * time.Millisecond

// viewRequest is a request for the agents that a member knows.
type viewRequest struct {
	sentAt time.Duration
	// parts is the set of the parts of the response that have arrived.
	parts map[int]struct{}
}

// RequestView requests the agents that a member knows. OnView is called when they have been
// added.
func (r *Roster) RequestView(peer passthrough.Endpoint, now time.Duration) {
	p := r.peers[peer]
	if p == nil || (p.view.sentAt > 0 && now-p.view.sentAt < viewRequestInterval) {
		return
	}
	p.view = viewRequest{sentAt: now, parts: map[int]struct{}{}}
	r.options.Sender.Send(passthrough.AppendViewRequest(nil, r.options.Self().Peer), peer)
}

// HandleViewRequest answers a datagram of kind ViewRequest with the agents that this process
// knows, other than those presumed failed.
func (r *Roster) HandleViewRequest(datagram []byte) {
	requester, err := passthrough.ParseViewRequest(datagram)
	if err != nil {
		r.malformed++
		return
	}
	var agents []passthrough.Endpoint
	for peer, p := range r.peers {
		if p.known && p.member.Role == Agent && !p.silent {
			agents = append(agents, peer)
		}
	}
	self := r.options.Self().Peer
	parts := slices.Collect(slices.Chunk(agents, passthrough.MaxViewAgents))
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	for i, part := range parts {
		r.options.Sender.Send(passthrough.AppendView(nil, passthrough.ViewData{Sender: self, Part: i, Parts: len(parts), Agents: part}), requester)
	}
}

// HandleView handles a datagram of kind View. The agents are contacted until they answer or are
// no longer contacted, and until then the own view is incomplete.
func (r *Roster) HandleView(datagram []byte) {
	view, err := passthrough.ParseView(datagram)
	if err != nil {
		r.malformed++
		return
	}
	for _, agent := range view.Agents {
		r.Add(agent, Agent)
	}
	p := r.peers[view.Sender]
	if p == nil || p.view.sentAt == 0 {
		return
	}
	p.view.parts[view.Part] = struct{}{}
	if len(p.view.parts) == view.Parts && r.options.OnView != nil {
		r.options.OnView(view.Sender)
	}
}
