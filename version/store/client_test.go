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

func newServerAndClient(t *testing.T, options store.Options) (*storetest.Server, *store.Client) {
	server := storetest.NewServer()
	t.Cleanup(server.Close)
	options.Address = server.Address()
	client := store.NewClient(options)
	t.Cleanup(client.Close)
	return server, client
}

func TestReadsAndWrites(t *testing.T) {
	server, client := newServerAndClient(t, store.Options{})
	ctx := t.Context()
	convey.Convey("Compare-and-swap creates, changes and deletes a key", t, func() {
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
	convey.Convey("A value over the size limit is rejected before it is sent", t, func() {
		calls := server.Calls()
		err := client.CompareAndSwap(ctx, "big", make([]byte, store.MaxValueBytes+1), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.TooLarge)
		convey.So(server.Calls(), convey.ShouldEqual, calls)
	})
}

func TestFailures(t *testing.T) {
	convey.Convey("A write whose response is lost has an unknown outcome", t, func() {
		server, client := newServerAndClient(t, store.Options{})
		server.SetFaults(storetest.Faults{DropWriteResponses: 1})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
		convey.So(string(server.Value("k")), convey.ShouldEqual, "1")
	})
	convey.Convey("A write that times out has an unknown outcome", t, func() {
		server, client := newServerAndClient(t, store.Options{Timeout: 50 * time.Millisecond})
		// If the process stalls until after the delay, the response can precede the timeout.
		server.SetFaults(storetest.Faults{Delay: 2 * time.Second})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.OutcomeUnknown)
	})
	convey.Convey("A write rejected by the rate limit of the service did not take effect", t, func() {
		server, client := newServerAndClient(t, store.Options{})
		server.SetFaults(storetest.Faults{RateLimitedCalls: 1})
		err := client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Value("k"), convey.ShouldBeNil)
	})
	convey.Convey("A write without a connection did not take effect", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		address := listener.Addr().String()
		convey.So(listener.Close(), convey.ShouldBeNil)
		client := store.NewClient(store.Options{Address: address})
		err = client.CompareAndSwap(t.Context(), "k", []byte("1"), 0)
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
	})
	convey.Convey("A read rejected by the rate limit of the service is retried up to the limit of attempts", t, func() {
		server, client := newServerAndClient(t, store.Options{})
		server.SetFaults(storetest.Faults{RateLimitedCalls: 2})
		_, err := client.Get(t.Context(), "k")
		convey.So(err, convey.ShouldBeNil)
		server.SetFaults(storetest.Faults{RateLimitedCalls: 100})
		before := server.Calls()
		_, err = client.Get(t.Context(), "k")
		convey.So(errkind.Of(err), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Calls()-before, convey.ShouldEqual, store.DefaultAttempts)
	})
	convey.Convey("Calls over the rate limit of the client wait until their context is done", t, func() {
		server, client := newServerAndClient(t, store.Options{CallsPerSecond: 0.001, Burst: 2})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		var lastErr error
		for range 5 {
			_, lastErr = client.Get(ctx, "k")
		}
		convey.So(errkind.Of(lastErr), convey.ShouldEqual, errkind.StoreUnavailable)
		convey.So(server.Calls(), convey.ShouldEqual, 2)
	})
}

func TestSessions(t *testing.T) {
	convey.Convey("Renewing an expired session fails, and a held lock does not replace the index check", t, func() {
		server, client := newServerAndClient(t, store.Options{})
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

// waitForValue waits until the wanted value arrives on the channel.
func waitForValue(t *testing.T, values <-chan string, want string) {
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

// waitForCalls waits until the server has received the given number of calls.
func waitForCalls(t *testing.T, server *storetest.Server, calls int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); server.Calls() < calls; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the stalled connection was not replaced")
		}
	}
}

func TestWatch(t *testing.T) {
	options := store.Options{WatchWait: 200 * time.Millisecond, WatchGrace: 100 * time.Millisecond}
	convey.Convey("A watch reports a key before its creation, after it and after an outage", t, func() {
		server, client := newServerAndClient(t, options)
		values := watchValues(t.Context(), client, "k")
		waitForValue(t, values, "")
		server.Put("k", []byte("1"))
		waitForValue(t, values, "1")
		server.SetFaults(storetest.Faults{Down: true})
		server.Put("k", []byte("2"))
		server.SetFaults(storetest.Faults{})
		waitForValue(t, values, "2")
	})
	convey.Convey("A watch reports a change after the service was restored, at the index of the previous one", t, func() {
		server, client := newServerAndClient(t, options)
		server.Put("k", []byte("1"))
		restore := server.Snapshot()
		server.Put("k", []byte("2"))
		values := watchValues(t.Context(), client, "k")
		waitForValue(t, values, "2")
		server.SetFaults(storetest.Faults{Down: true})
		restore()
		server.Put("k", []byte("3"))
		server.CloseConnections()
		server.SetFaults(storetest.Faults{})
		waitForValue(t, values, "3")
	})
	convey.Convey("A watch replaces a stalled connection", t, func() {
		server, client := newServerAndClient(t, options)
		values := watchValues(t.Context(), client, "k")
		waitForValue(t, values, "")
		server.SetFaults(storetest.Faults{StallWatches: true})
		server.Put("k", []byte("1"))
		waitForCalls(t, server, server.Calls()+1)
		server.SetFaults(storetest.Faults{})
		waitForValue(t, values, "1")
	})
}
