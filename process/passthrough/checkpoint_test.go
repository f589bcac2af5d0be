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
		name:   "agent-1",
		group: func() ([]checkpointSource, int) {
			return []checkpointSource{{name: "agent-1"}}, 1
		},
		written: map[string]writtenFlows{},
		clock:   newClock(),
		take:    func() passthrough.Checkpoint { return c.flows },
		recall:  func(checkpoint passthrough.Checkpoint) { c.recalled = append(c.recalled, checkpoint) },
	}
	return c
}

// save writes the own flows.
func (c *checkpointed) save(ctx context.Context) error {
	return c.write(ctx, map[string]passthrough.Checkpoint{c.name: c.flows})
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
		convey.So(former.save(t.Context()), convey.ShouldBeNil)

		convey.Convey("the next run of the agent recalls it", func() {
			next := newCheckpointed(store)
			convey.So(next.read(t.Context()), convey.ShouldBeNil)
			convey.So(next.recalled, convey.ShouldResemble, []passthrough.Checkpoint{former.flows})
		})
		convey.Convey("an agent whose name begins alike does not", func() {
			other := newCheckpointed(store)
			other.name = "agent-"
			convey.So(other.read(t.Context()), convey.ShouldBeNil)
			convey.So(other.recalled, convey.ShouldBeEmpty)
		})
		convey.Convey("bytes of another writer are passed over with a line in the log", func() {
			store.write(checkpointPrefix+former.name, "junk")
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
			{"a caller went on for less than a reset may lag behind", func() { c.flows.Flows[0].Ack += checkpointDrift }, false},
			{"a caller went on for more", func() { c.flows.Flows[0].Ack += checkpointDrift + 1 }, true},
		} {
			convey.Convey(row.name, func() {
				row.change()
				convey.So(c.save(t.Context()), convey.ShouldBeNil)
				convey.So(c.store.writes() > before, convey.ShouldEqual, row.written)
			})
		}
		convey.Convey("without a lease nothing is written, and that is a failure", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			c.fresh = 0
			c.store.setDown(true)
			convey.So(errkind.Is(c.save(t.Context()), errkind.StoreUnavailable), convey.ShouldBeTrue)
			convey.So(c.store.writes(), convey.ShouldEqual, before)
		})
		convey.Convey("one lease serves until half of it has passed; then all is written under the next one", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.grants, convey.ShouldEqual, 1)
			puts := c.store.puts
			c.clock.start = c.clock.start.Add(-checkpointLifetime/2 - time.Second)
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.grants, convey.ShouldEqual, 2)
			convey.So(c.store.puts, convey.ShouldEqual, puts+1)
		})
		convey.Convey("a write that failed is tried again", func() {
			c.flows.Flows = append(c.flows.Flows, flowOf(3))
			c.store.setDown(true)
			convey.So(c.save(t.Context()), convey.ShouldNotBeNil)
			c.store.setDown(false)
			convey.So(c.save(t.Context()), convey.ShouldBeNil)
			convey.So(c.store.writes(), convey.ShouldBeGreaterThan, before)
		})
	})
	convey.Convey("Many agents write at a rate that a store takes", t, func() {
		for _, agents := range []int{1, 58, 1000, 26_000} {
			groups := (agents + MaxTxnEntries - 1) / MaxTxnEntries
			perSecond := float64(groups) / checkpointPause(groups).Seconds()
			convey.So(perSecond, convey.ShouldBeLessThanOrEqualTo, 50)
		}
	})
}

func TestGroupsOfAgents(t *testing.T) {
	convey.Convey("Every agent is in the group of one agent, however the names are ordered", t, func() {
		for _, count := range []int{1, 31, 32, 33, 100} {
			agents := make([]checkpointSource, count)
			for i := range agents {
				agents[i] = checkpointSource{name: fmt.Sprintf("side-%d", i*7919%count+1000), peer: passthrough.MakeEndpoint(uint32(i), 1)}
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
	convey.Convey("An agent that is leaving does not write for others", t, func() {
		agents := []checkpointSource{{name: "a", leaving: true}, {name: "b"}, {name: "c"}}
		convey.So(groupOf(agents, "a")[0].name, convey.ShouldEqual, "b")
	})
}

// TestWriterOfAGroup covers a finding of the bench: the agent that wrote for a domain
// stopped or lost the store, and nobody wrote until it was missed.
func TestWriterOfAGroup(t *testing.T) {
	convey.Convey("Given an agent that is not the first of its group", t, func() {
		c := newCheckpointed(newFakeStore())
		members := []checkpointSource{{name: "agent-0"}, {name: "agent-1"}, {name: "agent-2"}}
		const pause = 10 * time.Millisecond
		ask := func(covered string) {
			r := httptest.NewRequest(http.MethodGet, FlowsPath, nil)
			r.Header.Set(coveredHeader, covered)
			c.ServeHTTP(httptest.NewRecorder(), r)
		}
		convey.Convey("it writes nothing while the first one says that it writes", func() {
			ask("1")
			convey.So(c.mine(members, time.Minute), convey.ShouldBeEmpty)
		})
		convey.Convey("it writes its own flows when the first one is silent or cannot write", func() {
			ask("1")
			time.Sleep(coveredRounds*pause + pause)
			ask("")
			convey.So(c.mine(members, pause), convey.ShouldResemble, members[1:2])
		})
		convey.Convey("the first one writes for all", func() {
			convey.So(c.mine(members[1:], time.Minute), convey.ShouldResemble, members[1:])
		})
	})
}

func TestCheckpointsOfAGroup(t *testing.T) {
	convey.Convey("Given an agent that writes for two others, of which one does not answer", t, func() {
		c := newCheckpointed(newFakeStore())
		c.flows.Flows = []passthrough.CheckpointFlow{flowOf(1)}
		other := newCheckpointed(newFakeStore())
		other.flows.Flows = []passthrough.CheckpointFlow{flowOf(2), flowOf(3)}
		server := httptest.NewServer(other)
		defer server.Close()
		dead := httptest.NewServer(other)
		dead.Close()
		members := []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}, {name: "agent-3", peer: endpointOf(dead)}}

		gathered := c.gather(t.Context(), members)
		convey.So(gathered, convey.ShouldResemble, map[string]passthrough.Checkpoint{"agent-1": c.flows, "agent-2": other.flows})
		convey.So(c.logs.FilterMessage("agent did not give its flows").Len(), convey.ShouldEqual, 1)

		convey.Convey("it writes all in one call, each below the name of its agent", func() {
			convey.So(c.write(t.Context(), gathered), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 1)
			next := newCheckpointed(c.store)
			next.name = "agent-2"
			convey.So(next.read(t.Context()), convey.ShouldBeNil)
			convey.So(next.recalled, convey.ShouldResemble, []passthrough.Checkpoint{other.flows})
		})
		convey.Convey("it writes anew what another agent may have written meanwhile", func() {
			convey.So(c.write(t.Context(), gathered), convey.ShouldBeNil)
			convey.So(c.write(t.Context(), nil), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 1)
			convey.So(c.write(t.Context(), gathered), convey.ShouldBeNil)
			convey.So(c.store.puts, convey.ShouldEqual, 2)
		})
	})
	convey.Convey("An agent that another one writes for asks nobody", t, func() {
		c := newCheckpointed(newFakeStore())
		convey.So(c.gather(t.Context(), nil), convey.ShouldBeEmpty)
	})
	convey.Convey("Those whose flows were written are told with the next question", t, func() {
		c, other := newCheckpointed(newFakeStore()), newCheckpointed(newFakeStore())
		other.flows.Flows = []passthrough.CheckpointFlow{flowOf(2)}
		server := httptest.NewServer(other)
		defer server.Close()
		members := []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}}
		c.store.setDown(true)
		convey.So(c.write(t.Context(), c.gather(t.Context(), members)), convey.ShouldNotBeNil)
		c.store.setDown(false)
		convey.So(c.write(t.Context(), c.gather(t.Context(), members)), convey.ShouldBeNil)
		convey.So(other.covered.Load(), convey.ShouldEqual, 0)
		c.wrote = true
		c.gather(t.Context(), members)
		convey.So(other.covered.Load(), convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("An agent is told that another one writes for it before it has flows", t, func() {
		c, other := newCheckpointed(newFakeStore()), newCheckpointed(newFakeStore())
		server := httptest.NewServer(other)
		defer server.Close()
		c.group = func() ([]checkpointSource, int) {
			return []checkpointSource{{name: "agent-1"}, {name: "agent-2", peer: endpointOf(server)}}, 1
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*checkpointInterval+checkpointInterval/2)
		defer cancel()
		convey.So(c.keep(ctx), convey.ShouldBeNil)
		convey.So(other.covered.Load(), convey.ShouldBeGreaterThan, 0)
		convey.So(c.store.puts, convey.ShouldEqual, 0)
	})
}

func endpointOf(server *httptest.Server) passthrough.Endpoint {
	return passthrough.EndpointOf(netip.MustParseAddrPort(server.Listener.Addr().String()))
}
