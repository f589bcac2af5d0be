package passthrough

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
)

// testCheckpointer is a checkpointer with a fake store and the flows of an agent. It
// records the restored checkpoints.
type testCheckpointer struct {
	*checkpointer
	store    *fakeStore
	flows    passthrough.Checkpoint
	restored []passthrough.Checkpoint
	logs     *observer.ObservedLogs
}

func flowOf(i int) passthrough.CheckpointFlow {
	return passthrough.CheckpointFlow{
		Flow: passthrough.Flow{Caller: passthrough.MakeEndpoint(0x64400001, uint16(40000+i)), Service: passthrough.MakeEndpoint(0xc6120001, 443)},
		Ack:  uint32(1000 * i),
	}
}

func newTestCheckpointer(store *fakeStore) *testCheckpointer {
	core, logs := observer.New(zapcore.InfoLevel)
	c := &testCheckpointer{store: store, logs: logs, flows: passthrough.Checkpoint{Incarnation: 7}}
	backoff := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minRetryDelay, maxRetryDelay} })
	c.checkpointer = &checkpointer{
		store:   newStoreClient(store, backoff, zap.NewNop()),
		backoff: backoff,
		logger:  zap.New(core),
		name:    "agent-1",
		group: func() ([]checkpointSource, int) {
			return []checkpointSource{{name: "agent-1"}}, 1
		},
		written:  map[string]writtenFlows{},
		clock:    newClock(),
		snapshot: func() passthrough.Checkpoint { return c.flows },
		restore:  func(checkpoint passthrough.Checkpoint) { c.restored = append(c.restored, checkpoint) },
	}
	return c
}

// save writes the agent's flows.
func (c *testCheckpointer) save(ctx context.Context) error {
	return c.write(ctx, map[string]passthrough.Checkpoint{c.name: c.flows})
}

// writes returns the revision of the store, which increases with each write.
func (f *fakeStore) writes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func TestCheckpointRestoredAfterRestart(t *testing.T) {
	convey.Convey("Given a checkpoint of two flows in the store", t, func() {
		store := newFakeStore()
		previous := newTestCheckpointer(store)
		previous.flows.Flows = []passthrough.CheckpointFlow{flowOf(1), flowOf(2)}
		convey.So(previous.save(t.Context()), convey.ShouldBeNil)

		convey.Convey("the next run of the agent restores it", func() {
			next := newTestCheckpointer(store)
			convey.So(next.load(t.Context()), convey.ShouldBeNil)
			convey.So(next.restored, convey.ShouldResemble, []passthrough.Checkpoint{previous.flows})
		})
		convey.Convey("an agent whose name is a prefix of the name does not", func() {
			other := newTestCheckpointer(store)
			other.name = "agent-"
			convey.So(other.load(t.Context()), convey.ShouldBeNil)
			convey.So(other.restored, convey.ShouldBeEmpty)
		})
		convey.Convey("malformed data is ignored and logged", func() {
			store.write(checkpointPrefix+previous.name, "junk")
			next := newTestCheckpointer(store)
			convey.So(next.load(t.Context()), convey.ShouldBeNil)
			convey.So(next.restored, convey.ShouldBeEmpty)
			convey.So(next.logs.FilterMessage("malformed checkpoint ignored").Len(), convey.ShouldEqual, 1)
		})
		convey.Convey("it is restored when the store responds again, and not overwritten before", func() {
			store.setDown(true)
			next := newTestCheckpointer(store)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- next.run(ctx) }()
			time.Sleep(3 * minRetryDelay)
			store.setDown(false)
			time.Sleep(2 * maxRetryDelay)
			cancel()
			convey.So(<-done, convey.ShouldBeNil)
			convey.So(next.restored, convey.ShouldResemble, []passthrough.Checkpoint{previous.flows})
			convey.So(next.logs.FilterMessageSnippet("checkpointing failed").Len(), convey.ShouldEqual, 1)
		})
	})
}

func TestCheckpointWrittenOnlyWhenNeeded(t *testing.T) {
	convey.Convey("Given a written checkpoint", t, func() {
		c := newTestCheckpointer(newFakeStore())
		c.flows.Flows = []passthrough.CheckpointFlow{flowOf(1), flowOf(2)}
		convey.So(c.save(t.Context()), convey.ShouldBeNil)
		before := c.store.writes()

		for _, row := range []struct {
			name    string
			change  func()
			written bool
		}{
			{"nothing changed", func() {}, false},
			{"a flow ended", func() { c.flows.Flows = c.flows.Flows[:1] }, false},
			{"a flow was opened", func() { c.flows.Flows = append(c.flows.Flows, flowOf(3)) }, true},
			{"an acknowledgement number advanced by the accepted lag", func() { c.flows.Flows[0].Ack += maxAckLagBytes }, false},
			{"an acknowledgement number advanced by more", func() { c.flows.Flows[0].Ack += maxAckLagBytes + 1 }, true},
		} {
			convey.Convey(row.name, func() {
				row.change()
				convey.So(c.save(t.Context()), convey.ShouldBeNil)
				convey.So(c.store.writes() > before, convey.ShouldEqual, row.written)
			})
		}
		convey.Convey("without a lease nothing is written and an error is returned", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			c.replaceLeaseAt = 0
			c.store.setDown(true)
			convey.So(errkind.Is(c.save(t.Context()), errkind.StoreUnavailable), convey.ShouldBeTrue)
			convey.So(c.store.writes(), convey.ShouldEqual, before)
		})
		convey.Convey("a lease is used until half of it has elapsed; then all flows are written under a new one", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.grants, convey.ShouldEqual, 1)
			puts := c.store.puts
			c.clock.start = c.clock.start.Add(-checkpointLease/2 - time.Second)
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.grants, convey.ShouldEqual, 2)
			convey.So(c.store.puts, convey.ShouldEqual, puts+1)
		})
		convey.Convey("a failed write is retried", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			c.store.setDown(true)
			convey.So(c.save(t.Context()), convey.ShouldNotBeNil)
			c.store.setDown(false)
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.writes(), convey.ShouldBeGreaterThan, before)
		})
	})
	convey.Convey("The total write rate is limited for any number of agents", t, func() {
		for _, agents := range []int{1, 58, 1000, 26_000} {
			groups := (agents + MaxTxnEntries - 1) / MaxTxnEntries
			perSecond := float64(groups) / checkpointIntervalFor(groups).Seconds()
			convey.So(perSecond, convey.ShouldBeLessThanOrEqualTo, 50)
		}
	})
}

func TestCheckpointGroups(t *testing.T) {
	convey.Convey("Exactly one agent writes for each agent, whatever the order of the names", t, func() {
		for _, count := range []int{1, 31, 32, 33, 100} {
			agents := make([]checkpointSource, count)
			for i := range agents {
				agents[i] = checkpointSource{name: fmt.Sprintf("agent-%d", i*7919%count+1000), peer: passthrough.MakeEndpoint(uint32(i), 1)}
			}
			written := map[string]int{}
			for _, own := range slices.Clone(agents) {
				group := groupOf(slices.Clone(agents), own.name)
				convey.So(len(group), convey.ShouldBeLessThanOrEqualTo, MaxTxnEntries)
				convey.So(slices.Contains(group, own), convey.ShouldBeTrue)
				if group[0] == own {
					for _, member := range group {
						written[member.name]++
					}
				}
			}
			convey.So(written, convey.ShouldHaveLength, count)
			for _, times := range written {
				convey.So(times, convey.ShouldEqual, 1)
			}
		}
	})
	convey.Convey("A stopping agent does not write for others", t, func() {
		agents := []checkpointSource{{name: "a", stopping: true}, {name: "b"}, {name: "c"}}
		convey.So(groupOf(agents, "a")[0].name, convey.ShouldEqual, "b")
	})
}

// TestCheckpointWriterFailover guards against missing checkpoints when the agent that
// writes for a group stops or loses the store: if the others rely on it alone, nobody
// writes until its failure is detected.
func TestCheckpointWriterFailover(t *testing.T) {
	convey.Convey("Given an agent that is not the first of its group", t, func() {
		c := newTestCheckpointer(newFakeStore())
		members := []checkpointSource{{name: "agent-0"}, {name: "agent-1"}, {name: "agent-2"}}
		const interval = 10 * time.Millisecond
		request := func(covered string) {
			r := httptest.NewRequest(http.MethodGet, FlowsPath, nil)
			r.Header.Set(coveredHeader, covered)
			c.ServeHTTP(httptest.NewRecorder(), r)
		}
		convey.Convey("it writes nothing while the first one announces that it writes", func() {
			request("1")
			convey.So(c.assigned(members, time.Minute), convey.ShouldBeEmpty)
		})
		convey.Convey("it writes its own flows when the first one stops requesting them or cannot write", func() {
			request("1")
			time.Sleep(maxUncoveredIntervals*interval + interval)
			request("")
			convey.So(c.assigned(members, interval), convey.ShouldResemble, members[1:2])
		})
		convey.Convey("the first one writes for all", func() {
			convey.So(c.assigned(members[1:], time.Minute), convey.ShouldResemble, members[1:])
		})
	})
}

func TestCheckpointGroupCollection(t *testing.T) {
	convey.Convey("Given an agent that writes for two others, one of which does not respond", t, func() {
		c := newTestCheckpointer(newFakeStore())
		c.flows.Flows = []passthrough.CheckpointFlow{flowOf(1)}
		other := newTestCheckpointer(newFakeStore())
		other.flows.Flows = []passthrough.CheckpointFlow{flowOf(2), flowOf(3)}
		server := httptest.NewServer(other)
		defer server.Close()
		closed := httptest.NewServer(other)
		closed.Close()
		members := []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}, {name: "agent-3", peer: endpointOf(closed)}}

		collected := c.collect(t.Context(), members)
		convey.So(collected, convey.ShouldResemble, map[string]passthrough.Checkpoint{"agent-1": c.flows, "agent-2": other.flows})
		convey.So(c.logs.FilterMessage("cannot fetch the flows of an agent").Len(), convey.ShouldEqual, 1)

		convey.Convey("it writes all in one call, each under the name of its agent", func() {
			convey.So(c.write(t.Context(), collected), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 1)
			next := newTestCheckpointer(c.store)
			next.name = "agent-2"
			convey.So(next.load(t.Context()), convey.ShouldBeNil)
			convey.So(next.restored, convey.ShouldResemble, []passthrough.Checkpoint{other.flows})
		})
		convey.Convey("it writes again what another agent may have written meanwhile", func() {
			convey.So(c.write(t.Context(), collected), convey.ShouldBeNil)
			convey.So(c.write(t.Context(), nil), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 1)
			convey.So(c.write(t.Context(), collected), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 2)
		})
	})
	convey.Convey("Lag adds up while another agent of the group is written", t, func() {
		c := newTestCheckpointer(newFakeStore())
		collected := map[string]passthrough.Checkpoint{
			"agent-1": {Incarnation: 1, Flows: []passthrough.CheckpointFlow{flowOf(1)}},
			"agent-2": {Incarnation: 2, Flows: []passthrough.CheckpointFlow{flowOf(2)}},
		}
		convey.So(c.write(t.Context(), collected), convey.ShouldBeNil)
		for i := range 4 {
			acknowledged := flowOf(1)
			acknowledged.Ack += uint32(i+1) * maxAckLagBytes / 2
			opened := collected["agent-2"]
			opened.Flows = append(opened.Flows, flowOf(3+i))
			collected = map[string]passthrough.Checkpoint{
				"agent-1": {Incarnation: 1, Flows: []passthrough.CheckpointFlow{acknowledged}},
				"agent-2": opened,
			}
			convey.So(c.write(t.Context(), collected), convey.ShouldBeNil)
		}
		next := newTestCheckpointer(c.store)
		convey.So(next.load(t.Context()), convey.ShouldBeNil)
		stored := next.restored[0].Flows[0].Ack
		convey.So(collected["agent-1"].Flows[0].Ack-stored, convey.ShouldBeLessThanOrEqualTo, maxAckLagBytes)
	})
	convey.Convey("An agent that another one writes for requests no flows", t, func() {
		c := newTestCheckpointer(newFakeStore())
		convey.So(c.collect(t.Context(), nil), convey.ShouldBeEmpty)
	})
	convey.Convey("Agents whose flows were written are notified with the next request", t, func() {
		c, other := newTestCheckpointer(newFakeStore()), newTestCheckpointer(newFakeStore())
		other.flows.Flows = []passthrough.CheckpointFlow{flowOf(2)}
		server := httptest.NewServer(other)
		defer server.Close()
		members := []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}}
		c.store.setDown(true)
		convey.So(c.write(t.Context(), c.collect(t.Context(), members)), convey.ShouldNotBeNil)
		c.store.setDown(false)
		convey.So(c.write(t.Context(), c.collect(t.Context(), members)), convey.ShouldBeNil)
		convey.So(other.coveredAt.Load(), convey.ShouldEqual, 0)
		c.lastWriteOK = true
		c.collect(t.Context(), members)
		convey.So(other.coveredAt.Load(), convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("An agent is notified that another one writes for it before it has flows", t, func() {
		c, other := newTestCheckpointer(newFakeStore()), newTestCheckpointer(newFakeStore())
		server := httptest.NewServer(other)
		defer server.Close()
		c.group = func() ([]checkpointSource, int) {
			return []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}}, 1
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*checkpointInterval+checkpointInterval/2)
		defer cancel()
		convey.So(c.run(ctx), convey.ShouldBeNil)
		convey.So(other.coveredAt.Load(), convey.ShouldBeGreaterThan, 0)
		convey.So(c.store.puts, convey.ShouldEqual, 0)
	})
}

func endpointOf(server *httptest.Server) passthrough.Endpoint {
	return passthrough.EndpointOf(netip.MustParseAddrPort(server.Listener.Addr().String()))
}
