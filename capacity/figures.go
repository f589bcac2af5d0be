package main

import (
	"bufio"
	"io"
	"strconv"
	"strings"

	"bergamotbank/errkind"
)

// figures holds measured values by name and collects the names of missing ones.
type figures struct {
	values  map[string]float64
	missing []string
}

// readFigures reads the lines that begin with "bench"; other lines are ignored.
func readFigures(r io.Reader) (*figures, error) {
	f := &figures{values: make(map[string]float64)}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 4 || fields[0] != "bench" {
			continue
		}
		value, err := strconv.ParseFloat(fields[2], 64)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Malformed, "line %q", lines.Text())
		}
		f.values[fields[1]] = value
	}
	return f, errkind.Wrap(lines.Err(), errkind.Internal, "read figures")
}

// value returns a measured value or records that it is missing.
func (f *figures) value(name string) float64 {
	value, ok := f.values[name]
	if !ok {
		f.missing = append(f.missing, name)
	}
	return value
}

// checkComplete returns an error that lists the missing values, if any.
func (f *figures) checkComplete() error {
	if len(f.missing) == 0 {
		return nil
	}
	return errkind.New(errkind.Partial, "not measured: %s", strings.Join(f.missing, ", "))
}
