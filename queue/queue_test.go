package queue

import (
	"flag"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// referenceQueue is a reference model of Queue that keeps a sorted slice.
type referenceQueue struct {
	capacity int
	entries  []Entry[int, time.Time]
}

func (r *referenceQueue) push(id int, deadline time.Time) bool {
	for _, e := range r.entries {
		if e.Key == id {
			return false
		}
	}
	if len(r.entries) >= r.capacity {
		return false
	}
	r.entries = append(r.entries, Entry[int, time.Time]{Key: id, Rank: deadline})
	sort.SliceStable(r.entries, func(i, j int) bool {
		return r.entries[i].Rank.Before(r.entries[j].Rank)
	})
	return true
}

func (r *referenceQueue) remove(id int) bool {
	for i, e := range r.entries {
		if e.Key == id {
			r.entries = append(r.entries[:i], r.entries[i+1:]...)
			return true
		}
	}
	return false
}

func TestQueueMatchesSortedSlice(t *testing.T) {
	convey.Convey("The queue behaves like a sorted slice", t, func() {
		start := time.Unix(0, 0)
		rapid.Check(t, func(rt *rapid.T) {
			capacity := rapid.IntRange(1, 8).Draw(rt, "capacity")
			q, reference := New[int](capacity, time.Time.Compare), &referenceQueue{capacity: capacity}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				id := rapid.IntRange(1, 12).Draw(rt, "id")
				deadline := start.Add(time.Duration(rapid.IntRange(0, 5).Draw(rt, "deadline")))
				switch rapid.IntRange(0, 2).Draw(rt, "step") {
				case 0:
					if q.Push(id, deadline) != reference.push(id, deadline) {
						rt.Fatalf("push %d differs", id)
					}
				case 1:
					if q.Remove(id) != reference.remove(id) {
						rt.Fatalf("remove %d differs", id)
					}
				case 2:
					e, ok := q.Pop()
					if ok != (len(reference.entries) > 0) {
						rt.Fatal("pop differs")
					}
					if ok && e.Key != reference.entries[0].Key {
						rt.Fatalf("popped %d, want %d", e.Key, reference.entries[0].Key)
					}
					if ok {
						reference.remove(e.Key)
					}
				}
				ahead := 0
				for _, e := range reference.entries {
					if !e.Rank.After(deadline) {
						ahead++
					}
				}
				if q.Ahead(deadline) != ahead {
					rt.Fatalf("%d ahead, want %d", q.Ahead(deadline), ahead)
				}
				if q.Len() != len(reference.entries) {
					rt.Fatalf("length %d, want %d", q.Len(), len(reference.entries))
				}
			}
		})
	})
}
