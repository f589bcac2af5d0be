package passthrough

import (
	"context"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
)

const (
	// checkpointPrefix is where agents keep the open flows of their servers.
	checkpointPrefix = "bergamotbank/flows/"
	// checkpointInterval is the shortest pause between two writes: the mean long
	// flow lives several times as long, and each write is a priced call.
	checkpointInterval = 2 * time.Second
	// checkpointSpacing lengthens the pause with the number of agents, so that all
	// together write at most 50 times a second, an eighth of what a small store takes.
	checkpointSpacing = 20 * time.Millisecond
	// checkpointDrift is how far the acknowledgement number of a written flow may
	// lag behind, in bytes: callers accept a reset within twice as much.
	checkpointDrift = 32 << 10
)

// checkpoints keeps the open flows of the backend server in the store. After a
// power loss of everything nothing else remembers them, and each caller would lose
// the next request on its flow.
type checkpoints struct {
	store  Store
	logger *zap.Logger
	key    string
	// lease returns the lease under which a checkpoint is written, 0 for none yet.
	lease func() uint64
	// agents returns the number of agents that write to the same store.
	agents func() int
	// take returns the open flows, recall hands those of a former run over.
	take   func() passthrough.Checkpoint
	recall func(passthrough.Checkpoint)

	// written are the flows of the last checkpoint with their acknowledgements.
	written map[passthrough.Flow]uint32
	failing bool
}

func newCheckpoints(a *Agent) *checkpoints {
	return &checkpoints{
		store:  a.store,
		logger: a.logger,
		key:    checkpointPrefix + a.settings.Name,
		lease:  a.directory.lease.Load,
		agents: a.agents,
		take:   a.checkpoint,
		recall: a.recall,
	}
}

// keep recalls the checkpoint of a former run and then writes new ones until ctx
// ends.
func (c *checkpoints) keep(ctx context.Context) error {
	pause := backoff{}
	for ctx.Err() == nil {
		err := c.read(ctx)
		if err == nil {
			break
		}
		c.report(err)
		pause.wait(ctx)
	}
	for sleep(ctx, c.interval()) {
		c.report(c.write(ctx))
	}
	return nil
}

// report logs when checkpoints fail and when they work again.
func (c *checkpoints) report(err error) {
	switch {
	case err != nil && !c.failing:
		c.logger.Warn("store does not take checkpoints; flows would be lost with the power", zap.Error(err))
	case err == nil && c.failing:
		c.logger.Info("checkpoints work again")
	}
	c.failing = err != nil
}

// read looks for the checkpoint of a former run.
func (c *checkpoints) read(ctx context.Context) error {
	items, _, err := c.store.List(ctx, c.key, false)
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key != c.key {
			continue
		}
		checkpoint, err := passthrough.ParseCheckpoint(item.Value)
		if err != nil {
			c.logger.Warn("checkpoint cannot be read", zap.String("key", item.Key), zap.Error(err))
			return nil
		}
		c.recall(checkpoint)
	}
	return nil
}

// interval returns the pause between two checkpoints.
func (c *checkpoints) interval() time.Duration {
	return max(checkpointInterval, time.Duration(c.agents())*checkpointSpacing)
}

// write stores the open flows unless the last checkpoint still covers them. It
// lives as long as the directory entry.
func (c *checkpoints) write(ctx context.Context) error {
	lease, checkpoint := c.lease(), c.take()
	if lease == 0 || c.covered(checkpoint) {
		return nil
	}
	if err := c.store.Put(ctx, c.key, checkpoint.Encode(), lease); err != nil {
		c.written = nil
		return err
	}
	c.written = make(map[passthrough.Flow]uint32, len(checkpoint.Flows))
	for _, f := range checkpoint.Flows {
		c.written[f.Flow] = f.Ack
	}
	return nil
}

// covered tells whether the last checkpoint names every open flow with an
// acknowledgement number that is recent enough.
func (c *checkpoints) covered(checkpoint passthrough.Checkpoint) bool {
	for _, f := range checkpoint.Flows {
		if ack, ok := c.written[f.Flow]; !ok || f.Ack-ack > checkpointDrift {
			return false
		}
	}
	return true
}
