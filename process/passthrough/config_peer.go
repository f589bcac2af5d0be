package passthrough

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

const (
	// fetchDelay is how long the watch may take to deliver a version that a heartbeat
	// announced before it is fetched from a peer.
	fetchDelay = 150 * time.Millisecond
	// fetchTimeout limits a request to a peer.
	fetchTimeout = time.Second
	// maxConfigBytes limits the response of a peer.
	maxConfigBytes = 16 << 20
	// ConfigPath is the path at which a process serves its configuration to peers.
	ConfigPath = "/orders"
)

// newerVersion is a newer version that is active at a peer.
type newerVersion struct {
	revision uint64
	peer     passthrough.Endpoint
}

// fetchNewer fetches versions from peers that the watch does not deliver in time.
func (c *configSync) fetchNewer(ctx context.Context) error {
	for {
		var newer newerVersion
		select {
		case <-ctx.Done():
			return nil
		case newer = <-c.newerVersions:
		}
		if c.revision() != 0 && !sleep(ctx, fetchDelay) {
			return nil
		}
		if c.revision() >= newer.revision {
			continue
		}
		state, err := c.fetch(ctx, newer.peer)
		if err != nil {
			c.logger.Warn("cannot fetch the configuration from a peer", zap.Stringer("peer", newer.peer), zap.Error(err))
			continue
		}
		c.applyIfNewer(state, "peer "+newer.peer.String())
	}
}

// fetch requests the complete state of a peer.
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

// ServeHTTP serves this process's state to a peer.
func (c *configSync) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	state := c.state
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		c.logger.Debug("cannot send the configuration to a peer", zap.Error(err))
	}
}
