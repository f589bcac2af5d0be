package passthrough

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"

	"bergamotbank/process/settings"
)

// settingsInterval is the pace at which the settings file is looked at; it may
// change without a signal.
const settingsInterval = 5 * time.Second

// Reload tells a process how to take over changed settings.
type Reload struct {
	// Source is where the settings come from.
	Source settings.Source
	// SetLogLevel changes the lowest level that is logged.
	SetLogLevel func(level string) error
}

// followSettings takes over changed settings, on SIGHUP and when the file has
// changed, until ctx ends.
func (n *node) followSettings(ctx context.Context) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	// A file that cannot be read now was read at the start.
	last, _ := n.reload.Source.FileState()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			signaled = true
		case <-ticker.C:
		}
		stamp, err := n.reload.Source.FileState()
		if err != nil {
			n.logger.Warn("settings cannot be read; the former ones stay", zap.Error(err))
			continue
		}
		if !signaled && stamp == last {
			continue
		}
		last = stamp
		n.applySettings()
	}
}

// applySettings takes over the settings whole, or none of them.
func (n *node) applySettings() {
	changed, err := n.reload.Source.Load()
	if err != nil {
		n.logger.Warn("changed settings refused; the former ones stay", zap.Error(err))
		return
	}
	if err := n.reload.SetLogLevel(changed.LogLevel); err != nil {
		n.logger.Warn("changed settings refused; the former ones stay", zap.Error(err))
		return
	}
	n.mu.Lock()
	n.heartbeat = time.Duration(changed.Passthrough.Heartbeat)
	n.mu.Unlock()
	n.greetSeeds(changed.Seeds)
	rest := changed
	rest.Seeds, rest.LogLevel, rest.Passthrough.Heartbeat = n.settings.Seeds, n.settings.LogLevel, n.settings.Passthrough.Heartbeat
	n.logger.Info("settings reloaded", zap.Bool("needs_restart", !reflect.DeepEqual(rest, n.settings)))
}
