package ctl

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"bergamotbank/errkind"
	"bergamotbank/version/publish"
	"bergamotbank/version/spread"
)

// staleStoreContact is the age from which the latest contact with the store is shown.
const staleStoreContact = 10 * time.Second

type statusOutput struct {
	// Stored is the version in the store, or 0 if it is unknown.
	Stored uint64 `json:"stored"`
	// StoreError is the error if the stored version is unknown.
	StoreError string                 `json:"store_error,omitempty"`
	Processes  []spread.ProcessStatus `json:"processes"`
	Missing    []Missing              `json:"missing"`
}

func (c *command) status(ctx context.Context) error {
	var output statusOutput
	stored, err := publish.LoadVersion(ctx, c.store, nil)
	output.Stored = stored.Root.Version
	if err != nil {
		output.StoreError = err.Error()
	}
	cluster := c.collectStatus(ctx, c.findSeeds(ctx))
	output.Processes = cluster.processes
	output.Missing = cluster.missing
	if err := c.print(output, output.lines()); err != nil {
		return err
	}
	if err := cluster.checkComplete(); err != nil {
		return err
	}
	return errkind.Wrap(err, errkind.Of(err), "read the version in the store")
}

func (o statusOutput) lines() []string {
	stored := fmt.Sprintf("stored version %d", o.Stored)
	if o.StoreError != "" {
		stored = "stored version unknown: " + o.StoreError
	}
	var rows []string
	for _, p := range o.Processes {
		rows = append(rows, processRow(p))
	}
	for _, m := range o.Missing {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\tmissing", m.Domain, m.Name, m.Control))
	}
	return append([]string{stored}, alignColumns(rows)...)
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

// alignColumns aligns the tab-separated cells of rows to columns.
func alignColumns(rows []string) []string {
	if len(rows) == 0 {
		return nil
	}
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, columnGap, ' ', 0)
	_, _ = io.WriteString(table, strings.Join(rows, "\n")+"\n")
	_ = table.Flush()
	return strings.Split(strings.TrimSuffix(text.String(), "\n"), "\n")
}

// processRow returns the tab-separated cells of one process.
func processRow(p spread.ProcessStatus) string {
	role := "balancer"
	if p.Leaf {
		role = "agent"
	}
	line := fmt.Sprintf("%s\t%s\t%s\t%s\tversion %d active %d", p.Domain, p.Name, p.Control, role, p.Version, p.ActiveVersion)
	if !p.Ready {
		line += " not ready"
	}
	if p.StoreAgeMillis > staleStoreContact.Milliseconds() {
		line += fmt.Sprintf(" last store contact %d s ago", p.StoreAgeMillis/1000)
	}
	if p.Watching {
		line += " watching"
	}
	if p.RejectedVersion > 0 {
		line += fmt.Sprintf(" rejected version %d: %s", p.RejectedVersion, p.RejectedReason)
	}
	return line
}
