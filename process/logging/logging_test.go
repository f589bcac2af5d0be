package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// recordingWriter is a writer that records what is written to it.
type recordingWriter struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *recordingWriter) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *recordingWriter) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.b.String(), text)
}

func TestRateLimit(t *testing.T) {
	convey.Convey("Lines are rate-limited, those about failures less strictly, warnings never, and dropped lines are counted", t, func() {
		now := time.Unix(1000, 0)
		var w recordingWriter
		logger, output := build("p", zapcore.InfoLevel, &w, func() time.Time { return now })
		for range 1000 {
			logger.Info("flow placed")
			logger.Info("flow reset")
			logger.Warn("store does not answer")
		}
		now = now.Add(summaryInterval)
		logger.Info("flow placed", zap.String("last", "yes"))
		output.Close()
		convey.So(w.count(`"msg":"flow placed"`), convey.ShouldEqual, defaultBurst+1)
		convey.So(w.count(`"msg":"flow reset"`), convey.ShouldEqual, failureBurst)
		convey.So(w.count(`"msg":"store does not answer"`), convey.ShouldEqual, 1000)
		convey.So(w.count(`"over_budget":1520,"queue_full":0`), convey.ShouldEqual, 1)
		convey.So(w.count(`"last":"yes"`), convey.ShouldEqual, 1)
		convey.So(w.count(`"process":"p"`), convey.ShouldEqual, w.count("\n"))
	})
}

func TestBlockedReader(t *testing.T) {
	convey.Convey("A pipe that is not read does not block the logger, and dropped lines are counted", t, func() {
		reader, writer := io.Pipe()
		defer func() { _ = reader.Close() }()
		logger, output := build("p", zapcore.InfoLevel, writer, time.Now)
		started := time.Now()
		text := strings.Repeat("x", 1000)
		for range 2000 {
			logger.Warn(text)
		}
		convey.So(time.Since(started), convey.ShouldBeLessThan, time.Second)
		convey.So(output.Dropped(), convey.ShouldBeGreaterThan, 1000)
		output.Close()
		convey.So(time.Since(started), convey.ShouldBeLessThan, 2*time.Second)
	})
}
