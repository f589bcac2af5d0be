// Package storetest provides an in-memory fake of the key-value service for tests.
// It implements the part of the HTTP API that package store uses and can inject
// faults. Only test files may import it.
package storetest

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults selects the faults that a Server injects.
type Faults struct {
	// Down closes each connection without a response; calls have no effect.
	Down bool
	// DropWriteResponses is the number of writes that take effect but whose
	// connection is closed without a response.
	DropWriteResponses int
	// DropKeyPrefix limits DropWriteResponses to keys with this prefix.
	DropKeyPrefix string
	// DownAfterDrop sets Down after the first dropped response.
	DownAfterDrop bool
	// RateLimitedCalls is the number of calls that get status 429.
	RateLimitedCalls int
	// Delay is the delay before each call takes effect.
	Delay time.Duration
	// StallWatches leaves watches without a response.
	StallWatches bool
}

// entry is a key with its value, as encoded in responses.
type entry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// Server is the fake service. It is safe for concurrent use.
type Server struct {
	http *httptest.Server

	mu           sync.Mutex
	faults       Faults
	onWrite      func(key string)
	entries      map[string]entry
	sessions     map[string]bool
	index        uint64
	changed      chan struct{}
	closed       chan struct{}
	calls        int
	bytesWritten int
}

// NewServer starts a server on a loopback address.
func NewServer() *Server {
	s := &Server{
		entries: make(map[string]entry), sessions: make(map[string]bool),
		index: 1, changed: make(chan struct{}), closed: make(chan struct{}),
	}
	s.http = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the host and port of the server.
func (s *Server) Address() string {
	return s.http.Listener.Addr().String()
}

// Close stops the server.
func (s *Server) Close() {
	close(s.closed)
	s.http.CloseClientConnections()
	s.http.Close()
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// OnWrite sets a function that is called before a write takes effect.
func (s *Server) OnWrite(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = f
}

// Calls returns the number of calls so far; each blocking query counts as one.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// BytesWritten returns the total size of all values written, in bytes.
func (s *Server) BytesWritten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytesWritten
}

// Put writes a key unconditionally, like a client other than package store.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(entry{Key: key, Value: value})
}

// Snapshot copies the entries and returns a function that restores the copy. The indexes
// assigned since are assigned again.
func (s *Server) Snapshot() (restore func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, index := maps.Clone(s.entries), s.index
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.entries, s.index = maps.Clone(entries), index
	}
}

// CloseConnections closes all connections of clients, as a restart does.
func (s *Server) CloseConnections() { s.http.CloseClientConnections() }

// Value returns the value of a key, or nil if the key does not exist.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Value
}

// Keys returns the keys with a prefix, sorted.
func (s *Server) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, e := range s.list(prefix) {
		keys = append(keys, e.Key)
	}
	return keys
}

// ExpireSession ends a session as if its TTL had expired, and releases its locks.
func (s *Server) ExpireSession(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	for key, e := range s.entries {
		if e.Session == session {
			e.Session = ""
			s.entries[key] = e
		}
	}
}

func (s *Server) put(e entry) {
	s.index++
	e.ModifyIndex = s.index
	s.entries[e.Key] = e
	s.bytesWritten += len(e.Value)
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(prefix string) []entry {
	var found []entry
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// admit counts a call and applies the faults that precede its effect. It reports
// whether the call proceeds.
func (s *Server) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	s.calls++
	f := s.faults
	limited := f.RateLimitedCalls > 0
	if limited {
		s.faults.RateLimitedCalls--
	}
	s.mu.Unlock()
	if f.Delay > 0 {
		time.Sleep(f.Delay)
	}
	if f.Down {
		abort(w)
		return false
	}
	if limited {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

// abort closes the connection without a response.
func abort(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// Reading the body first lets a delayed write take effect even after its sender
	// has closed the connection.
	value, err := io.ReadAll(r.Body)
	if err != nil || !s.admit(w) {
		return
	}
	key, isKV := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case isKV && r.Method == http.MethodGet:
		s.read(w, r, key)
	case isKV:
		s.write(w, r, entry{Key: key, Value: value})
	default:
		s.session(w, r)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	list := query.Has("recurse") || query.Has("keys")
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	if after > 0 && !s.waitForChange(r, key, list, after, wait) {
		return
	}
	s.mu.Lock()
	found, index := s.lookup(key, list)
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !query.Has("keys") {
		_ = json.NewEncoder(w).Encode(found)
		return
	}
	var keys []string
	for _, e := range found {
		keys = append(keys, e.Key)
	}
	_ = json.NewEncoder(w).Encode(keys)
}

func (s *Server) lookup(key string, list bool) ([]entry, uint64) {
	if list {
		return s.lookupAll(key)
	}
	e, found := s.entries[key]
	if !found {
		return nil, s.index
	}
	return []entry{e}, e.ModifyIndex
}

func (s *Server) lookupAll(prefix string) ([]entry, uint64) {
	found := s.list(prefix)
	index := uint64(0)
	for _, e := range found {
		index = max(index, e.ModifyIndex)
	}
	if index == 0 {
		index = s.index
	}
	return found, index
}

// waitForChange blocks a watch until the index changes or wait elapses. It reports
// whether the watch gets a response.
func (s *Server) waitForChange(r *http.Request, key string, list bool, after uint64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		stalled := s.faults.StallWatches
		_, index := s.lookup(key, list)
		changed := s.changed
		s.mu.Unlock()
		if stalled {
			select {
			case <-r.Context().Done():
			case <-s.closed:
			}
			return false
		}
		if index != after {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-r.Context().Done():
			return false
		case <-s.closed:
			return false
		}
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request, e entry) {
	s.mu.Lock()
	onWrite := s.onWrite
	s.mu.Unlock()
	if onWrite != nil {
		onWrite(e.Key)
	}
	s.mu.Lock()
	written := s.applyWrite(r, e)
	dropped := written && s.faults.DropWriteResponses > 0 && strings.HasPrefix(e.Key, s.faults.DropKeyPrefix)
	if dropped {
		s.faults.DropWriteResponses--
		s.faults.Down = s.faults.Down || s.faults.DownAfterDrop
	}
	s.mu.Unlock()
	if dropped {
		abort(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%t\n", written)
}

func (s *Server) applyWrite(r *http.Request, e entry) bool {
	query := r.URL.Query()
	current := s.entries[e.Key]
	if query.Has("cas") && query.Get("cas") != strconv.FormatUint(current.ModifyIndex, 10) {
		return false
	}
	if holder := query.Get("acquire"); holder != "" {
		if !s.sessions[holder] || current.Session != "" && current.Session != holder {
			return false
		}
		e.Session = holder
	}
	if r.Method == http.MethodDelete {
		s.index++
		delete(s.entries, e.Key)
		s.notifyWatches()
		return true
	}
	s.put(e)
	return true
}

func (s *Server) session(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	operation, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/session/"), "/")
	if operation == "create" {
		id = fmt.Sprintf("session-%d", len(s.sessions)+1)
		s.sessions[id] = true
		_ = json.NewEncoder(w).Encode(struct{ ID string }{id})
		return
	}
	if !s.sessions[id] {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if operation == "destroy" {
		delete(s.sessions, id)
	}
	_, _ = fmt.Fprintln(w, "[]")
}
