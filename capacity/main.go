// Command capacity reads benchmark results, lines "bench NAME VALUE UNIT", and
// prints the resource usage of each role at the target size as a Markdown table.
package main

import (
	"fmt"
	"os"

	"bergamotbank/errkind"
)

func main() {
	err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
	}
	os.Exit(errkind.ExitCode(err))
}

func run() error {
	figures, err := readFigures(os.Stdin)
	if err != nil {
		return err
	}
	rows, err := deriveRows(figures)
	if err != nil {
		return err
	}
	return printTable(os.Stdout, rows)
}
