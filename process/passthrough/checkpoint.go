package passthrough

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
)

const (
	// checkpointPrefix is where the open flows of backend servers are kept, each
	// below the name of its agent.
	checkpointPrefix = "bergamotbank/flows/"
	// checkpointInterval is the shortest pause between two writes: the mean long
	// flow lives several times as long, and each write is a priced call.
	checkpointInterval = 2 * time.Second
	// checkpointSpacing lengthens the pause with the number of groups of agents, so
	// that all together write at most 50 times a second, an eighth of what a small
	// store takes.
	checkpointSpacing = 20 * time.Millisecond
	// checkpointLifetime is how long a checkpoint is kept that nobody writes anew:
	// twice the lifetime of a flow.
	checkpointLifetime = 2 * time.Minute
	// coveredRounds is the number of rounds after which an agent for which nobody has
	// written writes itself.
	coveredRounds = 3
	// checkpointDrift is how far the acknowledgement number of a written flow may
	// lag behind, in bytes: callers accept a reset within twice as much.
	checkpointDrift = 32 << 10
)

// checkpoints keeps the open flows of backend servers in the store. After a power
// loss of everything nothing else remembers them, and each caller would lose the
// next request on its flow. One agent writes for a group, since calls are priced.
type checkpoints struct {
	store  Store
	logger *zap.Logger
	name   string
	client http.Client
	// group returns the agents of the own group, the one that writes for all first,
	// and the number of groups that write to the same store.
	group func() (members []checkpointSource, groups int)
	// take returns the own open flows, recall hands those of a former run over.
	take   func() passthrough.Checkpoint
	recall func(passthrough.Checkpoint)

	// written are the last checkpoints by the names of their agents.
	written map[string]writtenFlows
	// lease is the lease of what was written, used until fresh has passed. It is not
	// renewed but replaced, with everything written anew, so that the checkpoints of
	// agents that have left run out.
	lease uint64
	fresh time.Duration
	// wrote tells that the last round worked, also when there was nothing to write.
	wrote   bool
	failing bool
	// covered is when another agent last said that it wrote for this one, in
	// nanoseconds of clock.
	covered atomic.Int64
	clock   clock
}

// writtenFlows are the flows of a checkpoint with their acknowledgement numbers.
type writtenFlows map[passthrough.Flow]uint32

func newCheckpoints(a *Agent) *checkpoints {
	return &checkpoints{
		store:   a.store,
		logger:  a.logger,
		name:    a.settings.Name,
		client:  http.Client{Timeout: pullTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		group:   a.group,
		take:    a.checkpoint,
		recall:  a.recall,
		written: map[string]writtenFlows{},
		clock:   a.clock,
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
	interval := checkpointInterval
	for sleep(ctx, interval) {
		members, groups := c.group()
		interval = checkpointPause(groups)
		err := c.write(ctx, c.gather(ctx, c.mine(members, interval)))
		c.wrote = err == nil
		c.report(err)
	}
	return nil
}

// mine returns the members of the group that this agent writes for: all when it is
// the first one, itself when nobody has written for it for several rounds, as when
// the first one does not reach the store.
func (c *checkpoints) mine(members []checkpointSource, pause time.Duration) []checkpointSource {
	own := slices.IndexFunc(members, func(m checkpointSource) bool { return m.name == c.name })
	if own == 0 {
		return members
	}
	if c.clock.now()-time.Duration(c.covered.Load()) > coveredRounds*pause {
		return members[own : own+1]
	}
	return nil
}

// checkpointPause returns the pause between two writes of a group.
func checkpointPause(groups int) time.Duration {
	return max(checkpointInterval, time.Duration(groups)*checkpointSpacing)
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
	key := checkpointPrefix + c.name
	items, _, err := c.store.List(ctx, key, false)
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key != key {
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

// write stores the checkpoints that the last ones do not cover.
func (c *checkpoints) write(ctx context.Context, gathered map[string]passthrough.Checkpoint) error {
	c.forget(gathered)
	if c.clock.now() >= c.fresh {
		clear(c.written)
	}
	var entries []Item
	for name, checkpoint := range gathered {
		if !c.written[name].cover(checkpoint) {
			entries = append(entries, Item{Key: checkpointPrefix + name, Value: checkpoint.Encode()})
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if err := c.renewLease(ctx); err != nil {
		return err
	}
	if err := c.store.Put(ctx, entries, c.lease); err != nil {
		clear(c.written)
		c.fresh = 0
		return err
	}
	for name, checkpoint := range gathered {
		c.written[name] = flowsOf(checkpoint)
	}
	return nil
}

// renewLease asks for another lease when half of the last one has passed or a write
// under it has failed.
func (c *checkpoints) renewLease(ctx context.Context) error {
	if c.clock.now() < c.fresh {
		return nil
	}
	lease, granted, err := c.store.Grant(ctx, checkpointLifetime)
	if err != nil {
		return err
	}
	c.lease, c.fresh = lease, c.clock.now()+granted/2
	return nil
}

// forget drops what was written for agents that another one writes for by now, or
// that did not answer.
func (c *checkpoints) forget(gathered map[string]passthrough.Checkpoint) {
	for name := range c.written {
		if _, ok := gathered[name]; !ok {
			delete(c.written, name)
		}
	}
}

func flowsOf(checkpoint passthrough.Checkpoint) writtenFlows {
	flows := make(writtenFlows, len(checkpoint.Flows))
	for _, f := range checkpoint.Flows {
		flows[f.Flow] = f.Ack
	}
	return flows
}

// cover tells whether every flow of a checkpoint is among the written ones with an
// acknowledgement number that is recent enough.
func (w writtenFlows) cover(checkpoint passthrough.Checkpoint) bool {
	for _, f := range checkpoint.Flows {
		if ack, ok := w[f.Flow]; !ok || f.Ack-ack > checkpointDrift {
			return false
		}
	}
	return true
}
