package passthrough

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

const (
	// FlowsPath is the path at which an agent serves the open flows of its backend
	// server to the agent that writes them to the store.
	FlowsPath = "/flows"
	// flowsTimeout limits a request for flows to an agent of the same failure domain.
	flowsTimeout = 500 * time.Millisecond
	// maxCheckpointBytes limits the response; it is four times what an agent sends.
	maxCheckpointBytes = 256 << 10
	// coveredHeader is set in a request if the sender writes the checkpoints of the
	// receiving agent.
	coveredHeader = "Bergamot-Covered"
)

// checkpointSource is an agent whose open flows are written to the store.
type checkpointSource struct {
	name string
	peer passthrough.Endpoint
	// stopping is true if the agent or its server is about to stop or has stopped.
	stopping bool
}

// groupOf returns the group of an agent. Groups are blocks of MaxTxnEntries agents in
// the order of their names, with stopping agents last: the first agent of a group writes
// for the others, and a stopping one should not.
func groupOf(agents []checkpointSource, own string) []checkpointSource {
	slices.SortFunc(agents, func(a, b checkpointSource) int {
		if a.stopping != b.stopping {
			return cmp.Compare(rank(a), rank(b))
		}
		return cmp.Compare(a.name, b.name)
	})
	at := slices.IndexFunc(agents, func(a checkpointSource) bool { return a.name == own })
	first := at - at%MaxTxnEntries
	return agents[first:min(first+MaxTxnEntries, len(agents))]
}

// rank orders stopping agents after the others.
func rank(source checkpointSource) int {
	if source.stopping {
		return 1
	}
	return 0
}

// collect requests the open flows of the members. Those that do not respond are left
// out; their last checkpoint stays in the store.
func (c *checkpointer) collect(ctx context.Context, members []checkpointSource) map[string]passthrough.Checkpoint {
	var mu sync.Mutex
	var wait sync.WaitGroup
	collected := map[string]passthrough.Checkpoint{}
	for _, member := range members {
		if member.name == c.name {
			continue
		}
		wait.Go(func() {
			checkpoint, err := c.fetch(ctx, member)
			if err != nil {
				c.logger.Info("cannot fetch the flows of an agent", zap.String("member", member.name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			collected[member.name] = checkpoint
		})
	}
	wait.Wait()
	if len(members) > 0 {
		collected[c.name] = c.snapshot()
	}
	return collected
}

// fetch requests the open flows of an agent.
func (c *checkpointer) fetch(ctx context.Context, member checkpointSource) (passthrough.Checkpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.peer.String()+FlowsPath, nil)
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.Internal, "request for flows")
	}
	if c.lastWriteOK {
		request.Header.Set(coveredHeader, "1")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.PeerUnavailable, "request for flows")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxCheckpointBytes))
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.PeerUnavailable, "read the flows of an agent")
	}
	return passthrough.ParseCheckpoint(body)
}

// ServeHTTP serves this agent's open flows to another agent.
func (c *checkpointer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(coveredHeader) != "" {
		c.coveredAt.Store(int64(c.clock.now()))
	}
	checkpoint := c.snapshot()
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(checkpoint.Encode()); err != nil {
		c.logger.Debug("cannot send the flows to an agent", zap.Error(err))
	}
}
