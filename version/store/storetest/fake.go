// Package storetest is a small fake of the key-value service for tests: the
// part of the HTTP API that package store uses, in memory, with faults. It is
// used from test files only.
package storetest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the faults of a Server.
type Faults struct {
	// Down closes each connection without an answer; nothing takes effect.
	Down bool
	// DropWriteResponses closes the connection after this many writes took effect.
	DropWriteResponses int
	// DropKeyPrefix limits LoseWrites to keys with this prefix.
	DropKeyPrefix string
	// DownAfterDrop turns Down on with the first lost answer.
	DownAfterDrop bool
	// RateLimitedCalls answers this many calls with 429.
	RateLimitedCalls int
	// Delay is the time before each call takes effect.
	Delay time.Duration
	// StallWatches never answers watches.
	StallWatches bool
}

// pair is one key.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// Server is the fake. It is safe for concurrent use.
type Server struct {
	http *httptest.Server

	mu       sync.Mutex
	faults   Faults
	onWrite  func(key string)
	pairs    map[string]pair
	sessions map[string]bool
	index    uint64
	changed  chan struct{}
	closed   chan struct{}
	calls    int
	written  int
}

// NewServer starts a fake on a loopback address.
func NewServer() *Server {
	s := &Server{
		pairs: make(map[string]pair), sessions: make(map[string]bool),
		index: 1, changed: make(chan struct{}), closed: make(chan struct{}),
	}
	s.http = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the host and port.
func (s *Server) Address() string {
	return s.http.Listener.Addr().String()
}

// Close stops the fake.
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
	s.wake()
}

// OnWrite sets a function that is called before a write takes effect.
func (s *Server) OnWrite(f func(key string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = f
}

// Calls returns the number of calls so far, a watch counting as one.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// BytesWritten returns the number of bytes of all values written.
func (s *Server) BytesWritten() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// Put writes a key without any condition, as a foreign program would.
func (s *Server) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(pair{Key: key, Value: value})
}

// Value returns the value of a key, nil when it does not exist.
func (s *Server) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pairs[key].Value
}

// Keys returns the keys with a prefix.
func (s *Server) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for _, p := range s.list(prefix) {
		keys = append(keys, p.Key)
	}
	return keys
}

// ExpireSession ends a session as if it had not been renewed.
func (s *Server) ExpireSession(session string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	for key, p := range s.pairs {
		if p.Session == session {
			p.Session = ""
			s.pairs[key] = p
		}
	}
}

func (s *Server) put(p pair) {
	s.index++
	p.ModifyIndex = s.index
	s.pairs[p.Key] = p
	s.written += len(p.Value)
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) list(prefix string) []pair {
	var found []pair
	for key, p := range s.pairs {
		if strings.HasPrefix(key, prefix) {
			found = append(found, p)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// admit counts a call and applies the faults that come before its effect.
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

// abort closes the connection without an answer.
func abort(w http.ResponseWriter) {
	connection, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	// A delayed write takes effect though its sender has gone.
	value, err := io.ReadAll(r.Body)
	if err != nil || !s.admit(w) {
		return
	}
	key, isKV := strings.CutPrefix(r.URL.Path, "/v1/kv/")
	switch {
	case isKV && r.Method == http.MethodGet:
		s.read(w, r, key)
	case isKV:
		s.write(w, r, pair{Key: key, Value: value})
	default:
		s.session(w, r)
	}
}

func (s *Server) read(w http.ResponseWriter, r *http.Request, key string) {
	query := r.URL.Query()
	list := query.Has("recurse") || query.Has("keys")
	after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(query.Get("wait"))
	if after > 0 && !s.await(r, key, list, after, wait) {
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
	for _, p := range found {
		keys = append(keys, p.Key)
	}
	_ = json.NewEncoder(w).Encode(keys)
}

func (s *Server) lookup(key string, list bool) ([]pair, uint64) {
	if list {
		return s.lookupAll(key)
	}
	p, found := s.pairs[key]
	if !found {
		return nil, s.index
	}
	return []pair{p}, p.ModifyIndex
}

func (s *Server) lookupAll(prefix string) ([]pair, uint64) {
	found := s.list(prefix)
	index := uint64(0)
	for _, p := range found {
		index = max(index, p.ModifyIndex)
	}
	if index == 0 {
		index = s.index
	}
	return found, index
}

// await blocks a watch and tells whether it is to be answered.
func (s *Server) await(r *http.Request, key string, list bool, after uint64, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		silent := s.faults.StallWatches
		_, index := s.lookup(key, list)
		changed := s.changed
		s.mu.Unlock()
		if silent {
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

func (s *Server) write(w http.ResponseWriter, r *http.Request, p pair) {
	s.mu.Lock()
	onWrite := s.onWrite
	s.mu.Unlock()
	if onWrite != nil {
		onWrite(p.Key)
	}
	s.mu.Lock()
	done := s.swap(r, p)
	lost := done && s.faults.DropWriteResponses > 0 && strings.HasPrefix(p.Key, s.faults.DropKeyPrefix)
	if lost {
		s.faults.DropWriteResponses--
		s.faults.Down = s.faults.Down || s.faults.DownAfterDrop
	}
	s.mu.Unlock()
	if lost {
		abort(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%t\n", done)
}

func (s *Server) swap(r *http.Request, p pair) bool {
	query := r.URL.Query()
	current := s.pairs[p.Key]
	if query.Has("cas") && query.Get("cas") != strconv.FormatUint(current.ModifyIndex, 10) {
		return false
	}
	if holder := query.Get("acquire"); holder != "" {
		if !s.sessions[holder] || current.Session != "" && current.Session != holder {
			return false
		}
		p.Session = holder
	}
	if r.Method == http.MethodDelete {
		s.index++
		delete(s.pairs, p.Key)
		s.wake()
		return true
	}
	s.put(p)
	return true
}

func (s *Server) session(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verb, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/session/"), "/")
	if verb == "create" {
		id = fmt.Sprintf("session-%d", len(s.sessions)+1)
		s.sessions[id] = true
		_ = json.NewEncoder(w).Encode(struct{ ID string }{id})
		return
	}
	if !s.sessions[id] {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if verb == "destroy" {
		delete(s.sessions, id)
	}
	_, _ = fmt.Fprintln(w, "[]")
}
