package passthrough

import (
	"context"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bergamotbank/connection/passthrough"
)

// checkpointed is an agent's flows beside a store, with what was recalled.
type checkpointed struct {
	*checkpoints
	store    *fakeStore
	flows    passthrough.Checkpoint
	recalled []passthrough.Checkpoint
	logs     *observer.ObservedLogs
}

func flowOf(i int) passthrough.CheckpointFlow {
	return passthrough.CheckpointFlow{
		Flow: passthrough.Flow{Caller: passthrough.MakeEndpoint(0x64400001, uint16(40000+i)), Service: passthrough.MakeEndpoint(0xc6120001, 443)},
		Ack:  uint32(1000 * i),
	}
}

func newCheckpointed(store *fakeStore) *checkpointed {
	core, logs := observer.New(zapcore.InfoLevel)
	c := &checkpointed{store: store, logs: logs, flows: passthrough.Checkpoint{Incarnation: 7}}
	c.checkpoints = &checkpoints{
		store:  store,
		logger: zap.New(core),
		key:    checkpointPrefix + "agent-1",
		lease:  func() uint64 { return 1 },
		agents: func() int { return 2 },
		take:   func() passthrough.Checkpoint { return c.flows },
		recall: func(checkpoint passthrough.Checkpoint) { c.recalled = append(c.recalled, checkpoint) },
	}
	return c
}

// writes returns how often the store was written.
func (f *fakeStore) writes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func TestCheckpointsOverARestart(t *testing.T) {
	convey.Convey("Given a checkpoint of two flows in the store", t, func() {
		store := newFakeStore()
		former := newCheckpointed(store)
		former.flows.Flows = []passthrough.CheckpointFlow{flowOf(1), flowOf(2)}
		convey.So(former.write(t.Context()), convey.ShouldBeNil)

		convey.Convey("the next run of the agent recalls it", func() {
			next := newCheckpointed(store)
			convey.So(next.read(t.Context()), convey.ShouldBeNil)
			convey.So(next.recalled, convey.ShouldResemble, []passthrough.Checkpoint{former.flows})
		})
		convey.Convey("an agent whose name begins alike does not", func() {
			other := newCheckpointed(store)
			other.key = checkpointPrefix + "agent-"
			convey.So(other.read(t.Context()), convey.ShouldBeNil)
			convey.So(other.recalled, convey.ShouldBeEmpty)
		})
		convey.Convey("bytes of another writer are passed over with a line in the log", func() {
			store.write(former.key, "junk")
			next := newCheckpointed(store)
			convey.So(next.read(t.Context()), convey.ShouldBeNil)
			convey.So(next.recalled, convey.ShouldBeEmpty)
			convey.So(next.logs.FilterMessage("checkpoint cannot be read").Len(), convey.ShouldEqual, 1)
		})
		convey.Convey("it is recalled when the store answers again, and not overwritten before", func() {
			store.setDown(true)
			next := newCheckpointed(store)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- next.keep(ctx) }()
			time.Sleep(3 * storeRetry)
			store.setDown(false)
			time.Sleep(2 * storeRetryLimit)
			cancel()
			convey.So(<-done, convey.ShouldBeNil)
			convey.So(next.recalled, convey.ShouldResemble, []passthrough.Checkpoint{former.flows})
			convey.So(next.logs.FilterMessageSnippet("store does not take checkpoints").Len(), convey.ShouldEqual, 1)
		})
	})
}

func TestCheckpointsAreWrittenWhenNeeded(t *testing.T) {
	convey.Convey("Given a written checkpoint", t, func() {
		c := newCheckpointed(newFakeStore())
		c.flows.Flows = []passthrough.CheckpointFlow{flowOf(1), flowOf(2)}
		convey.So(c.write(t.Context()), convey.ShouldBeNil)
		before := c.store.writes()

		for _, row := range []struct {
			name    string
			change  func()
			written bool
		}{
			{"nothing changed", func() {}, false},
			{"a flow ended", func() { c.flows.Flows = c.flows.Flows[:1] }, false},
			{"a flow was opened", func() { c.flows.Flows = append(c.flows.Flows, flowOf(3)) }, true},
			{"a caller went on for less than a reset may lag behind", func() { c.flows.Flows[0].Ack += checkpointDrift }, false},
			{"a caller went on for more", func() { c.flows.Flows[0].Ack += checkpointDrift + 1 }, true},
			{"there is no lease", func() {
				c.flows.Flows = append(c.flows.Flows, flowOf(3))
				c.lease = func() uint64 { return 0 }
			}, false},
		} {
			convey.Convey(row.name, func() {
				row.change()
				convey.So(c.write(t.Context()), convey.ShouldBeNil)
				convey.So(c.store.writes() > before, convey.ShouldEqual, row.written)
			})
		}
		convey.Convey("a write that failed is tried again", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			c.store.setDown(true)
			convey.So(c.write(t.Context()), convey.ShouldNotBeNil)
			c.store.setDown(false)
			convey.So(c.write(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.writes(), convey.ShouldBeGreaterThan, before)
		})
	})
	convey.Convey("Many agents write at a rate that a store takes", t, func() {
		c := newCheckpointed(newFakeStore())
		for _, agents := range []int{1, 58, 1000, 26_000} {
			c.agents = func() int { return agents }
			perSecond := float64(agents) / c.interval().Seconds()
			convey.So(perSecond, convey.ShouldBeLessThanOrEqualTo, 50)
		}
	})
}
