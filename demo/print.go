package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"bergamotbank/errkind"
	"bergamotbank/standin/caller"
)

// print writes a summary and returns an error when a promise was not kept.
func (r result) print(w io.Writer) error {
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	writeRow(table, "kind", "whole answers", "refused, not run", "unknown", "not connected", "broken", "cut", "p50 ms", "p99 ms")
	writeClass(table, "orders", r.report.Orders)
	writeClass(table, "status streams", r.report.Status)
	writeClass(table, "downloads", r.report.Downloads)
	if err := table.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "summary")
	}
	totals := r.report.Totals
	_, err := fmt.Fprintf(w, "%sorders executed: %d different, %d runs beyond the first\n"+
		"demo: %d answers, %d broken flows, %d duplicate runs, %d wrong service\n",
		text.String(), r.executed, r.duplicates,
		totals.Responses, totals.BrokenFlows, r.duplicates, totals.WrongService)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "summary")
	}
	return r.verdict()
}

func writeClass(w io.Writer, name string, c *caller.ClassReport) {
	if c == nil {
		return
	}
	writeRow(w, name, c.Answered, c.NotRun, c.Unknown, c.NotConnected, c.Broken, c.Corrupted, milliseconds(c.P50), milliseconds(c.P99))
}

// writeRow writes the cells of one row of a table.
func writeRow(w io.Writer, cells ...any) {
	for _, cell := range cells {
		_, _ = fmt.Fprintf(w, "%v\t", cell)
	}
	_, _ = fmt.Fprintln(w)
}

func milliseconds(value float64) string {
	return strconv.FormatFloat(value, 'f', 1, 64)
}

// verdict tells whether every promise of the demo was kept.
func (r result) verdict() error {
	totals := r.report.Totals
	switch {
	case totals.Responses == 0:
		return errkind.New(errkind.Internal, "no answers")
	case totals.BrokenFlows > 0 || r.duplicates > 0 || totals.WrongService > 0:
		return errkind.New(errkind.Internal, "a flow broke, a request ran twice or a wrong service answered")
	case totals.CorruptedResponses > 0 || totals.MismatchedResponses > 0:
		return errkind.New(errkind.Internal, "an answer was cut or crossed")
	}
	return nil
}
