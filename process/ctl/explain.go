package ctl

import (
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"bergamotbank/errkind"
	"bergamotbank/process/explain"
)

// explain prints the trace of a request or flow from log files. Errors: NotFound if no
// line contains it, Usage if a file cannot be read.
func (c *command) explain(a *ExplainCommand) error {
	var log explain.Log
	for _, path := range a.Logs {
		if err := readLogs(&log, path); err != nil {
			return err
		}
	}
	trace, err := log.Explain(a.Subject)
	if err != nil {
		return err
	}
	if c.arguments.JSON {
		return errkind.Wrap(json.NewEncoder(c.streams.Out).Encode(trace), errkind.Internal, "write trace")
	}
	return explain.Write(c.streams.Out, trace)
}

// readLogs reads a file, or all files named *.log or *.txt in a directory tree.
func readLogs(log *explain.Log, path string) error {
	err := filepath.WalkDir(path, func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || (name != path && !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".txt")) {
			return err
		}
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		return log.Read(file)
	})
	return errkind.Wrap(err, errkind.Usage, "read logs at %s", path)
}
