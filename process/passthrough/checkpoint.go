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
	// checkpointPrefix is the key prefix of the checkpoints, which are keyed by the
	// names of the agents.
	checkpointPrefix = "bergamotbank/flows/"
	// checkpointInterval is the minimum time between two writes: each write is a billed
	// call, and long flows last several times this interval on average.
	checkpointInterval = time.Second
	// checkpointIntervalPerGroup lengthens the interval with the number of groups, so
	// that all groups together write at most 50 times a second, an eighth of what a
	// small store sustains.
	checkpointIntervalPerGroup = 20 * time.Millisecond
	// checkpointLease is how long the store keeps a checkpoint that is not written
	// again: twice the lifetime of a flow.
	checkpointLease = 2 * time.Minute
	// maxUncoveredIntervals is the number of intervals after which an agent writes its own
	// checkpoint if no other agent has written it.
	maxUncoveredIntervals = 3
	// maxAckLagBytes is how far the stored acknowledgement number of a flow may lag
	// behind the current one: callers accept a reset that lags by up to twice as much.
	maxAckLagBytes = 32 << 10
)

// checkpointer keeps the open flows of backend servers in the store. Otherwise no process
// would know them after a power loss of the whole deployment, and each caller would lose
// the next request on its flow. One agent writes for a group of agents, since calls are
// billed.
type checkpointer struct {
	store   *storeClient
	backoff *storeBackoff
	logger  *zap.Logger
	name    string
	client  http.Client
	// group returns the agents of this agent's group, the writer first, and the number
	// of groups that write to the same store.
	group func() (members []checkpointSource, groups int)
	// snapshot returns the open flows of this agent's server.
	snapshot func() passthrough.Checkpoint
	// restore applies the checkpoint of a previous run.
	restore func(passthrough.Checkpoint)

	// written are the last written checkpoints by agent name.
	written map[string]writtenFlows
	// lease is the lease of the written checkpoints, used until replaceLeaseAt. It is
	// not renewed: a new lease replaces it and all checkpoints are written again, so
	// that those of agents that have left expire.
	lease          Lease
	replaceLeaseAt time.Duration
	// lastWriteOK is true if the last write succeeded or there was nothing to write.
	lastWriteOK bool
	failing     bool
	// coveredAt is when another agent last announced that it writes for this one, in
	// nanoseconds of clock.
	coveredAt atomic.Int64
	clock     clock
}

// writtenFlows maps the flows of a written checkpoint to their acknowledgement numbers.
type writtenFlows map[passthrough.Flow]uint32

func newCheckpointer(a *Agent) *checkpointer {
	return &checkpointer{
		store:    a.store,
		backoff:  a.backoff,
		logger:   a.logger,
		name:     a.settings.Name,
		client:   http.Client{Timeout: flowsTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		group:    a.checkpointGroup,
		snapshot: a.checkpoint,
		restore:  a.restore,
		written:  map[string]writtenFlows{},
		clock:    a.clock,
	}
}

// run restores the checkpoint of a previous run and then writes new ones until ctx is
// canceled.
func (c *checkpointer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := c.load(ctx)
		if err == nil {
			break
		}
		c.logTransition(err)
		c.backoff.wait(ctx)
	}
	interval := checkpointInterval
	for sleep(ctx, interval) {
		members, groups := c.group()
		interval = checkpointIntervalFor(groups)
		err := c.write(ctx, c.collect(ctx, c.assigned(members, interval)))
		c.lastWriteOK = err == nil
		c.logTransition(err)
		if err != nil {
			c.backoff.wait(ctx)
		}
	}
	return nil
}

// assigned returns the members of the group that this agent writes for: all if it is the
// first one, only itself if no other agent has written for it for several intervals, for
// example because the first one cannot reach the store.
func (c *checkpointer) assigned(members []checkpointSource, interval time.Duration) []checkpointSource {
	own := slices.IndexFunc(members, func(m checkpointSource) bool { return m.name == c.name })
	if own == 0 {
		return members
	}
	if c.clock.now()-time.Duration(c.coveredAt.Load()) > maxUncoveredIntervals*interval {
		return members[own : own+1]
	}
	return nil
}

// checkpointIntervalFor returns the time between two writes of a group.
func checkpointIntervalFor(groups int) time.Duration {
	return max(checkpointInterval, time.Duration(groups)*checkpointIntervalPerGroup)
}

// logTransition logs when checkpointing starts to fail and when it works again.
func (c *checkpointer) logTransition(err error) {
	switch {
	case err != nil && !c.failing:
		c.logger.Warn("checkpointing failed; open flows are not protected against a power loss", zap.Error(err))
	case err == nil && c.failing:
		c.logger.Info("checkpointing works again")
	}
	c.failing = err != nil
}

// load reads the checkpoint of a previous run from the store and restores it.
func (c *checkpointer) load(ctx context.Context) error {
	key := checkpointPrefix + c.name
	items, _, err := c.store.list(ctx, key, false)
	if err != nil {
		return err
	}
	for _, item := range items {
		if item.Key != key {
			continue
		}
		checkpoint, err := passthrough.ParseCheckpoint(item.Value)
		if err != nil {
			c.logger.Warn("malformed checkpoint ignored", zap.String("key", item.Key), zap.Error(err))
			return nil
		}
		c.restore(checkpoint)
	}
	return nil
}

// write stores the collected checkpoints that the last written ones do not cover.
func (c *checkpointer) write(ctx context.Context, collected map[string]passthrough.Checkpoint) error {
	c.dropUncollected(collected)
	if c.store.isLost(c.lease) {
		c.replaceLeaseAt = 0
	}
	if c.clock.now() >= c.replaceLeaseAt {
		clear(c.written)
	}
	var entries []Item
	var names []string
	for name, checkpoint := range collected {
		if !c.written[name].covers(checkpoint) {
			entries = append(entries, Item{Key: checkpointPrefix + name, Value: checkpoint.Encode()})
			names = append(names, name)
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if err := c.ensureLease(ctx); err != nil {
		return err
	}
	if err := c.store.put(ctx, entries, c.lease); err != nil {
		clear(c.written)
		c.replaceLeaseAt = 0
		return err
	}
	for _, name := range names {
		c.written[name] = flowsOf(collected[name])
	}
	return nil
}

// ensureLease requests a new lease if half of the last one has elapsed, a write under it has
// failed or the store has lost it.
func (c *checkpointer) ensureLease(ctx context.Context) error {
	if c.clock.now() < c.replaceLeaseAt {
		return nil
	}
	lease, err := c.store.grant(ctx, checkpointLease)
	if err != nil {
		return err
	}
	c.lease, c.replaceLeaseAt = lease, c.clock.now()+lease.Duration/2
	return nil
}

// dropUncollected removes the written checkpoints of agents that did not respond or that
// another agent writes for now.
func (c *checkpointer) dropUncollected(collected map[string]passthrough.Checkpoint) {
	for name := range c.written {
		if _, ok := collected[name]; !ok {
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

// covers reports whether w has every flow of a checkpoint with an acknowledgement number
// that is recent enough.
func (w writtenFlows) covers(checkpoint passthrough.Checkpoint) bool {
	for _, f := range checkpoint.Flows {
		if ack, ok := w[f.Flow]; !ok || f.Ack-ack > maxAckLagBytes {
			return false
		}
	}
	return true
}
