package admission

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// startDrain makes the agent refuse all new requests and does not wait for open ones.
func (a *testAgent) startDrain() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.gate.Drain(canceled)
}

func TestHandOff(t *testing.T) {
	convey.Convey("A request that its agent cannot start is run once by a sibling", t, func() {
		cluster := newTestCluster(t, 2)
		cluster.agent("s1").startDrain()
		got := cluster.agent("s1").post("tags")
		convey.So(got.status, convey.ShouldEqual, 200)
		convey.So(got.body, convey.ShouldEqual, "s2 ran tags")
		convey.So(got.header.Get(headerFreeSlots), convey.ShouldEqual, "")
		convey.So(cluster.executionCount(""), convey.ShouldEqual, 1)
		convey.So(cluster.agent("s1").gate.Counters().HandedOff, convey.ShouldEqual, 1)
	})
	convey.Convey("A retry of a keyed request that was handed off is answered from the ledger", t, func() {
		cluster := newTestCluster(t, 3)
		cluster.agent("s1").startDrain()
		key := cluster.key()
		first := cluster.agent("s1").post("tags", HeaderKey, key)
		convey.So(first.status, convey.ShouldEqual, 200)
		retry := cluster.agent("s1").post("tags", HeaderKey, key)
		convey.So(retry.body, convey.ShouldEqual, first.body)
		convey.So(retry.header.Get(HeaderReplayed), convey.ShouldEqual, "true")
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 1)
	})
	convey.Convey("A request is handed off if the backend server accepts no connections", t, func() {
		cluster := newTestCluster(t, 2)
		cluster.agent("s1").backend.Close()
		key := cluster.key()
		got := cluster.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.body, convey.ShouldEqual, "s2 ran tags")
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 1)
		convey.So(cluster.agent("s2").post("tags", HeaderKey, key).header.Get(HeaderReplayed), convey.ShouldEqual, "true")
	})
}

func TestFailingBackendServerIsAvoided(t *testing.T) {
	convey.Convey("While the agent's own backend server resets connections, requests are run by a sibling", t, func() {
		cluster := newTestCluster(t, 2)
		cluster.serve = func(name string, w http.ResponseWriter, r *http.Request) {
			if name == "s1" && r.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, name)
		}
		failed, served := 0, 0
		for range 50 {
			got := cluster.agent("s1").post("tags")
			switch got.guarantee() {
			case "200   ":
				served++
			case "502 backend_failed unknown unknown":
				failed++
			}
		}
		convey.So(failed, convey.ShouldBeGreaterThan, 0)
		convey.So(failed, convey.ShouldBeLessThan, 10)
		convey.So(served, convey.ShouldEqual, 50-failed)
	})
}

func TestHandOffFails(t *testing.T) {
	convey.Convey("A request is not run if the sibling has no free slot", t, func() {
		cluster := newTestCluster(t, 2)
		block := make(chan struct{})
		started := make(chan struct{}, 8)
		cluster.serve = func(_ string, _ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			select {
			case <-block:
			case <-r.Context().Done():
			}
		}
		busy := make(chan reply, 1)
		go func() { busy <- cluster.agent("s2").post("busy") }()
		<-started
		waitFor(t, "the sibling is full", func() bool { return cluster.agent("s2").gate.snapshot.Load().freeSlots == 0 })
		cluster.agent("s1").startDrain()
		key := cluster.key()
		got := cluster.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.guarantee(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 0)
		close(block)
		convey.So((<-busy).status, convey.ShouldEqual, 200)
		waitFor(t, "the key is released", func() bool {
			return cluster.agent("s2").post("tags", HeaderKey, key).status == 200
		})
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 1)
	})
	convey.Convey("If all siblings are draining, the hop limit ends the search", t, func() {
		cluster := newTestCluster(t, 3)
		cluster.hideDrain = true
		for _, a := range cluster.list() {
			a.startDrain()
		}
		got := cluster.agent("s1").post("tags")
		convey.So(got.guarantee(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(cluster.executionCount(""), convey.ShouldEqual, 0)
		handedOff := uint64(0)
		for _, a := range cluster.list() {
			handedOff += a.gate.Counters().HandedOff
		}
		convey.So(handedOff, convey.ShouldEqual, 1)
	})
	convey.Convey("A request is not run if the sibling cannot be reached", t, func() {
		cluster := newTestCluster(t, 2)
		cluster.agent("s1").startDrain()
		_ = cluster.agent("s2").control.Listener.Close()
		_ = cluster.agent("s2").remoteControl.Listener.Close()
		got := cluster.agent("s1").post("tags")
		convey.So(got.guarantee(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(cluster.executionCount(""), convey.ShouldEqual, 0)
	})
	convey.Convey("A hand-off whose response is lost has an unknown outcome and is not retried", t, func() {
		cluster := newTestCluster(t, 3)
		var sibling string
		cluster.serve = func(name string, w http.ResponseWriter, _ *http.Request) {
			sibling = name
			cluster.agent(name).control.CloseClientConnections()
			cluster.agent(name).remoteControl.CloseClientConnections()
			_, _ = io.WriteString(w, "done")
		}
		cluster.agent("s1").startDrain()
		key := cluster.key()
		got := cluster.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.guarantee(), convey.ShouldEqual, "502 backend_failed unknown unknown")
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 1)
		waitFor(t, "the outcome is stored", func() bool {
			retry := cluster.agent(sibling).post("tags", HeaderKey, key)
			return retry.status == 200 && retry.header.Get(HeaderReplayed) == "true"
		})
		convey.So(cluster.executionCount(key), convey.ShouldEqual, 1)
	})
}

func TestHeadersOfAgentsCannotBeForged(t *testing.T) {
	convey.Convey("Internal headers from callers and backend servers are dropped", t, func() {
		cluster := newTestCluster(t, 1)
		var seen http.Header
		cluster.serve = func(_ string, w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set(HeaderRun, "not-run")
			w.Header().Set(HeaderError, "overloaded")
			_, _ = io.WriteString(w, "done")
		}
		key := cluster.key()
		got := cluster.agent("s1").post("tags", HeaderKey, key, headerClaimed, headerTrue, headerHops, "1", HeaderAttempt, "1")
		convey.So(got.guarantee(), convey.ShouldEqual, "200   ")
		convey.So(seen.Get(headerClaimed), convey.ShouldEqual, "")
		convey.So(seen.Get(headerHops), convey.ShouldEqual, "")
		convey.So(seen.Get(HeaderAttempt), convey.ShouldEqual, "1")
		convey.So(cluster.agent("s1").post("tags", HeaderKey, key).header.Get(HeaderReplayed), convey.ShouldEqual, "true")
	})
}
