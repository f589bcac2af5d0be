package server

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"bergamotbank/standin/fault"
)

// maxExecutions is the maximum number of entries in the execution log.
const maxExecutions = 1 << 20

// Outcome is how an execution ended.
type Outcome string

// The outcomes of executions.
const (
	// OutcomeRunning is an execution that has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished is an execution that ran to completion.
	OutcomeFinished Outcome = "finished"
	// OutcomeCanceled is an execution canceled by its caller or its deadline.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeAborted is an execution that ended because the server crashed.
	OutcomeAborted Outcome = "aborted"
)

// Execution is one execution of a non-idempotent request. It counts as executed
// from its start.
type Execution struct {
	Sequence uint64    `json:"sequence"`
	Key      string    `json:"key,omitempty"`
	Request  string    `json:"request,omitempty"`
	Method   string    `json:"method"`
	Path     string    `json:"path"`
	Started  time.Time `json:"started"`
	Ended    time.Time `json:"ended"`
	Outcome  Outcome   `json:"outcome"`
}

// ExecutionLog is the execution log of one server as returned by
// GET /fault/executions.
type ExecutionLog struct {
	Server     string      `json:"server"`
	Service    string      `json:"service"`
	Instance   string      `json:"instance"`
	Truncated  bool        `json:"truncated"`
	Executions []Execution `json:"executions"`
}

// executions is the execution log of a server. It is safe for concurrent use.
type executions struct {
	mu        sync.Mutex
	entries   []Execution
	truncated bool
}

// start records the start of an execution. It returns its sequence number, counted
// from 1, or 0 if the log is full.
func (e *executions) start(entry Execution) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.entries) >= maxExecutions {
		e.truncated = true
		return 0
	}
	entry.Sequence = uint64(len(e.entries) + 1)
	entry.Outcome = OutcomeRunning
	e.entries = append(e.entries, entry)
	return entry.Sequence
}

// end records the end of an execution.
func (e *executions) end(sequence uint64, outcome Outcome, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sequence == 0 || sequence > uint64(len(e.entries)) {
		return
	}
	entry := &e.entries[sequence-1]
	entry.Outcome = outcome
	entry.Ended = now
}

// after returns a copy of the entries with a larger sequence number.
func (e *executions) after(sequence uint64) (entries []Execution, truncated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := min(sequence, uint64(len(e.entries)))
	return append([]Execution{}, e.entries[first:]...), e.truncated
}

// serveExecutions writes the log. The query parameter "after" skips the entries up
// to that sequence number.
func (b *backend) serveExecutions(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			http.Error(w, "query parameter after is not a number", http.StatusBadRequest)
			return
		}
	}
	entries, truncated := b.executions.after(after)
	fault.WriteJSON(w, ExecutionLog{
		Server:     b.command.Name,
		Service:    b.command.Service,
		Instance:   b.instance,
		Truncated:  truncated,
		Executions: entries,
	})
}
