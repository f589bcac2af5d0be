package passthrough

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/process/settings"
)

// TestHangupAtAnyTime guards against processes that a request to reload their settings ends: the
// signal was received only between the start and the stop of one task.
func TestHangupAtAnyTime(t *testing.T) {
	sendHangup := func() error { return syscall.Kill(os.Getpid(), syscall.SIGHUP) }
	convey.Convey("A process survives SIGHUP before it watches its settings and after it has begun to stop", t, func() {
		a := newTestAgent(t)
		file := filepath.Join(t.TempDir(), "settings.toml")
		convey.So(os.WriteFile(file, nil, 0o600), convey.ShouldBeNil)
		a.reload.Source = settings.Source{Path: file, Role: settings.RolePassthroughAgent, Environment: os.LookupEnv}
		convey.So(sendHangup(), convey.ShouldBeNil)
		time.Sleep(50 * time.Millisecond)
		ctx, stop := context.WithCancel(t.Context())
		stop()
		convey.So(a.watchSettings(ctx), convey.ShouldBeNil)
		convey.So(sendHangup(), convey.ShouldBeNil)
		time.Sleep(50 * time.Millisecond)
	})
}
