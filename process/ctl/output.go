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

// failureOutput wraps a failure, so that JSON output of an error differs from a
// result.
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
	return errkind.Wrap(encoder.Encode(value), errkind.Internal, "write output")
}

// print writes value as JSON with --json, else the lines as text.
func (c *command) print(value any, lines []string) error {
	if c.arguments.JSON {
		return printJSON(c.streams.Out, value)
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(c.streams.Out, line); err != nil {
			return errkind.Wrap(err, errkind.Internal, "write output")
		}
	}
	return nil
}
