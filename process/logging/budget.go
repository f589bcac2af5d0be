package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// ordinaryRate and ordinaryBurst bound the lines a second with one message. A
	// line costs some 10 µs of a small VM's processor.
	ordinaryRate  = 40.0
	ordinaryBurst = 80.0
	// importantRate and importantBurst bound refusals and resets, which on-call
	// engineers look for first.
	importantRate  = 100.0
	importantBurst = 400.0
	// requestRate and requestBurst bound the lines that lead from a request to its
	// flow: twice what one server answers.
	requestRate  = 150.0
	requestBurst = 300.0
	// reportInterval is the pause between lines that count what was left out.
	reportInterval = 5 * time.Second
)

// important are the messages about refused or broken flows.
var important = map[string]bool{"flow refused": true, "flow reset": true, "request unanswered": true}

// rateOf returns the budget of a message.
func rateOf(message string) (rate, burst float64) {
	switch {
	case important[message]:
		return importantRate, importantBurst
	case message == "request answered":
		return requestRate, requestBurst
	}
	return ordinaryRate, ordinaryBurst
}

// budget is a zapcore.Core that bounds the lines of each message. Warnings and
// errors, which tell of changes of state, always pass.
type budget struct {
	zapcore.Core
	shared *buckets
}

// buckets are the token buckets by message, shared by all loggers of a process.
type buckets struct {
	now    func() time.Time
	output *Output

	mu       sync.Mutex
	byName   map[string]*bucket
	left     uint64
	reported time.Time
	dropped  uint64
}

type bucket struct {
	tokens float64
	filled time.Time
}

func newBudget(core zapcore.Core, now func() time.Time, output *Output) *budget {
	return &budget{core, &buckets{now: now, output: output, byName: map[string]*bucket{}, reported: now()}}
}

// With returns a core with more fields and the same budget.
func (b *budget) With(fields []zapcore.Field) zapcore.Core {
	return &budget{b.Core.With(fields), b.shared}
}

// Check adds the core when the budget of the message allows the line.
func (b *budget) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(entry.Level) || (entry.Level < zapcore.WarnLevel && !b.shared.allow(entry.Message)) {
		return checked
	}
	return checked.AddCore(entry, b)
}

// Write writes the line, and one that counts what was left out when it is due.
func (b *budget) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if left, dropped, due := b.shared.due(); due {
		summary := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, Message: "log lines left out"}
		counts := []zapcore.Field{zap.Uint64("over_budget", left), zap.Uint64("queue_full", dropped)}
		if err := b.Core.Write(summary, counts); err != nil {
			return err
		}
	}
	return b.Core.Write(entry, fields)
}

// allow takes a token of the message's bucket.
func (s *buckets) allow(message string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	rate, burst := rateOf(message)
	b := s.byName[message]
	if b == nil {
		b = &bucket{tokens: burst, filled: now}
		s.byName[message] = b
	}
	b.tokens = min(burst, b.tokens+rate*max(0, now.Sub(b.filled).Seconds()))
	b.filled = now
	if b.tokens < 1 {
		s.left++
		return false
	}
	b.tokens--
	return true
}

// due returns the number of lines left out since the last report, when there are
// some and the last report is old enough.
func (s *buckets) due() (left, dropped uint64, due bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := s.output.Dropped()
	if (s.left == 0 && total == s.dropped) || s.now().Sub(s.reported) < reportInterval {
		return 0, 0, false
	}
	left, dropped = s.left, total-s.dropped
	s.left, s.dropped, s.reported = 0, total, s.now()
	return left, dropped, true
}
