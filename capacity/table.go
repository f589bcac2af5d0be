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
	text.WriteString("| role | what | at the target | limit | mechanism |\n|---|---|---|---|---|\n")
	for _, r := range rows {
		fmt.Fprintf(&text, "| %s | %s | %.4g %s | %s | %s |\n", r.role, r.what, r.value, r.unit, r.formatLimit(), r.mechanism)
	}
	_, err := io.WriteString(w, text.String())
	return errkind.Wrap(err, errkind.Internal, "print table")
}

// formatLimit returns the limit of a row and marks it if it is exceeded.
func (r row) formatLimit() string {
	switch {
	case r.limit == 0:
		return ""
	case r.value > r.limit:
		return fmt.Sprintf("%g, **exceeded**", r.limit)
	}
	return fmt.Sprintf("%g", r.limit)
}
