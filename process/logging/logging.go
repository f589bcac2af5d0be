// Package logging builds the logger of a process: JSON lines on standard error.
package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bergamotbank/errkind"
)

// New returns a logger for the named process that writes entries of at least
// level. An unknown level is an error of kind InvalidSettings.
func New(process, level string) (*zap.Logger, error) {
	lowest, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.InvalidSettings, "log level %q", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(lowest)
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.InitialFields = map[string]any{"process": process}
	logger, err := config.Build()
	return logger, errkind.Wrap(err, errkind.Internal, "build logger")
}
