package config

import (
	"errors"
	"fmt"
	"strings"
)

// maxValueBytes limits the part of a value that a Problem quotes, in bytes.
const maxValueBytes = 80

// Problem is one error in a configuration text.
type Problem struct {
	// Line is the line number, starting at 1.
	Line int `json:"line"`
	// Field is the key, such as service.port.
	Field string `json:"field"`
	// Value is the value found, truncated if it is long; empty if there is none.
	Value string `json:"value"`
	// Reason says what is wrong with the value or key.
	Reason string `json:"reason"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason)
	}
	return fmt.Sprintf("line %d: %s = %q: %s", p.Line, p.Field, p.Value, p.Reason)
}

// ValidationError lists all problems of a configuration text, sorted by line.
type ValidationError struct {
	// Problems holds at least one entry.
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Problems returns the problems of the ValidationError in the chain of err, or nil
// if there is none.
func Problems(err error) []Problem {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

func truncateValue(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}
