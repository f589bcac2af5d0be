package store

import (
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"bergamotbank/standin/fault"
)

const (
	// defaultWait is how long a watch waits if its call sets no time.
	defaultWait = 5 * time.Minute
	// maxWait limits how long a watch waits.
	maxWait = 10 * time.Minute
)

// query is a read or a watch.
type query struct {
	key      string
	recurse  bool
	keysOnly bool
	raw      bool
	// afterIndex is the index that the client knows; 0 means a read without waiting.
	afterIndex uint64
	wait       time.Duration
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	q, err := readQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.afterIndex == 0 {
		if h.admit(w, r, callRead) {
			pairs, index, _ := h.evaluate(q)
			h.respondRead(w, q, pairs, index)
		}
		return
	}
	if h.admit(w, r, callWatch) {
		h.watch(w, r, q)
	}
}

func readQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	q := query{
		key:      strings.TrimPrefix(r.URL.Path, kvPath),
		recurse:  values.Has("recurse"),
		keysOnly: values.Has("keys"),
		raw:      values.Has("raw"),
		wait:     defaultWait,
	}
	var err error
	if values.Has("index") {
		q.afterIndex, err = strconv.ParseUint(values.Get("index"), 10, 64)
	}
	if err == nil && values.Has("wait") {
		q.wait, err = time.ParseDuration(values.Get("wait"))
	}
	q.wait = min(q.wait, maxWait)
	return q, err
}

// evaluate returns the current result of the query, the index from which to watch
// it and a channel that is closed at the next change.
func (h *handler) evaluate(q query) (pairs []Pair, index uint64, changed <-chan struct{}) {
	changed = h.service.read(func(data *Data) {
		if q.recurse || q.keysOnly {
			pairs, index = data.List(q.key)
			return
		}
		pair, i, ok := data.Get(q.key)
		index = i
		if ok {
			pairs = []Pair{pair}
		}
	})
	return pairs, index, changed
}

// watch responds when the index has changed or the wait has timed out.
func (h *handler) watch(w http.ResponseWriter, r *http.Request, q query) {
	h.counters.waiting.Add(1)
	defer h.counters.waiting.Add(-1)
	generation := h.staller.currentGeneration()
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	for waiting := true; waiting; {
		pairs, index, changed := h.evaluate(q)
		if index != q.afterIndex {
			h.respondWatch(w, r, q, generation)
			return
		}
		_ = pairs
		select {
		case <-changed:
		case <-h.staller.outageBeginning():
			h.failCall(w, r, h.faults.Get().Outage)
			return
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	h.respondWatch(w, r, q, generation)
}

func (h *handler) respondWatch(w http.ResponseWriter, r *http.Request, q query, generation uint64) {
	if h.staller.stalledSince(generation) {
		<-r.Context().Done()
		return
	}
	pairs, index, _ := h.evaluate(q)
	h.respondRead(w, q, pairs, index)
}

func (h *handler) respondRead(w http.ResponseWriter, q query, pairs []Pair, index uint64) {
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	for _, pair := range pairs {
		h.counters.bytesOut.Add(uint64(len(pair.Value)))
	}
	switch {
	case q.raw && !q.recurse:
		_, _ = w.Write(pairs[0].Value)
	case q.keysOnly:
		fault.WriteJSON(w, keysOf(pairs))
	default:
		fault.WriteJSON(w, pairs)
	}
}

func keysOf(pairs []Pair) []string {
	keys := make([]string, 0, len(pairs))
	for _, pair := range pairs {
		keys = append(keys, pair.Key)
	}
	return keys
}

// watchStaller tracks which watches a fault switch has stalled and notifies waiting
// watches when an outage begins.
type watchStaller struct {
	generation  atomic.Uint64
	stalling    atomic.Bool
	outageBegan atomic.Pointer[chan struct{}]
}

func newWatchStaller() *watchStaller {
	s := &watchStaller{}
	began := make(chan struct{})
	s.outageBegan.Store(&began)
	return s
}

// apply applies the fault switches.
func (s *watchStaller) apply(faults Faults) {
	if faults.StallWatches && !s.stalling.Load() {
		s.generation.Add(1)
	}
	s.stalling.Store(faults.StallWatches)
	if faults.Outage == OutageNone {
		return
	}
	next := make(chan struct{})
	close(*s.outageBegan.Swap(&next))
}

// currentGeneration returns the generation of a watch that begins now.
func (s *watchStaller) currentGeneration() uint64 {
	return s.generation.Load()
}

// stalledSince reports whether watches are stalled now or were stalled since the
// given generation.
func (s *watchStaller) stalledSince(generation uint64) bool {
	return s.stalling.Load() || s.generation.Load() != generation
}

// outageBeginning returns a channel that is closed when an outage begins.
func (s *watchStaller) outageBeginning() <-chan struct{} {
	return *s.outageBegan.Load()
}
