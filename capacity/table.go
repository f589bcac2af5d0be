package main

import (
	"fmt"
	"io"
	"strings"

	"bergamotbank/errkind"
)

// printTable writes the rows as a Markdown table.
func printTable(w io.Writer, rows []row) error {
	var text strings.Builder
	text.WriteString("| role | what | at the target | bound | mechanism |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&text, "| %s | %s | %.4g %s | %s | %s |\n", r.role, r.what, r.value, r.unit, r.limit(), r.mechanism)
	}
	_, err := io.WriteString(w, text.String())
	return errkind.Wrap(err, errkind.Internal, "print table")
}

// limit returns the bound of a row and marks one that is exceeded.
func (r row) limit() string {
	switch {
	case r.bound == 0:
		return ""
	case r.value > r.bound:
		return fmt.Sprintf("%g, **exceeded**", r.bound)
	}
	return fmt.Sprintf("%g", r.bound)
}
