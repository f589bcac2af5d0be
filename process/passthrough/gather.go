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
	// FlowsPath is where an agent gives the open flows of its backend server to the
	// agent that writes them to the store.
	FlowsPath = "/flows"
	// pullTimeout bounds the question to an agent of the same failure domain.
	pullTimeout = 500 * time.Millisecond
	// maxCheckpointBytes bounds the answer, four times what an agent gives.
	maxCheckpointBytes = 256 << 10
	// coveredHeader tells an agent that the sender writes for it.
	coveredHeader = "Bergamot-Covered"
)

// checkpointSource is an agent whose open flows are written to the store.
type checkpointSource struct {
	name string
	peer passthrough.Endpoint
	// leaving tells that the agent or its server is about to end.
	leaving bool
}

// groupOf returns the group of an agent: agents form groups of MaxEntries in the
// order of their names, those that are leaving last, so that they write for nobody.
func groupOf(agents []checkpointSource, own string) []checkpointSource {
	slices.SortFunc(agents, func(a, b checkpointSource) int {
		if a.leaving != b.leaving {
			return cmp.Compare(rank(a), rank(b))
		}
		return cmp.Compare(a.name, b.name)
	})
	at := slices.IndexFunc(agents, func(a checkpointSource) bool { return a.name == own })
	first := at - at%MaxTxnEntries
	return agents[first:min(first+MaxTxnEntries, len(agents))]
}

// rank orders agents by whether they are leaving.
func rank(source checkpointSource) int {
	if source.leaving {
		return 1
	}
	return 0
}

// gather asks the members of the group for their open flows. Those that do not
// answer are left out; their last checkpoint stays in the store.
func (c *checkpoints) gather(ctx context.Context, members []checkpointSource) map[string]passthrough.Checkpoint {
	var mu sync.Mutex
	var wait sync.WaitGroup
	gathered := map[string]passthrough.Checkpoint{}
	for _, member := range members {
		if member.name == c.name {
			continue
		}
		wait.Go(func() {
			checkpoint, err := c.pull(ctx, member)
			if err != nil {
				c.logger.Info("agent did not give its flows", zap.String("member", member.name), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			gathered[member.name] = checkpoint
		})
	}
	wait.Wait()
	if len(members) > 0 {
		gathered[c.name] = c.take()
	}
	return gathered
}

// pull asks an agent for its open flows.
func (c *checkpoints) pull(ctx context.Context, member checkpointSource) (passthrough.Checkpoint, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.peer.String()+FlowsPath, nil)
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.Internal, "question for flows")
	}
	if c.wrote {
		request.Header.Set(coveredHeader, "1")
	}
	response, err := c.client.Do(request)
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.PeerUnavailable, "question for flows")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(http.MaxBytesReader(nil, response.Body, maxCheckpointBytes))
	if err != nil {
		return passthrough.Checkpoint{}, errkind.Wrap(err, errkind.PeerUnavailable, "flows of an agent")
	}
	return passthrough.ParseCheckpoint(body)
}

// ServeHTTP gives the own open flows to another agent.
func (c *checkpoints) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(coveredHeader) != "" {
		c.covered.Store(int64(c.clock.now()))
	}
	checkpoint := c.take()
	w.Header().Set("Content-Type", "application/octet-stream")
	if _, err := w.Write(checkpoint.Encode()); err != nil {
		c.logger.Debug("agent left before it had all flows", zap.Error(err))
	}
}
