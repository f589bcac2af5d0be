package gate

import (
	"time"

	"bergamotbank/connection/passthrough"
	"bergamotbank/connection/steer"
	"bergamotbank/errkind"
)

// maxCheckpointFlows bounds a checkpoint to 64 KB, so that those of 32 servers fit
// into one call; servers hold about 2,000 connections.
const maxCheckpointFlows = 4 << 10

// Checkpoint returns the open flows that are old enough to be registered.
func (g *Gate) Checkpoint() passthrough.Checkpoint {
	c := passthrough.Checkpoint{Incarnation: g.server.Incarnation}
	for key, f := range g.flows {
		if f.registered && f.phase == phaseOpen && len(c.Flows) < maxCheckpointFlows {
			c.Flows = append(c.Flows, passthrough.CheckpointFlow{Flow: key, Ack: f.callerAck})
		}
	}
	return c
}

// RestoreCheckpoint takes the checkpoint of a former run of this agent. Once it is known that
// the backend server which held the flows has ended, their callers are told.
func (g *Gate) RestoreCheckpoint(c passthrough.Checkpoint, now time.Duration) {
	g.recalled = &c
	g.settleRecalled(now)
}

// settleRecalled resets the flows of a checkpoint when the backend server is known
// to be another one, and forgets the checkpoint when it is the same.
func (g *Gate) settleRecalled(now time.Duration) {
	c := g.recalled
	if c == nil || g.server.State == steer.Unknown {
		return
	}
	if g.server.Incarnation == 0 && g.server.State != steer.Down {
		return
	}
	g.recalled = nil
	if g.server.Incarnation == c.Incarnation {
		return
	}
	g.options.Observer.CheckpointReset(len(c.Flows))
	for _, f := range c.Flows {
		if g.flows[f.Flow] != nil {
			continue
		}
		g.flows[f.Flow] = &flow{phase: phaseLost, opened: now, used: now}
		g.reset(f.Flow, f.Ack, errkind.BackendUnavailable)
	}
}
