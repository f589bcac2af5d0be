package spread

import (
	"context"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// leafTTL is how long a leaf is kept after its last query.
const leafTTL = 10 * time.Second

// maxLeaves is the maximum number of leaves that are kept.
const maxLeaves = 4096

// leaf is a leaf that has queried this process.
type leaf struct {
	peer          Peer
	version       uint64
	activeVersion uint64
	queriedAt     time.Time
}

// leafTable holds the leaves that have queried this process recently.
type leafTable struct {
	mu     sync.Mutex
	leaves map[string]leaf
}

func newLeafTable() *leafTable {
	return &leafTable{leaves: make(map[string]leaf)}
}

func (t *leafTable) record(l leaf) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.leaves[l.peer.Name]; !known && len(t.leaves) >= maxLeaves {
		return
	}
	t.leaves[l.peer.Name] = l
}

// recent returns the leaves that have queried within leafTTL and removes the
// others.
func (t *leafTable) recent(now time.Time) []leaf {
	t.mu.Lock()
	defer t.mu.Unlock()
	var leaves []leaf
	for name, l := range t.leaves {
		if now.Sub(l.queriedAt) > leafTTL {
			delete(t.leaves, name)
			continue
		}
		leaves = append(leaves, l)
	}
	return leaves
}

// service implements the Twirp service for peers and operators.
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
		s.spreader.leaves.record(leaf{peer: from, version: r.GetVersion(), activeVersion: r.GetInForce(), queriedAt: time.Now()})
	}
	s.spreader.ObserveVersion(r.GetVersion(), from)
	current := s.spreader.current.Load()
	status := s.spreader.status.Load()
	response := &spreadpb.AskResponse{
		Version:      current.Root.Version,
		Synchronized: status.synchronized,
		StoreAgeMs:   ageMillis(status.storeContact, time.Now()),
	}
	if current.Root.Version > r.GetVersion() {
		response.Root = rootToWire(current.Root)
	}
	return response, nil
}

// Sections implements spreadpb.Spread.
func (s *service) Sections(_ context.Context, r *spreadpb.SectionsRequest) (*spreadpb.SectionsResponse, error) {
	current := s.spreader.current.Load()
	response := &spreadpb.SectionsResponse{}
	for _, wire := range r.GetHashes() {
		hash, err := hashFromWire(wire)
		if err != nil {
			return nil, twirp.InvalidArgumentError("hashes", err.Error())
		}
		if text, found := current.Texts[hash]; found {
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
	current := s.spreader.current.Load()
	texts := make(publish.Texts)
	for hash, text := range current.Texts {
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
	return &spreadpb.OfferResponse{Version: max(current.Root.Version, root.Version)}, nil
}

// Status implements spreadpb.Spread.
func (s *service) Status(_ context.Context, _ *spreadpb.StatusRequest) (*spreadpb.StatusResponse, error) {
	response := &spreadpb.StatusResponse{Self: s.spreader.processStatus()}
	now := time.Now()
	for _, l := range s.spreader.leaves.recent(now) {
		response.Leaves = append(response.Leaves, &spreadpb.ProcessStatus{
			Peer: peerToWire(l.peer), Version: l.version, InForce: l.activeVersion, Leaf: true,
			Ready: l.activeVersion > 0, StoreAgeMs: unknownAge,
			StatusAgeMs: ageMillis(l.queriedAt, now),
		})
	}
	for _, p := range s.spreader.options.Peers() {
		response.Peers = append(response.Peers, peerToWire(p))
	}
	return response, nil
}

func (s *Spreader) processStatus() *spreadpb.ProcessStatus {
	status := s.status.Load()
	return &spreadpb.ProcessStatus{
		Peer:            peerToWire(s.options.Self),
		Version:         s.current.Load().Root.Version,
		InForce:         s.ActiveVersion(),
		Ready:           s.Ready(),
		Watching:        status.watching,
		StoreAgeMs:      ageMillis(status.storeContact, time.Now()),
		Leaf:            s.options.Store == nil,
		RejectedVersion: status.rejected.version,
		RejectedReason:  status.rejected.reason,
	}
}
