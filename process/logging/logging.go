// Package logging provides the logger of a process. It writes JSON lines to standard
// output, limits their rate and never blocks the process.
package logging

import (
	"io"
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotbank/errkind"
)

// New returns a logger for the named process that writes entries of at least
// level. An unknown level is an error of kind InvalidSettings. Output.Close flushes
// the queued lines.
func New(process, level string) (logger *zap.Logger, output *Output, err error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, nil, errkind.Wrap(err, errkind.InvalidSettings, "log level %q", level)
	}
	logger, output = build(process, lowest, os.Stdout, time.Now)
	return logger, output, nil
}

// build returns a logger that writes to w.
func build(process string, lowest zapcore.Level, w io.Writer, now func() time.Time) (*zap.Logger, *Output) {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	output := newOutput(w)
	output.level.SetLevel(lowest)
	core := newRateLimitedCore(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), output, output.level), now, output)
	return zap.New(core).With(zap.String("process", process)), output
}
