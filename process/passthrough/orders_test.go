package passthrough

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// fakeStore is a store in memory whose watches can be deaf.
type fakeStore struct {
	Store
	mu       sync.Mutex
	items    []Item
	revision uint64
	lists    int
	puts     int
	grants   int
	compares int
	deaf     bool
	down     bool
	wake     chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{revision: 10, wake: make(chan struct{})} }

// write changes an entry; the store's revision also grows by other entries.
func (f *fakeStore) write(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision += 5
	items := []Item{}
	for _, item := range f.items {
		if item.Key != key {
			items = append(items, item)
		}
	}
	f.items = items
	if value != "" {
		f.items = append(f.items, Item{Key: key, Value: []byte(value), Revision: f.revision})
	}
	f.revision += 5
	close(f.wake)
	f.wake = make(chan struct{})
}

func (f *fakeStore) List(context.Context, string, bool) ([]Item, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.down {
		return nil, 0, errkind.New(errkind.StoreUnavailable, "down")
	}
	return f.items, f.revision, nil
}

// Put implements Store; it fails while the store is down.
func (f *fakeStore) Put(_ context.Context, entries []Item, _ uint64) error {
	if f.isDown() {
		return errkind.New(errkind.OutcomeUnknown, "down")
	}
	f.puts++
	for _, entry := range entries {
		f.write(entry.Key, string(entry.Value))
	}
	return nil
}

// Grant implements Store.
func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (uint64, time.Duration, error) {
	if f.isDown() {
		return 0, 0, errkind.New(errkind.StoreUnavailable, "down")
	}
	f.grants++
	return uint64(f.grants), ttl, nil
}

func (f *fakeStore) isDown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]Item, uint64, error) {
	for {
		f.mu.Lock()
		var events []Item
		for _, item := range f.items {
			if item.Revision > after && !f.deaf {
				events = append(events, item)
			}
		}
		wake, at := f.wake, f.revision
		f.mu.Unlock()
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, 0, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "watch")
		}
	}
}

func (f *fakeStore) Unchanged(_ context.Context, entries []Item) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compares++
	for _, entry := range entries {
		revision := uint64(0)
		for _, item := range f.items {
			if item.Key == entry.Key {
				revision = item.Revision
			}
		}
		if revision != entry.Revision {
			return false, nil
		}
	}
	return true, nil
}

// testOrders returns orders without processes around, and the versions that came
// into force.
func testOrders(store Store) (*orders, *[]*routes.Version) {
	var mu sync.Mutex
	versions := &[]*routes.Version{}
	o := &orders{
		adapter: Adapter{
			Store: store,
			ConfigKeys: func(domains []string) []string {
				keys := []string{"config"}
				for _, domain := range domains {
					keys = append(keys, "out/"+domain)
				}
				return keys
			},
			Decode: func(items []Item) (*routes.Version, error) {
				v := &routes.Version{OutDomains: map[string]bool{}}
				for _, item := range items {
					if string(item.Value) == "broken" {
						return nil, errkind.New(errkind.InvalidConfig, "broken")
					}
					v.OutDomains[item.Key] = true
				}
				return v, nil
			},
		},
		logger:   zap.NewNop(),
		clock:    newClock(),
		announce: func() {},
		watches:  func() bool { return true },
		domains:  []string{"junin"},
		apply: func(v *routes.Version) {
			mu.Lock()
			defer mu.Unlock()
			*versions = append(*versions, v)
		},
		hints: make(chan hint, 1),
	}
	return o, versions
}

func TestRevisionOfAState(t *testing.T) {
	convey.Convey("A listed and a watched state have the same revision, whatever else grows the store's", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		listed, _ := testOrders(store)
		_, err := listed.step(t.Context(), 0)
		convey.So(err, convey.ShouldBeNil)
		watched, _ := testOrders(store)
		_, err = watched.step(t.Context(), 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(listed.revision(), convey.ShouldEqual, watched.revision())
		before := listed.revision()
		convey.So(listed.read(t.Context()), convey.ShouldBeNil)
		convey.So(listed.revision(), convey.ShouldEqual, before)
	})
	convey.Convey("A deletion found by a list is a newer state", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		store.write("out/junin", "{}")
		o, versions := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		before := o.revision()
		store.write("out/junin", "")
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		convey.So(o.revision(), convey.ShouldBeGreaterThan, before)
		convey.So((*versions)[1].OutDomains["out/junin"], convey.ShouldBeFalse)
	})
}

func TestVersionsNeverGoBack(t *testing.T) {
	convey.Convey("Neither late events nor an older state of a peer replace a version", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		store.write("config", "v2")
		o, versions := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		now := o.revision()
		o.merge([]Item{{Key: "config", Value: []byte("v1"), Revision: now - 5}, {Key: "config", Revision: now - 1, Deleted: true}})
		o.replace(orderState{Revision: now - 1, Items: []Item{{Key: "config", Value: []byte("v1"), Revision: now - 1}}}, "peer")
		convey.So(o.revision(), convey.ShouldEqual, now)
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
	convey.Convey("Orders that cannot be read leave the last version in force", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		o, versions := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		before := o.revision()
		store.write("config", "broken")
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		convey.So(o.revision(), convey.ShouldEqual, before)
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
}

// TestDeafWatch covers a finding of the bench: a watch that heard nothing for
// seconds kept a version out of force everywhere.
func TestDeafWatch(t *testing.T) {
	convey.Convey("A version comes into force though the watch is deaf", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		o, _ := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		before := o.revision()
		store.deaf = true
		store.write("config", "v2")
		ctx, stop := context.WithTimeout(t.Context(), pollAge+pollJitter+500*time.Millisecond)
		defer stop()
		_ = o.poll(ctx)
		convey.So(o.revision(), convey.ShouldBeGreaterThan, before)
	})
	convey.Convey("Who hears that others have read does not read", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		o, _ := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		compares := store.compares
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		defer stop()
		go func() {
			for ctx.Err() == nil {
				o.confirm(0)
				time.Sleep(50 * time.Millisecond)
			}
		}()
		_ = o.poll(ctx)
		convey.So(store.compares, convey.ShouldEqual, compares)
	})
	convey.Convey("Unchanged orders are compared, not read", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		o, _ := testOrders(store)
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		lists := store.lists
		convey.So(o.read(t.Context()), convey.ShouldBeNil)
		convey.So(store.lists, convey.ShouldEqual, lists)
	})
}

func TestVersionOfAPeer(t *testing.T) {
	convey.Convey("A process that the store turns away gets the version of a peer", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		ahead, _ := testOrders(store)
		convey.So(ahead.read(t.Context()), convey.ShouldBeNil)
		server := httptest.NewServer(http.HandlerFunc(ahead.ServeHTTP))
		defer server.Close()
		behind, versions := testOrders(nil)
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		behind.offerHint(ahead.revision(), passthrough.EndpointOf(addr))
		_ = behind.follow(ctx)
		convey.So(behind.revision(), convey.ShouldEqual, ahead.revision())
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
	convey.Convey("A state is kept over the wire", t, func() {
		state := orderState{Revision: 7, Items: []Item{{Key: "config", Value: []byte{0, 1, 255}, Revision: 6}}}
		text, err := json.Marshal(state)
		convey.So(err, convey.ShouldBeNil)
		var read orderState
		convey.So(json.Unmarshal(text, &read), convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, state)
	})
}
