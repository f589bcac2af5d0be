// Package errkind holds the closed list of error kinds of bergamotbank and the
// table that maps each kind to the answer given for it: the exit code of a
// command, the HTTP status of an answer and what the answer promises about the
// execution of a request.
package errkind

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The closed list of error kinds.
const (
	// Internal is a fault of the program itself.
	Internal Kind = iota
	// Usage is a command line that cannot be understood.
	Usage
	// InvalidSettings is a settings file that is missing, broken or incomplete.
	InvalidSettings
	// InvalidConfig is an operators' text that does not pass validation.
	InvalidConfig
	// TooLarge is a text, message or body over its size limit.
	TooLarge
	// NotFound is a service, server, failure domain or version that does not exist.
	NotFound
	// Conflict is a compare-and-swap lost to another writer.
	Conflict
	// StoreUnavailable is a platform key-value service that does not answer.
	StoreUnavailable
	// OutcomeUnknown is a write that may or may not have taken effect.
	OutcomeUnknown
	// NotInForce is a version that did not come into force everywhere in time.
	NotInForce
	// PeerUnavailable is a process of the system that does not answer.
	PeerUnavailable
	// Partial is a result from which some processes are missing.
	Partial
	// Malformed is a message or packet that cannot be decoded.
	Malformed
	// WrongService is a packet or request for a service not served here.
	WrongService
	// Overloaded is a request refused because the limit and the queue are full.
	Overloaded
	// DeadlineTooClose is a request refused because it cannot finish in time.
	DeadlineTooClose
	// Draining is a request refused because the process is leaving.
	Draining
	// DomainOut is a request refused because its failure domain is out.
	DomainOut
	// DependencyUnavailable is a request refused because a service it depends on
	// has no healthy backend server.
	DependencyUnavailable
	// CallNotAllowed is a call to a service outside the caller's depends_on.
	CallNotAllowed
	// BackendUnavailable is a backend server that could not be reached before
	// the first byte of the request was sent.
	BackendUnavailable
	// BackendFailed is a backend server that failed after the request was sent.
	BackendFailed
	// BackendTimeout is a backend server that did not answer by the deadline.
	BackendTimeout
	// KeyInProgress is an idempotency key whose first request is still running.
	KeyInProgress
	// KeyUnverifiable is an idempotency key for which the ledger cannot vouch.
	KeyUnverifiable
	// KeyMismatch is an idempotency key reused with a different request.
	KeyMismatch
	// Canceled is a request given up by its caller.
	Canceled

	kindCount
)

// Execution tells what an answer promises about the execution of the request.
type Execution uint8

// The promises of an answer.
const (
	// ExecutionNotApplicable marks kinds that do not answer a caller's request.
	ExecutionNotApplicable Execution = iota
	// NotExecuted promises that the request was not run and never will be.
	NotExecuted
	// ExecutionUnknown admits that the request may have been run.
	ExecutionUnknown
)

// String returns the value of the answer header that carries the promise.
func (r Execution) String() string {
	switch r {
	case NotExecuted:
		return "not-run"
	case ExecutionUnknown:
		return "unknown"
	case ExecutionNotApplicable:
	}
	return ""
}

// Properties is the answer given for an error kind.
type Properties struct {
	// Name is the stable name of the kind in logs, metrics and JSON output.
	Name string
	// ExitCode is the exit code of a command that ends with this kind.
	ExitCode int
	// HTTPStatus is the status of an HTTP answer with this kind.
	HTTPStatus int
	// Execution is the promise about the execution of the request.
	Execution Execution
	// Retryable tells whether the same request may be repeated as it is.
	Retryable bool
}

var answers = [kindCount]Properties{
	Internal:              {"internal", 1, 500, ExecutionUnknown, false},
	Usage:                 {"usage", 2, 400, ExecutionNotApplicable, false},
	InvalidSettings:       {"invalid_settings", 3, 500, ExecutionNotApplicable, false},
	InvalidConfig:         {"invalid_config", 4, 400, ExecutionNotApplicable, false},
	TooLarge:              {"too_large", 5, 413, NotExecuted, false},
	NotFound:              {"not_found", 6, 404, NotExecuted, false},
	Conflict:              {"conflict", 7, 409, ExecutionNotApplicable, false},
	StoreUnavailable:      {"store_unavailable", 8, 503, ExecutionNotApplicable, true},
	OutcomeUnknown:        {"outcome_unknown", 9, 504, ExecutionNotApplicable, false},
	NotInForce:            {"not_in_force", 10, 504, ExecutionNotApplicable, true},
	PeerUnavailable:       {"peer_unavailable", 11, 503, ExecutionNotApplicable, true},
	Partial:               {"partial", 12, 206, ExecutionNotApplicable, true},
	Malformed:             {"malformed", 13, 400, NotExecuted, false},
	WrongService:          {"wrong_service", 14, 421, NotExecuted, false},
	Overloaded:            {"overloaded", 15, 503, NotExecuted, true},
	DeadlineTooClose:      {"deadline_too_close", 16, 503, NotExecuted, true},
	Draining:              {"draining", 17, 503, NotExecuted, true},
	DomainOut:             {"domain_out", 18, 503, NotExecuted, true},
	DependencyUnavailable: {"dependency_unavailable", 19, 503, NotExecuted, true},
	CallNotAllowed:        {"call_not_allowed", 20, 403, NotExecuted, false},
	BackendUnavailable:    {"backend_unavailable", 21, 503, NotExecuted, true},
	BackendFailed:         {"backend_failed", 22, 502, ExecutionUnknown, false},
	BackendTimeout:        {"backend_timeout", 23, 504, ExecutionUnknown, false},
	KeyInProgress:         {"key_in_progress", 24, 409, ExecutionUnknown, true},
	KeyUnverifiable:       {"key_unverifiable", 25, 502, ExecutionUnknown, false},
	KeyMismatch:           {"key_mismatch", 26, 422, NotExecuted, false},
	Canceled:              {"canceled", 27, 499, ExecutionUnknown, false},
}

// Kinds returns every kind of the closed list, in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := range kindCount {
		kinds = append(kinds, k)
	}
	return kinds
}

// Properties returns the answer for the kind. A kind outside the list is answered
// as Internal.
func (k Kind) Properties() Properties {
	if k >= kindCount {
		return answers[Internal]
	}
	return answers[k]
}

// String returns the stable name of the kind.
func (k Kind) String() string {
	return k.Properties().Name
}

type kindError struct {
	kind  Kind
	cause error
}

func (e *kindError) Error() string {
	return e.cause.Error()
}

func (e *kindError) Unwrap() error {
	return e.cause
}

// New returns an error of the given kind with a formatted message.
func New(kind Kind, format string, args ...any) error {
	return &kindError{kind: kind, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err with a message in front and the given kind. It returns nil
// when err is nil.
func Wrap(err error, kind Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	message := fmt.Sprintf(format, args...)
	return &kindError{kind: kind, cause: errors.WrapWithDepth(1, err, message)}
}

// Of returns the kind of the outermost error in the chain that carries one, and
// Internal when none does.
func Of(err error) Kind {
	var e *kindError
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Is tells whether err carries the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && Of(err) == kind
}

// ExitCode returns the exit code for err: 0 for nil, else that of its kind.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	return Of(err).Properties().ExitCode
}
