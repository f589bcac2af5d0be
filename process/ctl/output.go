package ctl

import (
	"encoding/json"
	"fmt"
	"io"

	"bergamotbank/errkind"
	"bergamotbank/version/config"
)

// failure is an error in JSON output.
type failure struct {
	Kind     string           `json:"kind"`
	ExitCode int              `json:"exit_code"`
	Message  string           `json:"message"`
	Problems []config.Problem `json:"problems,omitempty"`
}

// failureOutput wraps a failure, so that output with and without one differs.
type failureOutput struct {
	Error failure `json:"error"`
}

func printError(w io.Writer, err error, asJSON bool) {
	if !asJSON {
		_, _ = fmt.Fprintf(w, "%s: %s: %s\n", programName, errkind.Of(err), err)
		return
	}
	_ = printJSON(w, failureOutput{Error: failure{
		Kind:     errkind.Of(err).String(),
		ExitCode: errkind.ExitCode(err),
		Message:  err.Error(),
		Problems: config.Problems(err),
	}})
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errkind.Wrap(encoder.Encode(value), errkind.Internal, "output")
}

// print writes value as JSON, or the lines of text.
func (c *command) print(value any, lines []string) error {
	if c.arguments.JSON {
		return printJSON(c.streams.Out, value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(c.streams.Out, line); err != nil {
			return errkind.Wrap(err, errkind.Internal, "output")
		}
	}
	return nil
}
