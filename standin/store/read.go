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
	// defaultWait is how long a watch waits that does not say how long.
	defaultWait = 5 * time.Minute
	// maxWait bounds how long a watch waits.
	maxWait = 10 * time.Minute
)

// query is one read or watch.
type query struct {
	key     string
	recurse bool
	keys    bool
	raw     bool
	// after is the index that the caller knows; 0 means that it does not wait.
	after uint64
	wait  time.Duration
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	q, err := readQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if q.after == 0 {
		if h.admit(w, r, callRead) {
			pairs, index, _ := h.look(q)
			h.answerRead(w, q, pairs, index)
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
		key:     strings.TrimPrefix(r.URL.Path, kvPath),
		recurse: values.Has("recurse"),
		keys:    values.Has("keys"),
		raw:     values.Has("raw"),
		wait:    defaultWait,
	}
	var err error
	if values.Has("index") {
		q.after, err = strconv.ParseUint(values.Get("index"), 10, 64)
	}
	if err == nil && values.Has("wait") {
		q.wait, err = time.ParseDuration(values.Get("wait"))
	}
	q.wait = min(q.wait, maxWait)
	return q, err
}

// look returns what the query sees now, the index to watch it from and a channel
// that is closed at the next change.
func (h *handler) look(q query) (pairs []Pair, index uint64, changed <-chan struct{}) {
	changed = h.service.read(func(data *Data) {
		if q.recurse || q.keys {
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

// watch answers when the index has moved or the wait is over.
func (h *handler) watch(w http.ResponseWriter, r *http.Request, q query) {
	h.counters.waiting.Add(1)
	defer h.counters.waiting.Add(-1)
	silence := h.silenced.begin()
	timeout := time.NewTimer(q.wait)
	defer timeout.Stop()
	for waiting := true; waiting; {
		pairs, index, changed := h.look(q)
		if index != q.after {
			h.answerWatch(w, r, q, silence)
			return
		}
		_ = pairs
		select {
		case <-changed:
		case <-h.silenced.outage():
			h.endInOutage(w, r, h.faults.Get().Outage)
			return
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	h.answerWatch(w, r, q, silence)
}

func (h *handler) answerWatch(w http.ResponseWriter, r *http.Request, q query, silence uint64) {
	if h.silenced.since(silence) {
		<-r.Context().Done()
		return
	}
	pairs, index, _ := h.look(q)
	h.answerRead(w, q, pairs, index)
}

func (h *handler) answerRead(w http.ResponseWriter, q query, pairs []Pair, index uint64) {
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
	case q.keys:
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

// silencer remembers which watches a fault switch has silenced for good and
// tells waiting watches that an outage has begun.
type silencer struct {
	epoch  atomic.Uint64
	silent atomic.Bool
	down   atomic.Pointer[chan struct{}]
}

func newSilencer() *silencer {
	s := &silencer{}
	up := make(chan struct{})
	s.down.Store(&up)
	return s
}

// set follows the fault switches.
func (s *silencer) set(faults Faults) {
	if faults.SilentWatch && !s.silent.Load() {
		s.epoch.Add(1)
	}
	s.silent.Store(faults.SilentWatch)
	if faults.Outage == OutageNone {
		return
	}
	fresh := make(chan struct{})
	close(*s.down.Swap(&fresh))
}

// begin returns the mark of a watch that begins now.
func (s *silencer) begin() uint64 {
	return s.epoch.Load()
}

// since tells whether watches were silenced since the mark or are now.
func (s *silencer) since(mark uint64) bool {
	return s.silent.Load() || s.epoch.Load() != mark
}

// outage returns a channel that is closed when an outage begins.
func (s *silencer) outage() <-chan struct{} {
	return *s.down.Load()
}
