package logging

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// defaultRate limits the lines with the same message, in lines per second, and
	// defaultBurst the lines in a burst. A line takes about 10 µs of CPU time on a
	// small VM.
	defaultRate  = 40.0
	defaultBurst = 80.0
	// failureRate and failureBurst apply to failureMessages, which on-call engineers
	// look for first.
	failureRate  = 100.0
	failureBurst = 400.0
	// requestRate and requestBurst apply to the lines that map a request to its flow;
	// the rate is twice that of the responses of one server.
	requestRate  = 150.0
	requestBurst = 300.0
	// summaryInterval is the minimum interval between lines that count dropped lines.
	summaryInterval = 5 * time.Second
)

// failureMessages are the messages about refused or failed flows, and about those that waited.
var failureMessages = map[string]bool{"flow refused": true, "flow reset": true, "request unanswered": true, "admission queue": true}

// rateLimitOf returns the rate limit of a message.
func rateLimitOf(message string) (rate, burst float64) {
	switch {
	case failureMessages[message]:
		return failureRate, failureBurst
	case message == "request answered":
		return requestRate, requestBurst
	}
	return defaultRate, defaultBurst
}

// rateLimitedCore is a zapcore.Core that limits the rate of lines per message.
// Warnings and errors report changes of state and are never limited.
type rateLimitedCore struct {
	zapcore.Core
	limiter *rateLimiter
}

// rateLimiter holds a token bucket for each message, shared by all loggers of a
// process.
type rateLimiter struct {
	now    func() time.Time
	output *Output

	mu              sync.Mutex
	byMessage       map[string]*bucket
	limited         uint64
	lastSummary     time.Time
	droppedReported uint64
}

type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func newRateLimitedCore(core zapcore.Core, now func() time.Time, output *Output) *rateLimitedCore {
	return &rateLimitedCore{core, &rateLimiter{now: now, output: output, byMessage: map[string]*bucket{}, lastSummary: now()}}
}

// With returns a core with additional fields and the same rate limiter.
func (c *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{c.Core.With(fields), c.limiter}
}

// Check adds the core if the rate limit of the message allows the line.
func (c *rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !c.Enabled(entry.Level) || (entry.Level < zapcore.WarnLevel && !c.limiter.allow(entry.Message)) {
		return checked
	}
	return checked.AddCore(entry, c)
}

// Write writes the line, preceded by a line that counts dropped lines if one is due.
func (c *rateLimitedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	if limited, dropped, due := c.limiter.takeSummary(); due {
		summary := zapcore.Entry{Level: zapcore.WarnLevel, Time: entry.Time, Message: "log lines dropped"}
		counts := []zapcore.Field{zap.Uint64("over_budget", limited), zap.Uint64("queue_full", dropped)}
		if err := c.Core.Write(summary, counts); err != nil {
			return err
		}
	}
	return c.Core.Write(entry, fields)
}

// allow takes a token from the bucket of the message and reports whether there was
// one.
func (l *rateLimiter) allow(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	rate, burst := rateLimitOf(message)
	b := l.byMessage[message]
	if b == nil {
		b = &bucket{tokens: burst, refilledAt: now}
		l.byMessage[message] = b
	}
	b.tokens = min(burst, b.tokens+rate*max(0, now.Sub(b.refilledAt).Seconds()))
	b.refilledAt = now
	if b.tokens < 1 {
		l.limited++
		return false
	}
	b.tokens--
	return true
}

// takeSummary returns and resets the numbers of lines that were rate-limited and
// dropped by the output since the last summary. due is false if there are none or the
// last summary is too recent.
func (l *rateLimiter) takeSummary() (limited, dropped uint64, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.output.Dropped()
	if (l.limited == 0 && total == l.droppedReported) || l.now().Sub(l.lastSummary) < summaryInterval {
		return 0, 0, false
	}
	limited, dropped = l.limited, total-l.droppedReported
	l.limited, l.droppedReported, l.lastSummary = 0, total, l.now()
	return limited, dropped, true
}
