package passthrough

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

const (
	// fetchDelay is how long the watch may take to deliver a version that a heartbeat
	// announced before it is fetched from a peer. Versions that follow each other within
	// this time are fetched once.
	fetchDelay = 150 * time.Millisecond
	// firstFetchDelay replaces fetchDelay in a process without a version, which is also
	// reading the store.
	firstFetchDelay = 50 * time.Millisecond
	// otherDomainDelay is the additional time to wait for a peer of the own failure domain
	// if only processes of other domains have announced the version.
	otherDomainDelay = 300 * time.Millisecond
	// fetchTimeout limits a request to a peer.
	fetchTimeout = time.Second
	// maxConfigBytes limits the response of a peer.
	maxConfigBytes = 16 << 20
	// ConfigPath is the path at which a process serves its configuration to peers.
	ConfigPath = "/orders"
)

// fetchNewer fetches versions that the watch does not deliver in time from peers, those
// of the own failure domain first.
func (c *configSync) fetchNewer(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.announced.arrived:
		}
		if !sleep(ctx, c.fetchDelay()) {
			return nil
		}
		if _, ok := c.announced.newest(c.revision(), true); !ok && !c.revision().IsZero() {
			if _, ok := c.announced.newest(c.revision(), false); ok && !sleep(ctx, otherDomainDelay) {
				return nil
			}
		}
		c.fetchFromPeers(ctx)
	}
}

// fetchDelay returns the time to wait for the store before a peer is asked.
func (c *configSync) fetchDelay() time.Duration {
	if c.revision().IsZero() {
		return firstFetchDelay
	}
	return fetchDelay
}

// fetchFromPeers fetches an announced version. It tries one peer after the other until
// one responds.
func (c *configSync) fetchFromPeers(ctx context.Context) {
	for ctx.Err() == nil {
		source, ok := c.announced.newest(c.revision(), true)
		if !ok {
			source, ok = c.announced.newest(c.revision(), false)
		}
		if !ok {
			return
		}
		state, err := c.fetch(ctx, source.peer)
		if err == nil && (state.Newer(c.revision()) || len(state.Held) > 0) {
			c.applyIfNewer(state, "peer "+source.peer.String())
			c.announced.setMerged(source.revision.Era, source.held)
			if !state.Newer(c.revision()) {
				// A still newer version may have been announced meanwhile.
				c.announced.signal()
				return
			}
		}
		c.announced.remove(source.peer)
		if err != nil {
			c.logger.Warn("cannot fetch the configuration from a peer; trying another one", zap.Stringer("peer", source.peer), zap.Error(err))
		}
	}
}

// fetch requests the complete state of a peer. The transport requests compression.
func (c *configSync) fetch(ctx context.Context, peer passthrough.Endpoint) (configState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+ConfigPath, nil)
	if err != nil {
		return configState{}, errkind.Wrap(err, errkind.Internal, "request for the configuration")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return configState{}, errkind.Wrap(err, errkind.PeerUnavailable, "request for the configuration")
	}
	defer func() { _ = response.Body.Close() }()
	var state configState
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxConfigBytes)).Decode(&state)
	return state, errkind.Wrap(err, errkind.Malformed, "decode the configuration of a peer")
}

// encodedConfig is the compressed response with the state of a revision. It is kept, since
// all other processes of a failure domain may request a new version at the same time, unless
// it contains held entries, whose remaining time changes.
type encodedConfig struct {
	mu       sync.Mutex
	revision routes.Revision
	body     []byte
}

// of returns the compressed form of a state.
func (e *encodedConfig) of(state configState) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.body != nil && e.revision == state.Revision && len(state.Held) == 0 {
		return e.body, nil
	}
	var body bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&body, gzip.BestSpeed)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "compress the configuration")
	}
	if err := json.NewEncoder(compressor).Encode(state); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "encode the configuration")
	}
	if err := compressor.Close(); err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "compress the configuration")
	}
	if len(state.Held) > 0 {
		return body.Bytes(), nil
	}
	e.revision, e.body = state.Revision, body.Bytes()
	return e.body, nil
}

// ServeHTTP serves this process's state to a peer, or uncompressed to an operator whose
// client does not accept compression.
func (c *configSync) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	state := c.state.forPeer(c.clock.now())
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	var err error
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		var body []byte
		if body, err = c.encoded.of(state); err == nil {
			w.Header().Set("Content-Encoding", "gzip")
			_, err = w.Write(body)
		}
	} else {
		err = json.NewEncoder(w).Encode(state)
	}
	if err != nil {
		c.logger.Debug("cannot send the configuration to a peer", zap.Error(err))
	}
}
