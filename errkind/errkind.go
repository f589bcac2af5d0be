// Package errkind defines the closed list of error kinds of bergamotbank and the
// properties of each: the exit code of a command, the HTTP status of a response
// and what the response guarantees about the execution of the request.
package errkind

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Kind is one entry of the closed list of error kinds.
type Kind uint8

// The closed list of error kinds.
const (
	// Internal is a bug in bergamotbank, or any error without a kind.
	Internal Kind = iota
	// Usage is an invalid command line.
	Usage
	// InvalidSettings is a settings file that is missing, invalid or incomplete.
	InvalidSettings
	// InvalidConfig is an operator configuration that fails validation.
	InvalidConfig
	// TooLarge is a configuration text, message or body over its size limit.
	TooLarge
	// NotFound is a service, server, failure domain or version that does not exist.
	NotFound
	// Conflict is a compare-and-swap that failed because of another write.
	Conflict
	// StoreUnavailable is a platform key-value service that does not respond.
	StoreUnavailable
	// OutcomeUnknown is a write that may or may not have taken effect.
	OutcomeUnknown
	// NotInForce is a version that did not become active on all processes in time.
	NotInForce
	// PeerUnavailable is a bergamotbank process that does not respond.
	PeerUnavailable
	// Partial is a result from which some processes are missing.
	Partial
	// Malformed is a message or packet that cannot be decoded.
	Malformed
	// WrongService is a packet or request for a service that the process does not
	// serve.
	WrongService
	// Overloaded is a request rejected because the concurrency limit is reached and
	// the queue is full.
	Overloaded
	// DeadlineTooClose is a request rejected because it cannot finish in time.
	DeadlineTooClose
	// Draining is a request rejected because the process is draining.
	Draining
	// DomainOut is a request rejected because its failure domain is out of service.
	DomainOut
	// DependencyUnavailable is a request rejected because a service it depends on
	// has no healthy backend server.
	DependencyUnavailable
	// CallNotAllowed is a call to a service that the caller's depends_on does not
	// list.
	CallNotAllowed
	// BackendUnavailable is a backend server that could not be reached before
	// the first byte of the request was sent.
	BackendUnavailable
	// BackendFailed is a backend server that failed after the request was sent.
	BackendFailed
	// BackendTimeout is a backend server that did not respond by the deadline.
	BackendTimeout
	// KeyInProgress is an idempotency key whose first request is still running.
	KeyInProgress
	// KeyUnverifiable is an idempotency key for which the ledger cannot tell whether an
	// earlier request was executed.
	KeyUnverifiable
	// KeyMismatch is an idempotency key reused with a different request.
	KeyMismatch
	// Canceled is a request canceled by its caller.
	Canceled

	kindCount
)

// Execution is what a response guarantees about the execution of the request.
type Execution uint8

// The guarantees of a response.
const (
	// ExecutionNotApplicable marks kinds that do not occur in responses to callers.
	ExecutionNotApplicable Execution = iota
	// NotExecuted guarantees that the request was not and will not be executed.
	NotExecuted
	// ExecutionUnknown means that the request may have been executed.
	ExecutionUnknown
)

// String returns the value of the response header that carries the guarantee.
func (e Execution) String() string {
	switch e {
	case NotExecuted:
		return "not-run"
	case ExecutionUnknown:
		return "unknown"
	case ExecutionNotApplicable:
	}
	return ""
}

// Properties are the properties of an error kind.
type Properties struct {
	// Name is the stable name of the kind in logs, metrics and JSON output.
	Name string
	// ExitCode is the exit code of a command that ends with this kind.
	ExitCode int
	// HTTPStatus is the status of an HTTP response with this kind.
	HTTPStatus int
	// Execution is the guarantee about the execution of the request.
	Execution Execution
	// Retryable reports whether the same request may be retried unchanged.
	Retryable bool
}

var properties = [kindCount]Properties{
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

// Properties returns the properties of the kind. A kind outside the list has those
// of Internal.
func (k Kind) Properties() Properties {
	if k >= kindCount {
		return properties[Internal]
	}
	return properties[k]
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

// Wrap returns err with a message prepended and the given kind. It returns nil if
// err is nil.
func Wrap(err error, kind Kind, format string, args ...any) error {
	if err == nil {
		return nil
	}
	message := fmt.Sprintf(format, args...)
	return &kindError{kind: kind, cause: errors.WrapWithDepth(1, err, message)}
}

// Of returns the kind of the outermost error in the chain that carries one, and
// Internal if none does.
func Of(err error) Kind {
	var e *kindError
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Is reports whether err has the given kind.
func Is(err error, kind Kind) bool {
	return err != nil && Of(err) == kind
}

// ExitCode returns the exit code for err: 0 for nil, otherwise that of its kind.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	return Of(err).Properties().ExitCode
}
