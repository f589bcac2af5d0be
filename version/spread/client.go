package spread

import (
	"context"
	"net/http"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// Timeouts of calls to peers.
const (
	askTimeout      = time.Second
	sectionsTimeout = 3 * time.Second
	notifyTimeout   = time.Second
)

// Limits of the idle connections to peers.
const (
	idleConnections        = 32
	idleConnectionsPerPeer = 1
	idleTimeout            = 10 * time.Second
)

// peerClient calls the Twirp service of peers.
type peerClient struct {
	self      Peer
	leaf      bool
	transport *http.Transport
	http      *http.Client
}

func newPeerClient(self Peer, leaf bool) *peerClient {
	transport := &http.Transport{
		MaxIdleConns:        idleConnections,
		MaxIdleConnsPerHost: idleConnectionsPerPeer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &peerClient{self: self, leaf: leaf, transport: transport, http: &http.Client{Transport: transport}}
}

func (c *peerClient) close() {
	c.transport.CloseIdleConnections()
}

func (c *peerClient) stub(p Peer) spreadpb.Spread {
	return spreadpb.NewSpreadProtobufClient("http://"+p.Control.String(), c.http)
}

// handleError returns the error of a failed call. It closes the idle connections,
// since they may be half-open.
func (c *peerClient) handleError(err error, p Peer, call string) error {
	c.transport.CloseIdleConnections()
	return errkind.Wrap(err, errkind.PeerUnavailable, "%s %s at %s", call, p.Name, p.Control)
}

// queryResult is the result of a query to a peer.
type queryResult struct {
	status peerStatus
	// newer is a complete version above the local one, or nil if there is none.
	newer *publish.Version
	// invalid is the reason why the peer's version is invalid, or nil.
	invalid error
}

// query queries a peer. If the peer has a newer version than local, query fetches
// the sections that local lacks.
func (c *peerClient) query(ctx context.Context, p Peer, local publish.Version, activeVersion uint64) (queryResult, error) {
	response, err := c.callAsk(ctx, p, local.Root.Version, activeVersion)
	if err != nil {
		return queryResult{}, err
	}
	r := queryResult{status: peerStatus{
		version:      response.Version,
		synchronized: response.Synchronized,
		storeContact: contactTime(response.StoreAgeMs, time.Now()),
	}}
	if response.Root == nil || response.Root.Version <= local.Root.Version {
		return r, nil
	}
	root, err := rootFromWire(response.Root)
	if err != nil {
		r.invalid = err
		return r, nil
	}
	texts, err := c.fetchTexts(ctx, p, root, local.Texts)
	if err != nil {
		return queryResult{}, err
	}
	v, err := publish.Assemble(root, texts)
	if err != nil {
		r.invalid = err
		return r, nil
	}
	r.newer = &v
	return r, nil
}

func (c *peerClient) callAsk(ctx context.Context, p Peer, version, activeVersion uint64) (*spreadpb.AskResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := &spreadpb.AskRequest{From: peerToWire(c.self), Version: version, Leaf: c.leaf, InForce: activeVersion}
	response, err := c.stub(p).Ask(ctx, request)
	if err != nil {
		return nil, c.handleError(err, p, "query peer")
	}
	return response, nil
}

// fetchTexts returns the texts of a root: those in known, and the missing ones
// fetched from a peer.
func (c *peerClient) fetchTexts(ctx context.Context, p Peer, root publish.Root, known publish.Texts) (publish.Texts, error) {
	texts := make(publish.Texts, len(root.Sections))
	for hash, text := range known {
		texts[hash] = text
	}
	missing := publish.MissingSections(root, texts)
	if len(missing) == 0 {
		return texts, nil
	}
	request := &spreadpb.SectionsRequest{}
	for _, s := range missing {
		request.Hashes = append(request.Hashes, s.Hash[:])
	}
	ctx, cancel := context.WithTimeout(ctx, sectionsTimeout)
	defer cancel()
	response, err := c.stub(p).Sections(ctx, request)
	if err != nil {
		return nil, c.handleError(err, p, "fetch sections from peer")
	}
	for _, text := range response.Texts {
		texts[publish.HashOf(text)] = text
	}
	if stillMissing := publish.MissingSections(root, texts); len(stillMissing) > 0 {
		return nil, errkind.New(errkind.PeerUnavailable, "%s no longer holds section %s of version %d", p.Name, stillMissing[0].Name, root.Version)
	}
	return texts, nil
}

// notify notifies a peer of a version. Errors are ignored, since the periodic
// queries make up for lost notifications.
func (c *peerClient) notify(ctx context.Context, p Peer, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	request := &spreadpb.NotifyRequest{From: peerToWire(c.self), Version: version}
	if _, err := c.stub(p).Notify(ctx, request); err != nil {
		_ = c.handleError(err, p, "notify peer")
	}
}
