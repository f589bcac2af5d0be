package admission

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// drainNow lets an agent refuse all new work of its own.
func (a *agent) drainNow() {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.gate.Drain(canceled)
}

func TestHandOff(t *testing.T) {
	convey.Convey("A request that its agent cannot start runs at a sibling, once", t, func() {
		f := newFleet(t, 2)
		f.agent("s1").drainNow()
		got := f.agent("s1").post("tags")
		convey.So(got.status, convey.ShouldEqual, 200)
		convey.So(got.body, convey.ShouldEqual, "s2 ran tags")
		convey.So(got.header.Get(headerRoom), convey.ShouldEqual, "")
		convey.So(f.ran(""), convey.ShouldEqual, 1)
		convey.So(f.agent("s1").gate.Counters().HandedOff, convey.ShouldEqual, 1)
	})
	convey.Convey("A keyed request that was handed off is answered from the ledger later", t, func() {
		f := newFleet(t, 3)
		f.agent("s1").drainNow()
		key := f.key()
		first := f.agent("s1").post("tags", HeaderKey, key)
		convey.So(first.status, convey.ShouldEqual, 200)
		again := f.agent("s1").post("tags", HeaderKey, key)
		convey.So(again.body, convey.ShouldEqual, first.body)
		convey.So(again.header.Get(HeaderReplayed), convey.ShouldEqual, "true")
		convey.So(f.ran(key), convey.ShouldEqual, 1)
	})
	convey.Convey("A backend server that takes no connections costs a hand-off only", t, func() {
		f := newFleet(t, 2)
		f.agent("s1").backend.Close()
		key := f.key()
		got := f.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.body, convey.ShouldEqual, "s2 ran tags")
		convey.So(f.ran(key), convey.ShouldEqual, 1)
		convey.So(f.agent("s2").post("tags", HeaderKey, key).header.Get(HeaderReplayed), convey.ShouldEqual, "true")
	})
}

func TestFailingBackendServerIsAvoided(t *testing.T) {
	convey.Convey("While the own backend server resets, requests run at a sibling", t, func() {
		f := newFleet(t, 2)
		f.serve = func(name string, w http.ResponseWriter, r *http.Request) {
			if name == "s1" && r.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, name)
		}
		lost, served := 0, 0
		for range 50 {
			got := f.agent("s1").post("tags")
			switch got.promise() {
			case "200   ":
				served++
			case "502 backend_failed unknown unknown":
				lost++
			}
		}
		convey.So(lost, convey.ShouldBeGreaterThan, 0)
		convey.So(lost, convey.ShouldBeLessThan, 10)
		convey.So(served, convey.ShouldEqual, 50-lost)
	})
}

func TestHandOffFails(t *testing.T) {
	convey.Convey("A sibling without room leaves the request not run", t, func() {
		f := newFleet(t, 2)
		block := make(chan struct{})
		started := make(chan struct{}, 8)
		f.serve = func(_ string, _ http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			select {
			case <-block:
			case <-r.Context().Done():
			}
		}
		busy := make(chan reply, 1)
		go func() { busy <- f.agent("s2").post("busy") }()
		<-started
		waitFor(t, "the sibling is full", func() bool { return f.agent("s2").gate.seen.Load().room == 0 })
		f.agent("s1").drainNow()
		key := f.key()
		got := f.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.promise(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(f.ran(key), convey.ShouldEqual, 0)
		close(block)
		convey.So((<-busy).status, convey.ShouldEqual, 200)
		waitFor(t, "the key is free again", func() bool {
			return f.agent("s2").post("tags", HeaderKey, key).status == 200
		})
		convey.So(f.ran(key), convey.ShouldEqual, 1)
	})
	convey.Convey("All siblings leaving: the hop limit ends the search", t, func() {
		f := newFleet(t, 3)
		f.hideDrain = true
		for _, a := range f.list() {
			a.drainNow()
		}
		got := f.agent("s1").post("tags")
		convey.So(got.promise(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(f.ran(""), convey.ShouldEqual, 0)
		handedOff := uint64(0)
		for _, a := range f.list() {
			handedOff += a.gate.Counters().HandedOff
		}
		convey.So(handedOff, convey.ShouldEqual, 1)
	})
	convey.Convey("A sibling that cannot be reached leaves the request not run", t, func() {
		f := newFleet(t, 2)
		f.agent("s1").drainNow()
		_ = f.agent("s2").control.Listener.Close()
		_ = f.agent("s2").far.Listener.Close()
		got := f.agent("s1").post("tags")
		convey.So(got.promise(), convey.ShouldEqual, "503 draining not-run not-run")
		convey.So(f.ran(""), convey.ShouldEqual, 0)
	})
	convey.Convey("A hand-off whose answer is lost has an unknown outcome and is not tried again", t, func() {
		f := newFleet(t, 3)
		var sibling string
		f.serve = func(name string, w http.ResponseWriter, _ *http.Request) {
			sibling = name
			f.agent(name).control.CloseClientConnections()
			f.agent(name).far.CloseClientConnections()
			_, _ = io.WriteString(w, "done")
		}
		f.agent("s1").drainNow()
		key := f.key()
		got := f.agent("s1").post("tags", HeaderKey, key)
		convey.So(got.promise(), convey.ShouldEqual, "502 backend_failed unknown unknown")
		convey.So(f.ran(key), convey.ShouldEqual, 1)
		waitFor(t, "the outcome is stored", func() bool {
			again := f.agent(sibling).post("tags", HeaderKey, key)
			return again.status == 200 && again.header.Get(HeaderReplayed) == "true"
		})
		convey.So(f.ran(key), convey.ShouldEqual, 1)
	})
}

func TestHeadersOfAgentsCannotBeForged(t *testing.T) {
	convey.Convey("Neither caller nor backend server can speak for an agent", t, func() {
		f := newFleet(t, 1)
		var seen http.Header
		f.serve = func(_ string, w http.ResponseWriter, r *http.Request) {
			seen = r.Header.Clone()
			w.Header().Set(HeaderRun, "not-run")
			w.Header().Set(HeaderError, "overloaded")
			_, _ = io.WriteString(w, "done")
		}
		key := f.key()
		got := f.agent("s1").post("tags", HeaderKey, key, headerClaimed, headerTrue, headerHops, "1", HeaderAttempt, "1")
		convey.So(got.promise(), convey.ShouldEqual, "200   ")
		convey.So(seen.Get(headerClaimed), convey.ShouldEqual, "")
		convey.So(seen.Get(headerHops), convey.ShouldEqual, "")
		convey.So(seen.Get(HeaderAttempt), convey.ShouldEqual, "1")
		convey.So(f.agent("s1").post("tags", HeaderKey, key).header.Get(HeaderReplayed), convey.ShouldEqual, "true")
	})
}
