//go:build review

package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, and keeps the
// violations of the rule.
type record struct {
	mu         sync.Mutex
	started    time.Time
	file       *os.File
	out        *bufio.Writer
	violations []string
	counts     map[string]int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file), counts: map[string]int{}}, nil
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// count increments a counter that is written at the end.
func (r *record) count(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[name]++
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.violations = append(r.violations, text)
	r.write("VIOLATION %s", text)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, n := range r.counts {
		r.write("total %s: %d", name, n)
	}
	r.write("total violations: %d", len(r.violations))
	_ = r.out.Flush()
	_ = r.file.Close()
}
