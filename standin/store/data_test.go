package store

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var epoch = time.Unix(1000, 0)

func session(id string, behavior Behavior) Session {
	return Session{ID: id, Behavior: behavior, TTL: 10 * time.Second, LockDelay: 15 * time.Second}
}

func TestCompareAndSwap(t *testing.T) {
	cases := []struct {
		name    string
		present bool
		index   uint64
		want    bool
	}{
		{"creates a missing key at index 0", false, 0, true},
		{"refuses a missing key at another index", false, 7, false},
		{"refuses a present key at index 0", true, 0, false},
		{"changes a present key at its index", true, 2, true},
		{"refuses a present key at an old index", true, 1, false},
	}
	for _, c := range cases {
		convey.Convey("Compare-and-swap "+c.name, t, func() {
			data := NewData()
			if c.present {
				data.Put(Write{Key: "k", Value: []byte("old")}, epoch)
			}
			done := data.Put(Write{Key: "k", Value: []byte("new"), CompareAndSwap: true, Index: c.index}, epoch)
			convey.So(done, convey.ShouldEqual, c.want)
			pair, _, _ := data.Get("k")
			convey.So(string(pair.Value) == "new", convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("A deleted key keeps an index that moves on", t, func() {
		data := NewData()
		data.Put(Write{Key: "k"}, epoch)
		pair, before, _ := data.Get("k")
		old := pair.ModifyIndex - 1
		convey.So(data.Delete("k", &old), convey.ShouldBeFalse)
		convey.So(data.Delete("k", &pair.ModifyIndex), convey.ShouldBeTrue)
		_, after, ok := data.Get("k")
		convey.So(ok, convey.ShouldBeFalse)
		convey.So(after, convey.ShouldBeGreaterThan, before)
		_, listed := data.List("")
		convey.So(listed, convey.ShouldEqual, after)
	})
}

func TestLeases(t *testing.T) {
	convey.Convey("Given a key locked by a session", t, func() {
		data := NewData()
		data.CreateSession(session("a", BehaviorRelease), epoch)
		data.CreateSession(session("b", BehaviorRelease), epoch)
		convey.So(data.Put(Write{Key: "k", Acquire: "a"}, epoch), convey.ShouldBeTrue)

		convey.Convey("another session cannot take or release it", func() {
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, epoch), convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Release: "b"}, epoch), convey.ShouldBeFalse)
		})
		convey.Convey("a release makes it free at once", func() {
			convey.So(data.Put(Write{Key: "k", Release: "a"}, epoch), convey.ShouldBeTrue)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, epoch), convey.ShouldBeTrue)
			pair, _, _ := data.Get("k")
			convey.So(pair.LockIndex, convey.ShouldEqual, 2)
		})
		convey.Convey("a lapse frees it after the lock delay", func() {
			data.RenewSession("b", epoch.Add(9*time.Second))
			lapsed := epoch.Add(11 * time.Second)
			convey.So(data.ExpireSessions(lapsed), convey.ShouldBeTrue)
			_, alive := data.RenewSession("a", lapsed)
			convey.So(alive, convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, lapsed), convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, lapsed.Add(15*time.Second)), convey.ShouldBeTrue)
		})
		convey.Convey("a renewal keeps it", func() {
			data.RenewSession("a", epoch.Add(9*time.Second))
			data.ExpireSessions(epoch.Add(11 * time.Second))
			pair, _, _ := data.Get("k")
			convey.So(pair.Session, convey.ShouldEqual, "a")
		})
	})
	convey.Convey("A lapse deletes the keys of a session that asks for it", t, func() {
		data := NewData()
		data.CreateSession(session("a", BehaviorDelete), epoch)
		data.Put(Write{Key: "k", Acquire: "a"}, epoch)
		data.ExpireSessions(epoch.Add(time.Minute))
		_, _, ok := data.Get("k")
		convey.So(ok, convey.ShouldBeFalse)
	})
}

func TestTxn(t *testing.T) {
	operation := func(verb, key string, index uint64) TxnOperation {
		return TxnOperation{KV: &TxnKV{Verb: verb, Key: key, Value: []byte(verb), Index: index}}
	}
	convey.Convey("A transaction applies all of its operations", t, func() {
		data := NewData()
		answer := data.Txn([]TxnOperation{operation("cas", "a", 0), operation("set", "b", 0), operation("get-tree", "", 0)}, epoch)
		convey.So(answer.Errors, convey.ShouldBeEmpty)
		convey.So(answer.Results, convey.ShouldHaveLength, 4)
	})
	convey.Convey("A transaction with one failure changes nothing", t, func() {
		for _, failing := range []TxnOperation{
			operation("cas", "b", 9), operation("check-index", "b", 9), operation("get", "b", 0),
			operation("delete-cas", "b", 9), operation("check-not-exists", "a", 0), operation("nonsense", "a", 0),
		} {
			data := NewData()
			answer := data.Txn([]TxnOperation{operation("set", "a", 0), failing}, epoch)
			convey.So(answer.Errors, convey.ShouldHaveLength, 1)
			convey.So(answer.Errors[0].OpIndex, convey.ShouldEqual, 1)
			_, _, ok := data.Get("a")
			convey.So(ok, convey.ShouldBeFalse)
		}
	})
}
