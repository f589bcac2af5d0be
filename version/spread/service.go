package spread

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// leafMemory is the time that a leaf is remembered after its last question.
const leafMemory = 10 * time.Second

// maxLeaves bounds the leaves remembered.
const maxLeaves = 4096

// leaf is a leaf that has asked.
type leaf struct {
	peer    Peer
	version uint64
	inForce uint64
	asked   time.Time
}

// leafTable remembers the leaves that have asked lately.
type leafTable struct {
	mu     sync.Mutex
	leaves map[string]leaf
}

func newLeafTable() *leafTable {
	return &leafTable{leaves: make(map[string]leaf)}
}

func (t *leafTable) note(l leaf) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaves[l.peer.Name]; !known && len(t.leaves) >= maxLeaves {
		return
	}
	t.leaves[l.peer.Name] = l
}

// recent returns the remembered leaves and forgets the others.
func (t *leafTable) recent(now time.Time) []leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaves []leaf
	for name, l := range t.leaves {
		if now.Sub(l.asked) > leafMemory {
			delete(t.leaves, name)
			continue
		}
		leaves = append(leaves, l)
	}
	return leaves
}

// service answers the twirp calls of peers and operators.
type service struct {
	spreader *Spreader
}

// Ask implements spreadpb.Spread.
func (s *service) Ask(_ context.Context, r *spreadpb.AskRequest) (*spreadpb.AskResponse, error) {
	from, err := peerFromWire(r.GetFrom())
	if err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	if r.GetLeaf() {
		s.spreader.leaves.note(leaf{peer: from, version: r.GetVersion(), inForce: r.GetInForce(), asked: time.Now()})
	}
	s.spreader.ObserveVersion(r.GetVersion(), from)
	held := s.spreader.current.Load()
	state := s.spreader.state.Load()
	response := &spreadpb.AskResponse{
		Version:      held.Root.Version,
		Synchronized: state.synchronized,
		StoreAgeMs:   ageOf(state.storeContact, time.Now()),
	}
	if held.Root.Version > r.GetVersion() {
		response.Root = rootToWire(held.Root)
	}
	return response, nil
}

// Sections implements spreadpb.Spread.
func (s *service) Sections(_ context.Context, r *spreadpb.SectionsRequest) (*spreadpb.SectionsResponse, error) {
	held := s.spreader.current.Load()
	response := &spreadpb.SectionsResponse{}
	for _, wire := range r.GetHashes() {
		hash, err := hashFromWire(wire)
		if err != nil {
			return nil, twirp.InvalidArgumentError("hashes", err.Error())
		}
		if text, found := held.Texts[hash]; found {
			response.Texts = append(response.Texts, text)
		}
	}
	return response, nil
}

// Notify implements spreadpb.Spread.
func (s *service) Notify(_ context.Context, r *spreadpb.NotifyRequest) (*spreadpb.NotifyResponse, error) {
	from, err := peerFromWire(r.GetFrom())
	if err != nil {
		return nil, twirp.InvalidArgumentError("from", err.Error())
	}
	s.spreader.ObserveVersion(r.GetVersion(), from)
	return &spreadpb.NotifyResponse{}, nil
}

// Offer implements spreadpb.Spread.
func (s *service) Offer(ctx context.Context, r *spreadpb.OfferRequest) (*spreadpb.OfferResponse, error) {
	root, err := rootFromWire(r.GetRoot())
	if err != nil {
		return nil, twirp.InvalidArgumentError("root", err.Error())
	}
	held := s.spreader.current.Load()
	texts := make(publish.Texts)
	for hash, text := range held.Texts {
		texts[hash] = text
	}
	for _, text := range r.GetTexts() {
		texts[publish.HashOf(text)] = text
	}
	v, err := publish.Assemble(root, texts)
	if err != nil {
		return nil, twirp.InvalidArgumentError("texts", err.Error())
	}
	s.spreader.learn(ctx, v, true)
	return &spreadpb.OfferResponse{Version: max(held.Root.Version, root.Version)}, nil
}

// Status implements spreadpb.Spread.
func (s *service) Status(_ context.Context, _ *spreadpb.StatusRequest) (*spreadpb.StatusResponse, error) {
	response := &spreadpb.StatusResponse{Self: s.spreader.processStatus()}
	now := time.Now()
	for _, l := range s.spreader.leaves.recent(now) {
		response.Leaves = append(response.Leaves, &spreadpb.ProcessStatus{
			Peer: peerToWire(l.peer), Version: l.version, InForce: l.inForce, Leaf: true,
			Ready: l.inForce > 0, StoreAgeMs: unknownAge,
			StatusAgeMs: ageOf(l.asked, now),
		})
	}
	for _, p := range s.spreader.options.Peers() {
		response.Peers = append(response.Peers, peerToWire(p))
	}
	return response, nil
}

func (s *Spreader) processStatus() *spreadpb.ProcessStatus {
	state := s.state.Load()
	return &spreadpb.ProcessStatus{
		Peer:            peerToWire(s.options.Self),
		Version:         s.current.Load().Root.Version,
		InForce:         s.ActiveVersion(),
		Ready:           s.Ready(),
		Watching:        state.watching,
		StoreAgeMs:      ageOf(state.storeContact, time.Now()),
		Leaf:            s.options.Store == nil,
		RejectedVersion: state.rejected.version,
		RejectedReason:  state.rejected.reason,
	}
}
