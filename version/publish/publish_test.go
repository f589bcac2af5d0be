package publish

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

// testConfig returns a configuration with count services. The first has the given
// port.
func testConfig(t testing.TB, count, port int) *config.Config {
	text := []byte("[[domain]]\nname = \"junin\"\n")
	for i := range count {
		p := 80
		if i == 0 {
			p = port
		}
		text = fmt.Appendf(text, "[[service]]\nname = \"service-%d\"\naddress = \"198.18.%d.%d\"\nport = %d\n", i, i/250, i%250+1, p)
	}
	c, err := config.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newPublisher(t testing.TB, server *storetest.Server) *Publisher {
	client := store.NewClient(store.Options{Address: server.Address(), Timeout: time.Second, CallsPerSecond: 10000, Burst: 10000})
	t.Cleanup(client.Close)
	return New(client)
}

func newServer(t testing.TB) *storetest.Server {
	server := storetest.NewServer()
	t.Cleanup(server.Close)
	return server
}

func TestPublishAndLoad(t *testing.T) {
	convey.Convey("Versions increase, a change of one service writes one section, and identical content is not published", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		snapshot, err := Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(snapshot.Version, convey.ShouldEqual, 0)
		result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 100, 80)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 1)
		sections := len(server.Keys(SectionPrefix))
		result, err = p.Publish(t.Context(), Request{Config: testConfig(t, 100, 81)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 2)
		convey.So(result.NewTexts, convey.ShouldHaveLength, 1)
		convey.So(result.Changes, convey.ShouldHaveLength, 1)
		convey.So(server.Keys(SectionPrefix), convey.ShouldHaveLength, sections+1)
		result, err = p.Publish(t.Context(), Request{Config: testConfig(t, 100, 81)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Outcome, convey.ShouldEqual, Unchanged)
		snapshot, err = Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(snapshot.Version, convey.ShouldEqual, 2)
		convey.So(config.Diff(snapshot.Config, testConfig(t, 100, 81)), convey.ShouldBeEmpty)
	})
	convey.Convey("An expected version that is not current is a conflict, and the new version is above the floor", t, func() {
		p := newPublisher(t, newServer(t))
		expected := uint64(3)
		result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 1, 80), Expect: &expected})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Conflict)
		convey.So(result.Outcome, convey.ShouldEqual, Refused)
		result, err = p.Publish(t.Context(), Request{Config: testConfig(t, 1, 80), Floor: 41})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 42)
	})
}

// TestSectionsLostByStore guards against an accepted version that no process can read: the store
// was restored from an older copy between the writes of its sections and of its root.
func TestSectionsLostByStore(t *testing.T) {
	convey.Convey("Sections that a restored store has lost are written again", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		_, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 80)})
		convey.So(err, convey.ShouldBeNil)
		p.beforeRootWrite = server.Snapshot()
		result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 81)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Unverified, convey.ShouldBeEmpty)
		snapshot, err := Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(snapshot.Version, convey.ShouldEqual, 2)
		convey.So(config.Diff(snapshot.Config, testConfig(t, 3, 81)), convey.ShouldBeEmpty)
	})
}

func TestLostResponse(t *testing.T) {
	convey.Convey("If the response is lost after the write took effect, the operation is found in the root", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		server.SetFaults(storetest.Faults{DropWriteResponses: 1, DropKeyPrefix: RootKey})
		result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 80)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Outcome, convey.ShouldEqual, Accepted)
		convey.So(result.Version, convey.ShouldEqual, 1)
	})
	convey.Convey("A write without effect is fenced by a higher epoch and repeated once", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		p.beforeRootWrite = func() {
			server.SetFaults(storetest.Faults{Delay: 3 * time.Second, Down: true})
			p.beforeRootWrite = func() {}
			time.AfterFunc(time.Second, func() { server.SetFaults(storetest.Faults{}) })
		}
		result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 80)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 1)
		root, err := DecodeRoot(server.Value(RootKey))
		convey.So(err, convey.ShouldBeNil)
		convey.So(root.Recent, convey.ShouldHaveLength, 1)
		convey.So(root.Epoch, convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("If the response is lost and the store goes down, the outcome is unknown, and a repetition after another publication finds it", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		interrupted := newPublisher(t, server)
		server.SetFaults(storetest.Faults{DropWriteResponses: 1, DropKeyPrefix: RootKey, DownAfterDrop: true})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		result, err := interrupted.Publish(ctx, Request{Config: testConfig(t, 3, 80), Operation: "mine"})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
		convey.So(result.Outcome, convey.ShouldEqual, Unknown)

		server.SetFaults(storetest.Faults{})
		_, err = p.Publish(t.Context(), Request{Config: testConfig(t, 3, 81)})
		convey.So(err, convey.ShouldBeNil)
		again, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 80), Operation: "mine"})
		convey.So(err, convey.ShouldBeNil)
		convey.So(again.Version, convey.ShouldEqual, 1)
		convey.So(again.Current, convey.ShouldEqual, 2)
		snapshot, err := Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(snapshot.Config, testConfig(t, 3, 81)), convey.ShouldBeEmpty)
	})
}

// TestRepetitionWithoutStore repeats an operation that has made a version while the store
// does not let the repetition find that out.
func TestRepetitionWithoutStore(t *testing.T) {
	cases := []struct {
		name string
		// content is the port in the repeated configuration; the version has port 80.
		content int
		fail    func(server *storetest.Server, p *Publisher)
	}{
		{"the root cannot be read", 80, func(server *storetest.Server, _ *Publisher) {
			server.SetFaults(storetest.Faults{RateLimitedCalls: 1000})
		}},
		{"the store is down", 80, func(server *storetest.Server, _ *Publisher) {
			server.SetFaults(storetest.Faults{Down: true})
		}},
	}
	for _, c := range cases {
		convey.Convey("If "+c.name+", the outcome of a repeated operation is unknown, and a later repetition finds it", t, func() {
			server := newServer(t)
			p := newPublisher(t, server)
			request := Request{Config: testConfig(t, 3, 80), Operation: "mine"}
			_, err := p.Publish(t.Context(), request)
			convey.So(err, convey.ShouldBeNil)
			c.fail(server, p)
			request.Config = testConfig(t, 3, c.content)
			result, err := p.Publish(t.Context(), request)
			convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
			convey.So(result.Outcome, convey.ShouldEqual, Unknown)
			server.SetFaults(storetest.Faults{})
			result, err = p.Publish(t.Context(), request)
			convey.So(err, convey.ShouldBeNil)
			convey.So(result.Outcome, convey.ShouldEqual, Accepted)
			convey.So(result.Version, convey.ShouldEqual, 1)
		})
	}
	stages := []struct {
		name  string
		apply func(server *storetest.Server, p *Publisher)
	}{
		{"its sections cannot be written", func(server *storetest.Server, _ *Publisher) {
			server.OnWrite(func(string) { server.SetFaults(storetest.Faults{RateLimitedCalls: 1000}) })
		}},
		{"its root cannot be written", func(server *storetest.Server, p *Publisher) {
			p.beforeRootWrite = func() { server.SetFaults(storetest.Faults{RateLimitedCalls: 1000}) }
		}},
		{"another operation is first and cannot be read", func(server *storetest.Server, p *Publisher) {
			p.beforeRootWrite = func() {
				_, err := newPublisher(t, server).Publish(t.Context(), Request{Config: testConfig(t, 3, 81)})
				convey.So(err, convey.ShouldBeNil)
				server.OnWrite(func(string) { server.SetFaults(storetest.Faults{Down: true}) })
			}
		}},
	}
	for _, given := range []string{"", "mine"} {
		for _, c := range stages {
			convey.Convey(fmt.Sprintf("If %s, only an operation with a given ID (%q) has an unknown outcome", c.name, given), t, func() {
				server := newServer(t)
				p := newPublisher(t, server)
				c.apply(server, p)
				result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 82), Operation: given})
				convey.So(err, convey.ShouldNotBeNil)
				convey.So(errkind.Is(err, errkind.OutcomeUnknown), convey.ShouldEqual, given != "")
				convey.So(result.Outcome == Unknown, convey.ShouldEqual, given != "")
			})
		}
	}
	convey.Convey("A repetition that expects a version is refused unless the root no longer lists the operations after it", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		expected := uint64(1)
		for version := range recentOperations + 2 {
			_, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 100+version)})
			convey.So(err, convey.ShouldBeNil)
			if version == 0 {
				continue
			}
			result, err := p.Publish(t.Context(), Request{Config: testConfig(t, 3, 99), Operation: "mine", Expect: &expected})
			convey.So(err, convey.ShouldNotBeNil)
			evicted := version > recentOperations
			convey.So(result.Outcome == Unknown, convey.ShouldEqual, evicted)
			convey.So(errkind.Is(err, errkind.Conflict), convey.ShouldEqual, !evicted)
		}
	})
}

func TestConcurrentOperators(t *testing.T) {
	convey.Convey("Of two concurrent operators one succeeds and the other receives the differences, ten times", t, func() {
		server := newServer(t)
		for round := range 10 {
			start := make(chan struct{})
			var results [2]Result
			var errs [2]error
			var wait sync.WaitGroup
			var both sync.WaitGroup
			both.Add(2)
			for i := range 2 {
				p := newPublisher(t, server)
				// Neither writes the root before both have read it.
				p.beforeRootWrite = sync.OnceFunc(func() {
					both.Done()
					both.Wait()
				})
				wait.Go(func() {
					<-start
					results[i], errs[i] = p.Publish(t.Context(), Request{Config: testConfig(t, 5, 100*(round+1)+i)})
				})
			}
			close(start)
			wait.Wait()
			winner, loser := 0, 1
			if errs[0] != nil {
				winner, loser = 1, 0
			}
			convey.So(errs[winner], convey.ShouldBeNil)
			convey.So(errkind.Of(errs[loser]), convey.ShouldEqual, errkind.Conflict)
			convey.So(results[winner].Version, convey.ShouldEqual, round+1)
			convey.So(results[loser].Outcome, convey.ShouldEqual, Refused)
			convey.So(results[loser].Current, convey.ShouldEqual, round+1)
			convey.So(results[loser].Changes, convey.ShouldHaveLength, 1)
			convey.So(results[loser].Changes[0].Old, convey.ShouldEqual, fmt.Sprint(100*(round+1)+winner))
			snapshot, err := Load(t.Context(), newPublisher(t, server).client)
			convey.So(err, convey.ShouldBeNil)
			convey.So(config.Diff(snapshot.Config, testConfig(t, 5, 100*(round+1)+winner)), convey.ShouldBeEmpty)
		}
	})
}

func TestOperationStatus(t *testing.T) {
	b := base{version: Version{Root: Root{Version: 5}}, index: 50}
	full := make([]Operation, recentOperations)
	for i := range full {
		full[i] = Operation{ID: fmt.Sprint(i), Version: uint64(20 + i)}
	}
	cases := []struct {
		name  string
		root  Root
		index uint64
		want  opStatus
	}{
		{"listing the operation", Root{Version: 6, Recent: []Operation{{ID: "mine", Version: 6}}}, 51, opCommitted},
		{"unchanged", Root{Version: 5}, 50, opPending},
		{"stale", Root{Version: 4}, 49, opPending},
		{"changed only in its epoch", Root{Version: 5}, 51, opNotCommitted},
		{"of another version", Root{Version: 6, Recent: []Operation{{ID: "other", Version: 6}}}, 51, opNotCommitted},
		{"no longer listing operations of that time", Root{Version: 51, Recent: full}, 90, opEvicted},
	}
	for _, c := range cases {
		convey.Convey("A root "+c.name, t, func() {
			got, _ := operationStatus(b, c.root, c.index, "mine")
			convey.So(got, convey.ShouldEqual, c.want)
		})
	}
}

func TestRejectionBeforeAnOutage(t *testing.T) {
	convey.Convey("A write that the store rejects is refused, even if the store goes down right after it", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		p.beforeRootWrite = func() {
			_, err := newPublisher(t, server).Publish(t.Context(), Request{Config: testConfig(t, 3, 81)})
			convey.So(err, convey.ShouldBeNil)
			server.OnWrite(func(string) { server.SetFaults(storetest.Faults{Down: true}) })
		}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		result, err := p.Publish(ctx, Request{Config: testConfig(t, 3, 82)})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Conflict)
		convey.So(result.Outcome, convey.ShouldEqual, Refused)
	})
}

func TestPausedWriter(t *testing.T) {
	convey.Convey("A writer that is paused until its lease has expired does not overwrite a later version", t, func() {
		server := newServer(t)
		paused := newPublisher(t, server)
		other := newPublisher(t, server)
		session, err := paused.client.CreateSession(t.Context(), 10*time.Second, store.BehaviorRelease)
		convey.So(err, convey.ShouldBeNil)
		convey.So(paused.client.CompareAndSwapWithSession(t.Context(), "config/lock", nil, 0, session), convey.ShouldBeNil)
		paused.beforeRootWrite = func() {
			paused.beforeRootWrite = func() {}
			server.ExpireSession(session)
			_, err := other.Publish(t.Context(), Request{Config: testConfig(t, 3, 81)})
			convey.So(err, convey.ShouldBeNil)
		}
		result, err := paused.Publish(t.Context(), Request{Config: testConfig(t, 3, 82)})
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Conflict)
		convey.So(result.Outcome, convey.ShouldEqual, Refused)
		snapshot, err := Load(t.Context(), other.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(snapshot.Config, testConfig(t, 3, 81)), convey.ShouldBeEmpty)
	})
}

func TestCollect(t *testing.T) {
	convey.Convey("Unreferenced sections are removed, and a concurrent operation starts again", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		for port := range 5 {
			_, err := p.Publish(t.Context(), Request{Config: testConfig(t, 2, 80+port)})
			convey.So(err, convey.ShouldBeNil)
		}
		other := newPublisher(t, server)
		other.beforeRootWrite = sync.OnceFunc(func() {
			removed, err := p.Collect(t.Context())
			convey.So(err, convey.ShouldBeNil)
			convey.So(removed, convey.ShouldEqual, 5)
		})
		result, err := other.Publish(t.Context(), Request{Config: testConfig(t, 2, 90)})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 6)
		snapshot, err := Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(snapshot.Config, testConfig(t, 2, 90)), convey.ShouldBeEmpty)
	})
}

func TestUpdate(t *testing.T) {
	convey.Convey("A change is applied again after a conflict", t, func() {
		server := newServer(t)
		p := newPublisher(t, server)
		_, err := p.Publish(t.Context(), Request{Config: testConfig(t, 2, 80)})
		convey.So(err, convey.ShouldBeNil)
		other := newPublisher(t, server)
		p.beforeRootWrite = sync.OnceFunc(func() {
			_, err := other.Publish(t.Context(), Request{Config: testConfig(t, 2, 81)})
			convey.So(err, convey.ShouldBeNil)
		})
		result, err := p.Update(t.Context(), 0, func(c *config.Config) (*config.Config, error) {
			changed, _ := c.WithDomainOut("junin", true)
			return changed, nil
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.Version, convey.ShouldEqual, 3)
		snapshot, err := Load(t.Context(), p.client)
		convey.So(err, convey.ShouldBeNil)
		convey.So(snapshot.Config.DomainOut("junin"), convey.ShouldBeTrue)
		service, _ := snapshot.Config.Service("service-0")
		convey.So(service.Port, convey.ShouldEqual, 81)
	})
}
