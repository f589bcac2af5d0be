package passthrough

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/errkind"
	"bergamotbank/version/routes"
)

// fakeStore is an in-memory store whose watches can stall and whose calls can fail.
type fakeStore struct {
	Store
	mu       sync.Mutex
	items    []Item
	era      uint64
	revision uint64
	lists    int
	puts     int
	grants   int
	compares int
	stalled  bool
	down     bool
	wake     chan struct{}
}

func newFakeStore() *fakeStore { return &fakeStore{revision: 10, wake: make(chan struct{})} }

// write changes an entry, or deletes it if value is empty. The revision of the store also
// increases by unrelated changes.
func (f *fakeStore) write(key, value string) { f.writeWithLease(key, value, 0) }

func (f *fakeStore) writeWithLease(key, value string, lease uint64) {
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
		f.items = append(f.items, Item{Key: key, Value: []byte(value), Revision: f.at(f.revision), Lease: lease})
	}
	f.revision += 5
	close(f.wake)
	f.wake = make(chan struct{})
}

// at returns a revision of the current era. The caller holds mu.
func (f *fakeStore) at(index uint64) routes.Revision {
	return routes.Revision{Era: f.era, Index: index}
}

// List implements Store; it returns all entries in one page.
func (f *fakeStore) List(context.Context, string, string, bool) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	if f.down {
		return Page{}, errkind.New(errkind.StoreUnavailable, "down")
	}
	return Page{Items: f.items, Revision: f.at(f.revision)}, nil
}

// Put implements Store; it fails while the store is down.
func (f *fakeStore) Put(_ context.Context, entries []Item, lease uint64) (uint64, error) {
	if f.isDown() {
		return 0, errkind.New(errkind.OutcomeUnknown, "down")
	}
	f.mu.Lock()
	f.puts++
	f.mu.Unlock()
	for _, entry := range entries {
		f.writeWithLease(entry.Key, string(entry.Value), lease)
	}
	return f.currentEra(), nil
}

func (f *fakeStore) currentEra() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

// Grant implements Store.
func (f *fakeStore) Grant(_ context.Context, ttl time.Duration) (Lease, error) {
	if f.isDown() {
		return Lease{}, errkind.New(errkind.StoreUnavailable, "down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.grants++
	return Lease{ID: uint64(f.grants), Duration: ttl, Era: f.era}, nil
}

// Renew implements Store; leases do not end.
func (f *fakeStore) Renew(context.Context, uint64) (uint64, error) { return f.currentEra(), nil }

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

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]Item, routes.Revision, error) {
	for {
		f.mu.Lock()
		if after > f.revision {
			f.mu.Unlock()
			return nil, routes.Revision{}, errkind.New(errkind.Conflict, "no such revision")
		}
		var events []Item
		for _, item := range f.items {
			if item.Index > after && !f.stalled {
				events = append(events, item)
			}
		}
		wake, at := f.wake, f.at(f.revision)
		f.mu.Unlock()
		if len(events) > 0 {
			return events, at, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, routes.Revision{}, errkind.Wrap(ctx.Err(), errkind.StoreUnavailable, "watch")
		}
	}
}

func (f *fakeStore) Unchanged(_ context.Context, entries []Item) (bool, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.compares++
	for _, entry := range entries {
		revision := uint64(0)
		for _, item := range f.items {
			if item.Key == entry.Key {
				revision = item.Index
			}
		}
		if revision != entry.Index {
			return false, f.era, nil
		}
	}
	return true, f.era, nil
}

// newTestConfigSync returns a configSync without a process, and the versions that it
// activated.
func newTestConfigSync(store Store) (*configSync, *[]*routes.Version) {
	var mu sync.Mutex
	versions := &[]*routes.Version{}
	backoff := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minRetryDelay, maxRetryDelay} })
	c := &configSync{
		store: newStoreClient(store, backoff, zap.NewNop()),
		adapter: Adapter{
			ConfigKey: "config",
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
					if item.Key != "config" {
						v.OutDomains[item.Key] = true
					} else if _, err := fmt.Sscanf(string(item.Value), "v%d", &v.Number); err != nil {
						v.Number = 1
					}
				}
				return v, nil
			},
		},
		logger:      zap.NewNop(),
		clock:       newClock(),
		announce:    func() {},
		isProber:    func() bool { return false },
		backoff:     backoff,
		shouldWatch: func() bool { return true },
		domains:     []string{"junin"},
		onVersion: func(v *routes.Version) {
			mu.Lock()
			defer mu.Unlock()
			*versions = append(*versions, v)
		},
		announced: newAnnouncements("junin"),
	}
	return c, versions
}

func TestConfigRevision(t *testing.T) {
	convey.Convey("A listed and a watched state have the same revision, whatever else changes in the store", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		listed, _ := newTestConfigSync(store)
		_, err := listed.listOrWatch(t.Context(), routes.Revision{})
		convey.So(err, convey.ShouldBeNil)
		watched, _ := newTestConfigSync(store)
		_, err = watched.listOrWatch(t.Context(), routes.Revision{Index: 1})
		convey.So(err, convey.ShouldBeNil)
		convey.So(listed.revision(), convey.ShouldEqual, watched.revision())
		before := listed.revision()
		convey.So(listed.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(listed.revision(), convey.ShouldEqual, before)
	})
	convey.Convey("A deletion that a list reveals yields a newer state", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		store.write("out/junin", "{}")
		c, versions := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		before := c.revision()
		store.write("out/junin", "")
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(c.revision().Newer(before), convey.ShouldBeTrue)
		convey.So((*versions)[1].OutDomains["out/junin"], convey.ShouldBeFalse)
	})
}

func TestVersionNeverDowngraded(t *testing.T) {
	convey.Convey("Neither late events nor an older state of a peer replace the active version", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		store.write("config", "v2")
		c, versions := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		active := c.revision()
		_, err := c.applyEvents([]Item{{Key: "config", Value: []byte("v1"), Revision: routes.Revision{Index: active.Index - 5}}, {Key: "config", Revision: routes.Revision{Index: active.Index - 1}, Deleted: true}}, active.Era)
		convey.So(err, convey.ShouldBeNil)
		c.applyIfNewer(configState{Revision: routes.Revision{Index: active.Index - 1}, Items: []Item{{Key: "config", Value: []byte("v1"), Revision: routes.Revision{Index: active.Index - 1}}}}, "peer")
		convey.So(c.revision(), convey.ShouldEqual, active)
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
	convey.Convey("An invalid configuration leaves the last version active", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		c, versions := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		before := c.revision()
		store.write("config", "broken")
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(c.revision(), convey.ShouldEqual, before)
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
}

// TestStalledWatch guards against a version that becomes active nowhere for seconds: a
// watch on the store may deliver no events for that long, and a process that only waits
// for events misses the version.
func TestStalledWatch(t *testing.T) { synctest.Test(t, testStalledWatch) }

func testStalledWatch(t *testing.T) {
	// maxAge is the limit of 3 s for a version to be active everywhere, less 1 s for its
	// distribution.
	const maxAge = 2 * time.Second
	convey.Convey("A version becomes active although the watch is stalled", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		c, _ := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		before := c.revision()
		store.stalled = true
		store.write("config", "v2")
		ctx, stop := context.WithTimeout(t.Context(), maxAge)
		defer stop()
		_ = c.poll(ctx)
		convey.So(c.revision().Newer(before), convey.ShouldBeTrue)
	})
	convey.Convey("A process that learns of the read of another one does not poll", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		c, _ := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		compares := store.compares
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		defer stop()
		go func() {
			for ok := true; ok; ok = sleep(ctx, 50*time.Millisecond) {
				c.confirm(0)
			}
		}()
		_ = c.poll(ctx)
		convey.So(store.compares, convey.ShouldEqual, compares)
	})
	convey.Convey("Unchanged configuration is compared, not read", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		c, _ := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		lists := store.lists
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(store.lists, convey.ShouldEqual, lists)
	})
}

func TestVersionFetchedFromPeer(t *testing.T) { synctest.Test(t, testVersionFetchedFromPeer) }

func testVersionFetchedFromPeer(t *testing.T) {
	convey.Convey("A process without access to the store gets the version of a peer", t, func() {
		ahead, peers := newVersionServer(t, "v1"), versionPeers{}
		behind, versions := newTestConfigSync(nil)
		behind.client.Transport = peers
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		behind.announced.add(peers.add(ahead, "junin"))
		_ = behind.fetchNewer(ctx)
		convey.So(behind.revision(), convey.ShouldEqual, ahead.revision())
		convey.So(*versions, convey.ShouldHaveLength, 1)
	})
	convey.Convey("A state survives encoding and decoding", t, func() {
		state := configState{Revision: routes.Revision{Era: 2, Index: 7}, Items: []Item{{Key: "config", Value: []byte{0, 1, 255}, Revision: routes.Revision{Era: 1, Index: 6}}}}
		text, err := json.Marshal(state)
		convey.So(err, convey.ShouldBeNil)
		var read configState
		convey.So(json.Unmarshal(text, &read), convey.ShouldBeNil)
		convey.So(read, convey.ShouldResemble, state)
	})
}
