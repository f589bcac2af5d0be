package passthrough

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"bergamotbank/connection/passthrough"
	"bergamotbank/errkind"
	"bergamotbank/process/roster"
	"bergamotbank/version/routes"
)

// copyOf returns a copy of the store, to which restore returns it later.
func (f *fakeStore) copyOf() (items []Item, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.items), f.revision
}

// restore replaces the contents by those of an older copy, in the next era. Entries that were
// read in the next era have that era.
func (f *fakeStore) restore(items []Item, revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.items, f.revision = slices.Clone(items), revision
	for i := range f.items {
		f.items[i].Era = f.era
	}
	close(f.wake)
	f.wake = make(chan struct{})
}

// TestChangeAfterStoreRestored guards against changes that are ignored until the index of a
// restored store has passed that of the active version.
func TestChangeAfterStoreRestored(t *testing.T) {
	convey.Convey("A version of a restored store replaces one with a higher index of an earlier era", t, func() {
		store := newFakeStore()
		store.write("config", "v1")
		items, revision := store.copyOf()
		for range 10 {
			store.write("config", "v2")
		}
		c, versions := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		store.restore(items, revision)
		store.write("config", "v3")
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(c.revision().Era, convey.ShouldEqual, 1)
		convey.So(*versions, convey.ShouldHaveLength, 2)
		convey.So(string(c.state.Items[0].Value), convey.ShouldEqual, "v3")
	})
}

// TestReusedRevision guards against a change that is missed since the store has assigned its
// index before, to a change of the same entry in an earlier era.
func TestReusedRevision(t *testing.T) { synctest.Test(t, testReusedRevision) }

func testReusedRevision(t *testing.T) {
	// restored returns a store with v2, and a function that restores it and writes v3 at the
	// index that v2 had.
	restored := func() (*fakeStore, func()) {
		store := newFakeStore()
		store.write("config", "v1")
		items, revision := store.copyOf()
		store.write("config", "v2")
		return store, func() {
			store.restore(items, revision)
			store.write("config", "v3")
		}
	}
	active := func(c *configSync) string { return string(c.state.Items[0].Value) }
	convey.Convey("A comparison of indexes does not take it for the active one", t, func() {
		store, restore := restored()
		c, _ := newTestConfigSync(store)
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		restore()
		convey.So(c.refresh(t.Context()), convey.ShouldBeNil)
		convey.So(active(c), convey.ShouldEqual, "v3")
	})
	for name, stalled := range map[string]bool{"is answered": false, "stalls while a member announces the era": true} {
		convey.Convey("A watch of the earlier era that "+name+" is followed by a read", t, func() {
			store, restore := restored()
			c, _ := newTestConfigSync(store)
			ctx, stop := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- c.watch(ctx) }()
			synctest.Wait()
			store.mu.Lock()
			store.stalled = stalled
			store.mu.Unlock()
			restore()
			c.store.eras.observe(1)
			time.Sleep(time.Second)
			stop()
			convey.So(<-done, convey.ShouldBeNil)
			convey.So(active(c), convey.ShouldEqual, "v3")
		})
	}
}

// pagedStore lists one entry a page, the pages of a list in the given eras.
type pagedStore struct {
	Store
	eras []uint64
}

func (p *pagedStore) List(_ context.Context, _, after string, _ bool) (Page, error) {
	era := p.eras[0]
	p.eras = p.eras[1:]
	return Page{Items: []Item{{Key: after + "k"}}, Revision: routes.Revision{Era: era, Index: 9}, More: after == ""}, nil
}

// TestListAcrossEras guards against entries of two eras in one list, and against a response
// that arrives after one of a later era.
func TestListAcrossEras(t *testing.T) {
	for name, c := range map[string]struct {
		eras     []uint64
		expected error
	}{
		"pages of two eras are read again":                     {eras: []uint64{1, 2, 2, 2}},
		"pages of three eras are read until they are of one":   {eras: []uint64{1, 2, 3, 3, 3}},
		"a response of an earlier era than the last one fails": {eras: []uint64{1}, expected: errkind.New(errkind.StoreUnavailable, "")},
	} {
		convey.Convey("Given a store that was restored, "+name, t, func() {
			store := newStoreClient(&pagedStore{eras: c.eras}, newStoreBackoff(newClock(), func() retryDelays { return retryDelays{} }), zap.NewNop())
			if c.expected != nil {
				store.eras.observe(2)
			}
			items, revision, err := store.list(t.Context(), "", false)
			convey.So(err == nil, convey.ShouldEqual, c.expected == nil)
			convey.So(errkind.Of(err), convey.ShouldEqual, errkind.Of(c.expected))
			if err == nil {
				convey.So(items, convey.ShouldHaveLength, 2)
				convey.So(revision.Era, convey.ShouldEqual, c.eras[len(c.eras)-1])
			}
		})
	}
}

// lostState is the number of the active version, the entries that take failure domains out in
// it and the number of those of its entries that the store has lost.
type lostState struct {
	number uint64
	out    map[string]bool
	held   int
}

func stateOf(c *configSync, versions *[]*routes.Version) lostState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lostState{c.number, (*versions)[len(*versions)-1].OutDomains, len(c.state.Held)}
}

// TestLostChanges guards against confirmed changes that are undone, and failure domains that
// change their state, since a restored store lacks what operators wrote after the copy.
func TestLostChanges(t *testing.T) { synctest.Test(t, testLostChanges) }

func testLostChanges(t *testing.T) {
	in, out := map[string]bool{}, map[string]bool{"out/junin": true}
	// write changes the entries "config" or "out/junin"; "-" removes the latter.
	write := func(store *fakeStore, values ...string) {
		for _, value := range values {
			switch value {
			case "out":
				store.write("out/junin", "{}")
			case "-":
				store.write("out/junin", "")
			default:
				store.write("config", value)
			}
		}
	}
	for name, c := range map[string]struct {
		// copied is written before the copy, lost after it. Then the store is restored, and
		// written is written before it is read again.
		copied, lost, written []string
		// restored is the state after that, rewritten the one after the lost changes were
		// written again, expired the one without that and after lostEntryTimeout.
		restored, rewritten, expired lostState
	}{
		"a version":                    {[]string{"v1"}, []string{"v2"}, nil, lostState{2, in, 1}, lostState{2, in, 0}, lostState{2, in, 1}},
		"an older version of two":      {[]string{"v1"}, []string{"v2", "v3"}, []string{"v2"}, lostState{3, in, 1}, lostState{3, in, 0}, lostState{3, in, 1}},
		"a version and writes a later": {[]string{"v1"}, []string{"v2"}, []string{"v3"}, lostState{3, in, 0}, lostState{2, in, 0}, lostState{3, in, 0}},
		"the start of an evacuation":   {[]string{"v1"}, []string{"out"}, nil, lostState{1, out, 1}, lostState{1, out, 0}, lostState{1, in, 0}},
		"a version and a start":        {[]string{"v1"}, []string{"v2", "out"}, nil, lostState{2, out, 2}, lostState{2, out, 0}, lostState{2, out, 2}},
		"the end of an evacuation":     {[]string{"v1", "out"}, []string{"-"}, nil, lostState{1, in, 1}, lostState{1, in, 0}, lostState{1, out, 0}},
		"a start that has ended again": {[]string{"v1"}, []string{"out", "-"}, nil, lostState{1, in, 0}, lostState{1, in, 0}, lostState{1, in, 0}},
		"an end, and a start follows":  {[]string{"v1", "out"}, []string{"-"}, []string{"out"}, lostState{1, out, 0}, lostState{1, in, 0}, lostState{1, out, 0}},
		"everything":                   {nil, []string{"v1", "out"}, nil, lostState{1, out, 2}, lostState{1, out, 0}, lostState{1, out, 2}},
	} {
		convey.Convey("A store loses "+name, t, func() {
			store := newFakeStore()
			write(store, c.copied...)
			items, revision := store.copyOf()
			seen, versions := newTestConfigSync(store)
			_ = seen.refresh(t.Context()) // Without a configuration it is invalid.
			for _, lost := range c.lost {
				write(store, lost)
				_ = seen.refresh(t.Context())
			}
			current := func() lostState { return stateOf(seen, versions) }
			restore := func() {
				store.restore(items, revision)
				write(store, c.written...)
				convey.So(seen.refresh(t.Context()), convey.ShouldBeNil)
			}
			restore()
			convey.So(current(), convey.ShouldResemble, c.restored)
			convey.So(seen.revision().Era, convey.ShouldEqual, 1)

			convey.Convey("and again in a second restoration", func() {
				restore()
				convey.So(current(), convey.ShouldResemble, c.restored)
				convey.So(seen.revision().Era, convey.ShouldEqual, 2)
			})
			convey.Convey("and operators write it again", func() {
				write(store, c.lost...)
				convey.So(seen.refresh(t.Context()), convey.ShouldBeNil)
				convey.So(current(), convey.ShouldResemble, c.rewritten)
			})
			convey.Convey("and operators do not write it again", func() {
				time.Sleep(lostEntryTimeout + time.Second)
				convey.So(current(), convey.ShouldResemble, c.expired)
			})
			convey.Convey("and a process starts before operators write it again", func() {
				started, versions := newTestConfigSync(store)
				convey.So(started.refresh(t.Context()), convey.ShouldBeNil)
				peers := versionPeers{}
				started.client.Transport = peers
				m := peers.add(&versionServer{configSync: seen}, "junin")
				m.Held = seen.state.heldDigest()
				started.announced.add(m)
				runFetch(t, started)
				convey.So(stateOf(started, versions), convey.ShouldResemble, c.restored)
			})
		})
	}
}

// TestEntriesAfterStoreRestored guards against directory entries and checkpoints that are
// missing for as long as a lease lasts, and against reads of the directory that miss members
// meanwhile.
func TestEntriesAfterStoreRestored(t *testing.T) { synctest.Test(t, testEntriesAfterStoreRestored) }

func testEntriesAfterStoreRestored(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	store := newFakeStore()
	items, revision := store.copyOf()
	backoff := newStoreBackoff(newClock(), func() retryDelays { return retryDelays{minRetryDelay, maxRetryDelay} })
	var directories []*directory
	var done []chan error
	var mu sync.Mutex
	fewest := 2
	for i, key := range []string{"a", "b"} {
		d := &directory{
			store: newStoreClient(store, backoff, zap.NewNop()), backoff: backoff, logger: zap.NewNop(), key: directoryPrefix + agentsPrefix + key,
			peer: passthrough.EndpointOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7100)), entryWritten: make(chan struct{}),
		}
		d.apply = func(entries []roster.Entry) {
			mu.Lock()
			defer mu.Unlock()
			fewest = min(fewest, len(entries))
		}
		directories = append(directories, d)
		for _, task := range []func(context.Context) error{d.maintainEntry, d.poll} {
			done = append(done, make(chan error, 1))
			go func(done chan error) { done <- task(ctx) }(done[len(done)-1])
		}
	}
	flows := newTestCheckpointer(store)
	flows.flows.Flows = []passthrough.CheckpointFlow{flowOf(1)}
	time.Sleep(entryRestoreTime + time.Second)
	saved := flows.save(ctx)
	mu.Lock()
	fewest = 2
	mu.Unlock()
	store.mu.Lock()
	grants := store.grants
	store.mu.Unlock()
	store.restore(items, revision)
	// Members announce the era before this process calls the store.
	directories[0].store.eras.observe(1)
	directories[1].store.eras.observe(1)
	flows.checkpointer.store.eras.observe(1)
	savedAgain := flows.save(ctx)
	time.Sleep(entryRestoreTime)
	restored, _ := store.copyOf()
	time.Sleep(listInterval)
	stop()
	for _, ended := range done {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	convey.Convey("Entries and checkpoints are back within two seconds under new leases, and no read of the directory lacks a member", t, func() {
		convey.So(saved, convey.ShouldBeNil)
		convey.So(savedAgain, convey.ShouldBeNil)
		convey.So(restored, convey.ShouldHaveLength, 3)
		convey.So(store.grants-grants, convey.ShouldEqual, 3)
		convey.So(fewest, convey.ShouldEqual, 1)
	})
}

// TestLateLease guards against an entry under a lease that the store has lost, or has granted
// to another process since.
func TestLateLease(t *testing.T) {
	convey.Convey("Responses of an earlier era to calls about a lease do not count", t, func() {
		store := newFakeStore()
		client := newStoreClient(store, newStoreBackoff(newClock(), func() retryDelays { return retryDelays{} }), zap.NewNop())
		lease, err := client.grant(t.Context(), time.Second)
		convey.So(err, convey.ShouldBeNil)
		client.eras.observe(1)
		_, err = client.grant(t.Context(), time.Second)
		convey.So(errkind.Is(err, errkind.NotFound), convey.ShouldBeTrue)
		convey.So(errkind.Is(client.put(t.Context(), nil, lease), errkind.NotFound), convey.ShouldBeTrue)
		store.restore(nil, 10)
		convey.So(errkind.Is(client.put(t.Context(), nil, lease), errkind.NotFound), convey.ShouldBeTrue)
	})
}

// TestInvalidConfigInRestoredStore guards against a process that reads a restored store without
// a pause, since the configuration there is invalid.
func TestInvalidConfigInRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.write("config", "v1")
		c, _ := newTestConfigSync(store)
		read := c.refresh(t.Context())
		store.write("config", "broken")
		items, revision := store.copyOf()
		store.restore(items, revision)
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		go func() { _ = c.watch(ctx) }()
		_ = c.poll(ctx)
		convey.Convey("The active version stays, and the store is read about once a second", t, func() {
			convey.So(read, convey.ShouldBeNil)
			convey.So(c.revision().Era, convey.ShouldEqual, 0)
			convey.So(store.lists, convey.ShouldBeBetween, 1, 15)
		})
	})
}

// TestMergeHeld guards against processes that keep different entries which the store has lost.
func TestMergeHeld(t *testing.T) {
	convey.Convey("Two processes keep the same entries, whichever asks the other", t, func() {
		entry := func(index, number uint64, deleted bool) heldEntry {
			return heldEntry{Item: Item{Key: "k", Revision: routes.Revision{Era: 1, Index: index}, Deleted: deleted}, Number: number}
		}
		for _, pair := range [][2]heldEntry{
			{entry(5, 0, false), entry(6, 0, false)},
			{entry(5, 0, false), entry(5, 0, true)},
			{entry(9, 3, false), entry(8, 4, false)},
		} {
			earlier, later := []heldEntry{pair[0]}, []heldEntry{pair[1]}
			convey.So(mergeHeld(earlier, later), convey.ShouldResemble, later)
			convey.So(mergeHeld(later, earlier), convey.ShouldResemble, later)
			convey.So((&configState{Held: earlier}).heldDigest(), convey.ShouldNotEqual, (&configState{Held: later}).heldDigest())
		}
	})
}
