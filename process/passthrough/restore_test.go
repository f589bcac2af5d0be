package passthrough

import (
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
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
