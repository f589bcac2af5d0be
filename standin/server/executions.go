package server

import (
	"sync"
	"time"
)

// maxExecutions bounds the execution log.
const maxExecutions = 1 << 20

// Outcome is how an execution ended.
type Outcome string

// The outcomes of executions.
const (
	// OutcomeRunning has not ended.
	OutcomeRunning Outcome = "running"
	// OutcomeFinished ran to its end.
	OutcomeFinished Outcome = "finished"
	// OutcomeCanceled was given up by its caller or by its deadline.
	OutcomeCanceled Outcome = "canceled"
	// OutcomeAborted ended because the server fell over.
	OutcomeAborted Outcome = "aborted"
)

// Execution is one run of a request that is not idempotent. A run counts from
// its start.
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

// ExecutionLog is the log of one server as GET /fault/executions returns it.
type ExecutionLog struct {
	Server     string      `json:"server"`
	Service    string      `json:"service"`
	Truncated  bool        `json:"truncated"`
	Executions []Execution `json:"executions"`
}

// executions is the log of a server. It is safe for concurrent use.
type executions struct {
	mu        sync.Mutex
	entries   []Execution
	truncated bool
}

// start records the start of a run and returns its sequence number, from 1.
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

// end records the end of a run.
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

// snapshot returns a copy of the log.
func (e *executions) snapshot() (entries []Execution, truncated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Execution{}, e.entries...), e.truncated
}
