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
	// hintDelay is how long the watch may take to bring a version that a heartbeat
	// announced, before a peer is asked.
	hintDelay = 150 * time.Millisecond
	// fetchTimeout bounds the question to a peer.
	fetchTimeout = time.Second
	// maxOrdersBytes bounds the answer of a peer.
	maxOrdersBytes = 16 << 20
	// ConfigPath is where a process gives its orders to a peer.
	ConfigPath = "/orders"
)

// hint is a newer version that a peer has in force.
type hint struct {
	revision uint64
	peer     passthrough.Endpoint
}

// follow asks peers for versions that the watch does not bring in time.
func (o *orders) follow(ctx context.Context) error {
	for {
		var h hint
		select {
		case <-ctx.Done():
			return nil
		case h = <-o.hints:
		}
		if o.revision() != 0 && !sleep(ctx, hintDelay) {
			return nil
		}
		if o.revision() >= h.revision {
			continue
		}
		state, err := o.fetch(ctx, h.peer)
		if err != nil {
			o.logger.Warn("peer did not give its orders", zap.Stringer("peer", h.peer), zap.Error(err))
			continue
		}
		o.replace(state, "peer "+h.peer.String())
	}
}

// fetch asks a peer for its whole state.
func (o *orders) fetch(ctx context.Context, peer passthrough.Endpoint) (orderState, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+peer.String()+ConfigPath, nil)
	if err != nil {
		return orderState{}, errkind.Wrap(err, errkind.Internal, "question for orders")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return orderState{}, errkind.Wrap(err, errkind.PeerUnavailable, "question for orders")
	}
	defer func() { _ = response.Body.Close() }()
	var state orderState
	err = json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxOrdersBytes)).Decode(&state)
	return state, errkind.Wrap(err, errkind.Malformed, "orders of a peer")
}

// ServeHTTP gives the own state to a peer.
func (o *orders) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	o.mu.Lock()
	state := o.state
	o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(state); err != nil {
		o.logger.Debug("peer left before it had all orders", zap.Error(err))
	}
}
