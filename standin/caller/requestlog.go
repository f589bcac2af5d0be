package caller

import (
	"bufio"
	"encoding/json"
	"os"
	"strconv"
	"sync"
	"time"

	"bergamotbank/errkind"
)

// RequestEntry is one request with the outcomes of its attempts, in order. If the
// request was sent with its key, Key joins the request log with the execution logs
// of the servers.
type RequestEntry struct {
	Class string `json:"class"`
	Key   string `json:"key"`
	Keyed bool   `json:"keyed"`
	// Request is the common prefix of the X-Request-Ids of the attempts.
	Request  string    `json:"request"`
	Outcomes []Outcome `json:"outcomes"`
	// AttemptNotRun holds, for each attempt, whether its response guaranteed that
	// this attempt did not run.
	AttemptNotRun []bool `json:"try_not_run"`
	// Duplicated is true if the first two attempts were sent concurrently.
	Duplicated bool      `json:"twin,omitempty"`
	Server     string    `json:"server,omitempty"`
	Arrived    time.Time `json:"arrived"`
	Ended      time.Time `json:"ended"`
}

// AttemptID returns the X-Request-Id of attempt n, counted from 0.
func (e RequestEntry) AttemptID(n int) string {
	return e.Request + "-" + strconv.Itoa(n)
}

// requestLog writes requests as JSON lines. A nil log discards them. It is safe
// for concurrent use.
type requestLog struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
}

// newRequestLog creates the log file, or returns nil if path is empty.
func newRequestLog(path string) (*requestLog, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "create request log")
	}
	buffer := bufio.NewWriter(file)
	return &requestLog{file: file, buffer: buffer, encoder: json.NewEncoder(buffer)}, nil
}

func (l *requestLog) add(entry RequestEntry) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.encoder.Encode(entry)
}

func (l *requestLog) close() error {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.buffer.Flush(); err != nil {
		return errkind.Wrap(err, errkind.Internal, "write request log")
	}
	return errkind.Wrap(l.file.Close(), errkind.Internal, "close request log")
}
