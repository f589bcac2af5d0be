package passthrough

import (
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"bergamotbank/process/hangup"
	"bergamotbank/process/settings"
)

// settingsInterval is the interval at which the settings file is checked for changes
// that were not signaled.
const settingsInterval = 5 * time.Second

// Reload is what a process needs to reload its settings.
type Reload struct {
	// Source is the source of the settings.
	Source settings.Source
	// SetLogLevel sets the minimum log level.
	SetLogLevel func(level string) error
}

// watchSettings reloads the settings on SIGHUP and when the file has changed, until ctx
// is canceled.
func (n *node) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	// An error is ignored: the file was readable at the start, and the next check logs it.
	last, _ := n.reload.Source.FileState()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup.Received():
			signaled = true
		case <-ticker.C:
		}
		stamp, err := n.reload.Source.FileState()
		if err != nil {
			n.logger.Warn("cannot read the settings; keeping the current ones", zap.Error(err))
			continue
		}
		if !signaled && stamp == last {
			continue
		}
		last = stamp
		n.applySettings()
	}
}

// applySettings applies the changed settings if all of them are valid.
func (n *node) applySettings() {
	changed, err := n.reload.Source.Load()
	if err != nil {
		n.logger.Warn("changed settings rejected; keeping the current ones", zap.Error(err))
		return
	}
	if err := n.reload.SetLogLevel(changed.LogLevel); err != nil {
		n.logger.Warn("changed settings rejected; keeping the current ones", zap.Error(err))
		return
	}
	n.mu.Lock()
	n.heartbeatInterval = time.Duration(changed.Passthrough.Heartbeat)
	n.mu.Unlock()
	n.addSeeds(changed.Seeds)
	rest := changed
	rest.Seeds, rest.LogLevel, rest.Passthrough.Heartbeat = n.settings.Seeds, n.settings.LogLevel, n.settings.Passthrough.Heartbeat
	n.logger.Info("settings reloaded", zap.Bool("needs_restart", !reflect.DeepEqual(rest, n.settings)))
}
