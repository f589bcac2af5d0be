package config

import (
	"errors"
	"fmt"
	"strings"
)

// maxValueBytes is the longest part of a value that a Problem quotes, in bytes.
const maxValueBytes = 80

// Problem is one fault of a text.
type Problem struct {
	// Line is the line of the text, starting at 1.
	Line int `json:"line"`
	// Field is the key concerned, such as service.port.
	Field string `json:"field"`
	// Value is the value found; empty when it is missing.
	Value string `json:"value"`
	// Reason tells what is wrong.
	Reason string `json:"reason"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Reason)
	}
	return fmt.Sprintf("line %d: %s = %q: %s", p.Line, p.Field, p.Value, p.Reason)
}

// ValidationError lists every problem of a text, ordered by line.
type ValidationError struct {
	// Problems holds at least one entry.
	Problems []Problem
}

// Error returns the problems, one a line.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Problems returns the problems that err carries, nil when it carries none.
func Problems(err error) []Problem {
	var invalid *ValidationError
	if errors.As(err, &invalid) {
		return invalid.Problems
	}
	return nil
}

func quoted(value string) string {
	if len(value) <= maxValueBytes {
		return value
	}
	return value[:maxValueBytes] + "..."
}
