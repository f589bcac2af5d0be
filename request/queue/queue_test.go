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

// naive is a queue as a sorted slice.
type naive struct {
	capacity int
	entries  []Entry
}

func (n *naive) push(id ID, deadline time.Time) bool {
	for _, e := range n.entries {
		if e.ID == id {
			return false
		}
	}
	if len(n.entries) >= n.capacity {
		return false
	}
	n.entries = append(n.entries, Entry{ID: id, Deadline: deadline})
	sort.SliceStable(n.entries, func(i, j int) bool {
		return n.entries[i].Deadline.Before(n.entries[j].Deadline)
	})
	return true
}

func (n *naive) remove(id ID) bool {
	for i, e := range n.entries {
		if e.ID == id {
			n.entries = append(n.entries[:i], n.entries[i+1:]...)
			return true
		}
	}
	return false
}

func TestQueueAgainstSortedSlice(t *testing.T) {
	convey.Convey("The queue agrees with a sorted slice", t, func() {
		start := time.Unix(0, 0)
		rapid.Check(t, func(rt *rapid.T) {
			capacity := rapid.IntRange(1, 8).Draw(rt, "capacity")
			q, n := New(capacity), &naive{capacity: capacity}
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				id := ID(rapid.IntRange(1, 12).Draw(rt, "id"))
				deadline := start.Add(time.Duration(rapid.IntRange(0, 5).Draw(rt, "deadline")))
				switch rapid.IntRange(0, 2).Draw(rt, "step") {
				case 0:
					if q.Push(id, deadline) != n.push(id, deadline) {
						rt.Fatalf("push %d differs", id)
					}
				case 1:
					if q.Remove(id) != n.remove(id) {
						rt.Fatalf("remove %d differs", id)
					}
				case 2:
					e, ok := q.Pop()
					if ok != (len(n.entries) > 0) {
						rt.Fatal("pop differs")
					}
					if ok && e.ID != n.entries[0].ID {
						rt.Fatalf("popped %d, want %d", e.ID, n.entries[0].ID)
					}
					if ok {
						n.remove(e.ID)
					}
				}
				if q.Len() != len(n.entries) {
					rt.Fatalf("length %d, want %d", q.Len(), len(n.entries))
				}
			}
		})
	})
}
