package store

import (
	"sort"
	"strings"
	"time"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// defaultLockDelay is how long a key cannot be acquired after its lease ended
// without a release, unless its session sets another delay.
const defaultLockDelay = 15 * time.Second

// Pair is a key with its value. Its JSON form is that of the Consul API, in which
// the value is encoded in base64.
type Pair struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// Write is a change of one key.
type Write struct {
	Key   string
	Value []byte
	Flags uint64
	// CompareAndSwap makes the change conditional on Index.
	CompareAndSwap bool
	// Index is the expected ModifyIndex of the key, 0 for a missing key.
	Index uint64
	// Acquire is the session that acquires the lock of the key, if any.
	Acquire string
	// Release is the session that releases the lock of the key, if any.
	Release string
}

// Data is the content of the store. It is not safe for concurrent use; the time is
// passed in.
type Data struct {
	index      uint64
	pairs      map[string]*Pair
	tombstones map[string]uint64
	sessions   map[string]*Session
	lockDelays map[string]time.Time
}

// NewData returns empty content. Its index starts at 1.
func NewData() *Data {
	return &Data{
		index:      1,
		pairs:      make(map[string]*Pair),
		tombstones: make(map[string]uint64),
		sessions:   make(map[string]*Session),
		lockDelays: make(map[string]time.Time),
	}
}

// Clone returns a copy that later changes do not affect.
func (d *Data) Clone() *Data {
	clone := NewData()
	clone.index = d.index
	for key, pair := range d.pairs {
		copied := *pair
		clone.pairs[key] = &copied
	}
	for key, index := range d.tombstones {
		clone.tombstones[key] = index
	}
	return clone
}

// Get returns the pair of key and the index from which to watch it.
func (d *Data) Get(key string) (pair Pair, index uint64, ok bool) {
	if found, present := d.pairs[key]; present {
		return *found, found.ModifyIndex, true
	}
	if deleted, present := d.tombstones[key]; present {
		return Pair{}, deleted, false
	}
	return Pair{}, d.index, false
}

// List returns the pairs whose key begins with prefix, sorted by key, and the
// index from which to watch the prefix.
func (d *Data) List(prefix string) (pairs []Pair, index uint64) {
	for key, pair := range d.pairs {
		if strings.HasPrefix(key, prefix) {
			pairs = append(pairs, *pair)
			index = max(index, pair.ModifyIndex)
		}
	}
	for key, deleted := range d.tombstones {
		if strings.HasPrefix(key, prefix) {
			index = max(index, deleted)
		}
	}
	if index == 0 {
		index = d.index
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs, index
}

// Put applies a change if its conditions hold and reports whether they did.
func (d *Data) Put(write Write, now time.Time) bool {
	pair, exists := d.pairs[write.Key]
	if !d.conditionsHold(write, pair, now) {
		return false
	}
	d.index++
	if !exists {
		pair = &Pair{Key: write.Key, CreateIndex: d.index}
		d.pairs[write.Key] = pair
		delete(d.tombstones, write.Key)
	}
	pair.Value = write.Value
	pair.Flags = write.Flags
	pair.ModifyIndex = d.index
	d.updateLock(pair, write)
	return true
}

func (d *Data) conditionsHold(write Write, pair *Pair, now time.Time) bool {
	if write.CompareAndSwap && modifyIndex(pair) != write.Index {
		return false
	}
	if write.Acquire != "" && !d.mayAcquire(write, pair, now) {
		return false
	}
	if write.Release != "" && (pair == nil || pair.Session != write.Release) {
		return false
	}
	return true
}

func (d *Data) mayAcquire(write Write, pair *Pair, now time.Time) bool {
	if _, alive := d.sessions[write.Acquire]; !alive {
		return false
	}
	if pair != nil && pair.Session != "" {
		return pair.Session == write.Acquire
	}
	return !now.Before(d.lockDelays[write.Key])
}

func (d *Data) updateLock(pair *Pair, write Write) {
	switch {
	case write.Acquire != "" && pair.Session == "":
		pair.Session = write.Acquire
		pair.LockIndex++
	case write.Release != "":
		pair.Session = ""
	}
}

// Delete removes a key if index is nil or its ModifyIndex. It reports whether that
// condition held.
func (d *Data) Delete(key string, index *uint64) bool {
	pair, exists := d.pairs[key]
	if index != nil && modifyIndex(pair) != *index {
		return false
	}
	if exists {
		d.index++
		delete(d.pairs, key)
		d.tombstones[key] = d.index
	}
	return true
}

// DeleteTree removes every key that begins with prefix.
func (d *Data) DeleteTree(prefix string) {
	pairs, _ := d.List(prefix)
	for _, pair := range pairs {
		d.Delete(pair.Key, nil)
	}
}

func modifyIndex(pair *Pair) uint64 {
	if pair == nil {
		return 0
	}
	return pair.ModifyIndex
}
