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

// RequestEntry is one request with the outcomes of its tries, in order. The log
// of requests is joined with the execution logs of the servers by Key, if the
// request was sent with it.
type RequestEntry struct {
	Class string `json:"class"`
	Key   string `json:"key"`
	Keyed bool   `json:"keyed"`
	// Request is the common part of the X-Request-Id of the tries.
	Request  string    `json:"request"`
	Outcomes []Outcome `json:"outcomes"`
	// AttemptNotRun tells for each try whether its answer promised that this try did
	// not run.
	AttemptNotRun []bool `json:"try_not_run"`
	// Duplicated tells that the first two tries were sent at once.
	Duplicated bool      `json:"twin,omitempty"`
	Server     string    `json:"server,omitempty"`
	Arrived    time.Time `json:"arrived"`
	Ended      time.Time `json:"ended"`
}

// AttemptID returns the X-Request-Id of a try, counted from 0.
func (e RequestEntry) AttemptID(n int) string {
	return e.Request + "-" + strconv.Itoa(n)
}

// requestLog writes requests as JSON lines. A nil log drops them. It is safe for
// concurrent use.
type requestLog struct {
	mu      sync.Mutex
	file    *os.File
	buffer  *bufio.Writer
	encoder *json.Encoder
}

// newRequestLog creates the file, or returns nil for an empty path.
func newRequestLog(path string) (*requestLog, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Usage, "request log")
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
		return errkind.Wrap(err, errkind.Internal, "request log")
	}
	return errkind.Wrap(l.file.Close(), errkind.Internal, "request log")
}
