package store

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

var startTime = time.Unix(1000, 0)

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
		{"rejects a missing key at another index", false, 7, false},
		{"rejects an existing key at index 0", true, 0, false},
		{"changes an existing key at its index", true, 2, true},
		{"rejects an existing key at an old index", true, 1, false},
	}
	for _, c := range cases {
		convey.Convey("Compare-and-swap "+c.name, t, func() {
			data := NewData()
			if c.present {
				data.Put(Write{Key: "k", Value: []byte("old")}, startTime)
			}
			applied := data.Put(Write{Key: "k", Value: []byte("new"), CompareAndSwap: true, Index: c.index}, startTime)
			convey.So(applied, convey.ShouldEqual, c.want)
			pair, _, _ := data.Get("k")
			convey.So(string(pair.Value) == "new", convey.ShouldEqual, c.want)
		})
	}
	convey.Convey("Deleting a key increases its index", t, func() {
		data := NewData()
		data.Put(Write{Key: "k"}, startTime)
		pair, before, _ := data.Get("k")
		oldIndex := pair.ModifyIndex - 1
		convey.So(data.Delete("k", &oldIndex), convey.ShouldBeFalse)
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
		data.CreateSession(session("a", BehaviorRelease), startTime)
		data.CreateSession(session("b", BehaviorRelease), startTime)
		convey.So(data.Put(Write{Key: "k", Acquire: "a"}, startTime), convey.ShouldBeTrue)

		convey.Convey("another session cannot acquire or release it", func() {
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, startTime), convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Release: "b"}, startTime), convey.ShouldBeFalse)
		})
		convey.Convey("a release frees it immediately", func() {
			convey.So(data.Put(Write{Key: "k", Release: "a"}, startTime), convey.ShouldBeTrue)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, startTime), convey.ShouldBeTrue)
			pair, _, _ := data.Get("k")
			convey.So(pair.LockIndex, convey.ShouldEqual, 2)
		})
		convey.Convey("expiry frees it after the lock delay", func() {
			data.RenewSession("b", startTime.Add(9*time.Second))
			expired := startTime.Add(11 * time.Second)
			convey.So(data.ExpireSessions(expired), convey.ShouldBeTrue)
			_, alive := data.RenewSession("a", expired)
			convey.So(alive, convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, expired), convey.ShouldBeFalse)
			convey.So(data.Put(Write{Key: "k", Acquire: "b"}, expired.Add(15*time.Second)), convey.ShouldBeTrue)
		})
		convey.Convey("a renewal keeps it locked", func() {
			data.RenewSession("a", startTime.Add(9*time.Second))
			data.ExpireSessions(startTime.Add(11 * time.Second))
			pair, _, _ := data.Get("k")
			convey.So(pair.Session, convey.ShouldEqual, "a")
		})
	})
	convey.Convey("Expiry deletes the keys of a session with BehaviorDelete", t, func() {
		data := NewData()
		data.CreateSession(session("a", BehaviorDelete), startTime)
		data.Put(Write{Key: "k", Acquire: "a"}, startTime)
		data.ExpireSessions(startTime.Add(time.Minute))
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
		response := data.Txn([]TxnOperation{operation("cas", "a", 0), operation("set", "b", 0), operation("get-tree", "", 0)}, startTime)
		convey.So(response.Errors, convey.ShouldBeEmpty)
		convey.So(response.Results, convey.ShouldHaveLength, 4)
	})
	convey.Convey("A transaction with one failure changes nothing", t, func() {
		for _, failing := range []TxnOperation{
			operation("cas", "b", 9), operation("check-index", "b", 9), operation("get", "b", 0),
			operation("delete-cas", "b", 9), operation("check-not-exists", "a", 0), operation("nonsense", "a", 0),
		} {
			data := NewData()
			response := data.Txn([]TxnOperation{operation("set", "a", 0), failing}, startTime)
			convey.So(response.Errors, convey.ShouldHaveLength, 1)
			convey.So(response.Errors[0].OpIndex, convey.ShouldEqual, 1)
			_, _, ok := data.Get("a")
			convey.So(ok, convey.ShouldBeFalse)
		}
	})
}
