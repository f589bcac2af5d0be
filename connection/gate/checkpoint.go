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

// restoredCheckpoint is the checkpoint of a previous run of the agent.
type restoredCheckpoint struct {
	// incarnation identifies the run of the server that held the flows.
	incarnation uint32
	restoredAt  time.Duration
	// flows are the flows of which no packet has been seen since. The server may still
	// hold them.
	flows map[passthrough.Flow]*restoredFlow
}

// restoredFlow is a flow of a restored checkpoint.
type restoredFlow struct {
	ack uint32
	// owners are the agents with which the flow was registered since.
	owners [2]passthrough.Endpoint
}

// Checkpoint returns the open flows that have been registered, up to
// maxCheckpointFlows. Before the server has reported its incarnation, these are only
// those of the restored checkpoint.
func (g *Gate) Checkpoint() passthrough.Checkpoint {
	c := passthrough.Checkpoint{Incarnation: g.server.Incarnation}
	if c.Incarnation == 0 {
		c.Incarnation = g.restored.incarnation
	}
	for key, f := range g.restored.flows {
		if len(c.Flows) < maxCheckpointFlows {
			c.Flows = append(c.Flows, passthrough.CheckpointFlow{Flow: key, Ack: f.ack})
		}
	}
	if g.server.Incarnation == 0 {
		return c
	}
	for key, f := range g.flows {
		if f.registered && f.phase == phaseOpen && len(c.Flows) < maxCheckpointFlows {
			c.Flows = append(c.Flows, passthrough.CheckpointFlow{Flow: key, Ack: f.callerAck})
		}
	}
	return c
}

// RestoreCheckpoint sets the checkpoint of a previous run of this agent. Its flows are
// reset once the server that held them is known to have terminated. If it is still
// running, they are registered, so that their packets reach this agent without a search.
func (g *Gate) RestoreCheckpoint(c passthrough.Checkpoint, now time.Duration) {
	g.restored = restoredCheckpoint{incarnation: c.Incarnation, restoredAt: now, flows: make(map[passthrough.Flow]*restoredFlow, len(c.Flows))}
	for _, f := range c.Flows {
		if g.flows[f.Flow] == nil {
			g.restored.flows[f.Flow] = &restoredFlow{ack: f.Ack}
		}
	}
	g.ownersChanged = true
	g.resolveCheckpoint(now)
}

// resolveCheckpoint resets the flows of the restored checkpoint if the server is known to
// be down or another incarnation.
func (g *Gate) resolveCheckpoint(now time.Duration) {
	if g.restored.flows == nil || !g.restoredServerTerminated() {
		return
	}
	flows := g.restored.flows
	g.restored = restoredCheckpoint{}
	g.options.Observer.CheckpointReset(len(flows))
	for key, f := range flows {
		g.flows[key] = &flow{phase: phaseAborted, openedAt: now, lastUsed: now}
		g.reset(key, f.ack, errkind.BackendUnavailable)
	}
}

// restoredServerTerminated reports whether the server that held the flows of the restored
// checkpoint is known to have terminated.
func (g *Gate) restoredServerTerminated() bool {
	if g.server.State == steer.Down {
		return true
	}
	return g.server.Incarnation != 0 && g.server.Incarnation != g.restored.incarnation
}

// registerRestored queues the registrations of the restored flows that are missing at
// their owners, if the server may still hold the flows.
func (g *Gate) registerRestored() {
	if !g.server.PredatesAgent || g.server.State == steer.Unknown {
		return
	}
	for key, f := range g.restored.flows {
		f.owners = g.registerAt(key, f.owners)
	}
}

// expireRestored removes the restored flows of which no packet has been seen for the
// lifetime of a flow.
func (g *Gate) expireRestored(now time.Duration) {
	if now-g.restored.restoredAt >= g.options.FlowLifetime {
		g.restored = restoredCheckpoint{}
	}
}
