// Package fault holds what the stand-ins share: fault switches that are read
// and set over HTTP, the HTTP listener that carries them and durations in JSON.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"

	"bergamotbank/errkind"
)

// maxSwitchBytes bounds the body of a request that sets the switches.
const maxSwitchBytes = 4 << 20

// Switches holds the current fault switches of a stand-in, a value of type T.
// The zero value of T means that nothing is faulty. It is safe for concurrent
// use.
type Switches[T any] struct {
	current  atomic.Pointer[T]
	mu       sync.Mutex
	onChange []func(T)
}

// NewSwitches returns switches with the given initial value.
func NewSwitches[T any](initial T) *Switches[T] {
	s := &Switches[T]{}
	s.current.Store(&initial)
	return s
}

// Get returns the current value.
func (s *Switches[T]) Get() T {
	return *s.current.Load()
}

// Set replaces the value and calls the functions registered by OnChange.
func (s *Switches[T]) Set(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(&value)
	for _, f := range s.onChange {
		f(value)
	}
}

// OnChange registers a function that is called with each new value, one at a
// time. It must not call Set.
func (s *Switches[T]) OnChange(f func(T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// ServeHTTP answers GET with the value as JSON. PUT replaces the whole value, so
// that {} clears every fault. PATCH changes only the fields that the body names.
func (s *Switches[T]) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
	case http.MethodPut, http.MethodPatch:
		var value T
		if r.Method == http.MethodPatch {
			value = s.Get()
		}
		if err := DecodeJSON(w, r, &value); err != nil {
			WriteError(w, err)
			return
		}
		s.Set(value)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	WriteJSON(w, s.Get())
}

// DecodeJSON reads the body of r into value. It refuses unknown fields with an
// error of kind Malformed.
func DecodeJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	return errkind.Wrap(err, errkind.Malformed, "body of %s %s", r.Method, r.URL.Path)
}

// WriteJSON answers 200 with value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with the HTTP status of the kind of err and its message.
func WriteError(w http.ResponseWriter, err error) {
	http.Error(w, err.Error(), errkind.Of(err).Properties().HTTPStatus)
}
