package store_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/version/store"
	"bergamotbank/version/store/storetest"
)

func newPair(t *testing.T, options store.Options) (*storetest.Server, *store.Client) {
	server := storetest.NewServer()
	t.Cleanup(server.Close)
	options.Address = server.Address()
	client := store.NewClient(options)
	t.Cleanup(client.Close)
	return server, client
}

func TestReadsAndWrites(t *testing.T) {
	server, client := newPair(t, store.Options{})
	ctx := t.Context()
	convey.Convey("A key is created, changed and deleted by compare-and-swap", t, func() {
		entry, err := client.Get(ctx, "a/b")
		convey.So(err, convey.ShouldBeNil)
		convey.So(entry.Exists(), convey.ShouldBeFalse)
		convey.So(client.CompareAndSwap(ctx, "a/b", []byte("1"), 0), convey.ShouldBeNil)
		convey.So(errkind.Of(client.CompareAndSwap(ctx, "a/b", []byte("2"), 0)), convey.ShouldEqual, errkind.Conflict)
		entry, err = client.Get(ctx, "a/b")
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(entry.Value), convey.ShouldEqual, "1")
		convey.So(client.CompareAndSwap(ctx, "a/b", []byte("2"), entry.ModifyIndex), convey.ShouldBeNil)
		convey.So(client.CompareAndSwap(ctx, "a/c", []byte("3"), 0), convey.ShouldBeNil)
		entries, err := client.List(ctx, "a/")
		convey.So(err, convey.ShouldBeNil)
		convey.So(entries, convey.ShouldHaveLength, 2)
		convey.So(errkind.Of(client.Delete(ctx, "a/b", entry.ModifyIndex)), convey.ShouldEqual, errkind.Conflict)
		convey.So(client.Delete(ctx, "a/b", entries[0].ModifyIndex), convey.ShouldBeNil)
		convey.So(server.Keys("a/"), convey.ShouldResemble, []string{"a/c"})
	})
	convey.Convey("A value over the limit is refused before it is sent", t, func() {
		calls := server.Calls()
		err := client.CompareAndSwap(ctx, "big", make([]byte, store.MaxValueBytes+1), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.TooLarge)
		convey.So(server.Calls(), convey.ShouldEqual, calls)
	})
}

func TestFailures(t *testing.T) {
	convey.Convey("A write whose answer is lost has an unknown outcome", t, func() {
		server, client := newPair(t, store.Options{})
		server.SetFaults(storetest.Faults{DropWriteResponses: 1})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
		convey.So(string(server.Value("k")), convey.ShouldEqual, "1")
	})
	convey.Convey("A write that timed out has an unknown outcome", t, func() {
		server, client := newPair(t, store.Options{Timeout: 50 * time.Millisecond})
		server.SetFaults(storetest.Faults{Delay: 200 * time.Millisecond})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
	})
	convey.Convey("A write over the rate certainly did not take effect", t, func() {
		server, client := newPair(t, store.Options{})
		server.SetFaults(storetest.Faults{RateLimitedCalls: 1})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Value("k"), convey.ShouldBeNil)
	})
	convey.Convey("A write without a connection certainly did not take effect", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		address := listener.Addr().String()
		convey.So(listener.Close(), convey.ShouldBeNil)
		client := store.NewClient(store.Options{Address: address})
		err = client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
	})
	convey.Convey("A read over the rate is repeated, within bounds", t, func() {
		server, client := newPair(t, store.Options{})
		server.SetFaults(storetest.Faults{RateLimitedCalls: 2})
		_, err := client.Get(t.Context(), "k")
		convey.So(err, convey.ShouldBeNil)
		server.SetFaults(storetest.Faults{RateLimitedCalls: 100})
		before := server.Calls()
		_, err = client.Get(t.Context(), "k")
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Calls()-before, convey.ShouldEqual, store.DefaultAttempts)
	})
	convey.Convey("Calls beyond the budget wait, and end with their context", t, func() {
		server, client := newPair(t, store.Options{CallsPerSecond: 0.001, Burst: 2})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		var last error
		for range 5 {
			_, last = client.Get(ctx, "k")
		}
		convey.So(errkind.Of(last), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Calls(), convey.ShouldEqual, 2)
	})
}

func TestSessions(t *testing.T) {
	convey.Convey("A lapsed lease refuses, and a held one does not replace the index", t, func() {
		server, client := newPair(t, store.Options{})
		ctx := t.Context()
		id, err := client.CreateSession(ctx, 10*time.Second, store.BehaviorRelease)
		convey.So(err, convey.ShouldBeNil)
		convey.So(client.RenewSession(ctx, id), convey.ShouldBeNil)
		convey.So(client.CompareAndSwapWithSession(ctx, "k", []byte("1"), 0, id), convey.ShouldBeNil)
		convey.So(errkind.Of(client.CompareAndSwapWithSession(ctx, "k", []byte("2"), 0, id)), convey.ShouldEqual, errkind.Conflict)
		server.ExpireSession(id)
		convey.So(errkind.Of(client.RenewSession(ctx, id)), convey.ShouldEqual, errkind.NotFound)
	})
}

// watchValues watches a key and returns a channel of its values.
func watchValues(ctx context.Context, client *store.Client, key string) <-chan string {
	values := make(chan string, 100)
	go func() {
		_ = client.Watch(ctx, key, func(e store.Entry) { values <- string(e.Value) }, nil)
	}()
	return values
}

// await returns when the channel has brought the wanted value.
func await(t *testing.T, values <-chan string, want string) {
	t.Helper()
	deadline := time.After(10 * time.Second)
	for {
		select {
		case got := <-values:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("value %q did not arrive", want)
		}
	}
}

// awaitCalls returns when the server has got a number of calls.
func awaitCalls(t *testing.T, server *storetest.Server, calls int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); server.Calls() < calls; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the silent connection was not replaced")
		}
	}
}

func TestWatch(t *testing.T) {
	options := store.Options{WatchWait: 200 * time.Millisecond, WatchGrace: 100 * time.Millisecond}
	convey.Convey("A watch sees a key from before its creation through an outage", t, func() {
		server, client := newPair(t, options)
		values := watchValues(t.Context(), client, "k")
		await(t, values, "")
		server.Put("k", []byte("1"))
		await(t, values, "1")
		server.SetFaults(storetest.Faults{Down: true})
		server.Put("k", []byte("2"))
		server.SetFaults(storetest.Faults{})
		await(t, values, "2")
	})
	convey.Convey("A watch whose connection is silent for good is replaced", t, func() {
		server, client := newPair(t, options)
		values := watchValues(t.Context(), client, "k")
		await(t, values, "")
		server.SetFaults(storetest.Faults{StallWatches: true})
		server.Put("k", []byte("1"))
		awaitCalls(t, server, server.Calls()+1)
		server.SetFaults(storetest.Faults{})
		await(t, values, "1")
	})
}
