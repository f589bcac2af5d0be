package spread

import (
	"context"
	"net/http"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread/spreadpb"
)

// Deadlines of calls to peers.
const (
	askTimeout      = time.Second
	sectionsTimeout = 3 * time.Second
	notifyTimeout   = time.Second
)

// Bounds of the connections kept to peers.
const (
	idleConnections        = 32
	idleConnectionsPerPeer = 1
	idleTimeout            = 10 * time.Second
)

// peerClient calls the twirp service of peers.
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

func (c *peerClient) to(p Peer) spreadpb.Spread {
	return spreadpb.NewSpreadProtobufClient("http://"+p.Control.String(), c.http)
}

// failed drops idle connections, since they may be silent for good.
func (c *peerClient) failed(err error, p Peer, call string) error {
	c.transport.CloseIdleConnections()
	return errkind.Wrap(err, errkind.PeerUnavailable, "%s of %s at %s", call, p.Name, p.Control)
}

// reply is what a peer brought.
type reply struct {
	summary summary
	// found is a complete version above the one held; nil when there is none.
	found *publish.Version
	// rejected tells why the peer's version is broken.
	rejected error
}

// ask asks a peer and fetches the sections that held lacks of a newer version.
func (c *peerClient) ask(ctx context.Context, p Peer, held publish.Version, inForce uint64) (reply, error) {
	response, err := c.question(ctx, p, held.Root.Version, inForce)
	if err != nil {
		return reply{}, err
	}
	r := reply{summary: summary{
		version:      response.Version,
		synchronized: response.Synchronized,
		storeContact: contactOf(response.StoreAgeMs, time.Now()),
	}}
	if response.Root == nil || response.Root.Version <= held.Root.Version {
		return r, nil
	}
	root, err := rootFromWire(response.Root)
	if err != nil {
		r.rejected = err
		return r, nil
	}
	texts, err := c.texts(ctx, p, root, held.Texts)
	if err != nil {
		return reply{}, err
	}
	v, err := publish.Assemble(root, texts)
	if err != nil {
		r.rejected = err
		return r, nil
	}
	r.found = &v
	return r, nil
}

func (c *peerClient) question(ctx context.Context, p Peer, version, inForce uint64) (*spreadpb.AskResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request := &spreadpb.AskRequest{From: peerToWire(c.self), Version: version, Leaf: c.leaf, InForce: inForce}
	response, err := c.to(p).Ask(ctx, request)
	if err != nil {
		return nil, c.failed(err, p, "question")
	}
	return response, nil
}

// texts returns the texts of a root, those held and those fetched.
func (c *peerClient) texts(ctx context.Context, p Peer, root publish.Root, held publish.Texts) (publish.Texts, error) {
	texts := make(publish.Texts, len(root.Sections))
	for hash, text := range held {
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
	response, err := c.to(p).Sections(ctx, request)
	if err != nil {
		return nil, c.failed(err, p, "sections")
	}
	for _, text := range response.Texts {
		texts[publish.HashOf(text)] = text
	}
	if still := publish.MissingSections(root, texts); len(still) > 0 {
		return nil, errkind.New(errkind.PeerUnavailable, "%s no longer holds section %s of version %d", p.Name, still[0].Name, root.Version)
	}
	return texts, nil
}

// notify tells a peer about a version; a lost notice is made up for by the
// regular questions.
func (c *peerClient) notify(ctx context.Context, p Peer, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	request := &spreadpb.NotifyRequest{From: peerToWire(c.self), Version: version}
	if _, err := c.to(p).Notify(ctx, request); err != nil {
		_ = c.failed(err, p, "notice")
	}
}
