package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// maxCheckpointFlows limits a checkpoint to 64 KB, so that the checkpoints of 32
// servers fit into one call. Servers hold about 2,000 connections.
const maxCheckpointFlows = 4 << 10

// Checkpoint returns the open flows that have been registered, up to
// maxCheckpointFlows.
func (g *Gate) Checkpoint() passthrough.Checkpoint {
	c := passthrough.Checkpoint{Incarnation: g.server.Incarnation}
	for key, f := range g.flows {
		if f.registered && f.phase == phaseOpen && len(c.Flows) < maxCheckpointFlows {
			c.Flows = append(c.Flows, passthrough.CheckpointFlow{Flow: key, Ack: f.callerAck})
		}
	}
	return c
}

// RestoreCheckpoint sets the checkpoint of a previous run of this agent. Its flows
// are reset once the backend server that held them is known to have terminated.
func (g *Gate) RestoreCheckpoint(c passthrough.Checkpoint, now time.Duration) {
	g.restored = &c
	g.resolveCheckpoint(now)
}

// resolveCheckpoint resets the flows of a restored checkpoint if the backend
// server is known to be down or another incarnation, and discards the checkpoint if
// the incarnation is the same.
func (g *Gate) resolveCheckpoint(now time.Duration) {
	c := g.restored
	if c == nil || g.server.State == steer.Unknown {
		return
	}
	if g.server.Incarnation == 0 && g.server.State != steer.Down {
		return
	}
	g.restored = nil
	if g.server.Incarnation == c.Incarnation {
		return
	}
	g.options.Observer.CheckpointReset(len(c.Flows))
	for _, f := range c.Flows {
		if g.flows[f.Flow] != nil {
			continue
		}
		g.flows[f.Flow] = &flow{phase: phaseAborted, openedAt: now, lastUsed: now}
		g.reset(f.Flow, f.Ack, errkind.BackendUnavailable)
	}
}
