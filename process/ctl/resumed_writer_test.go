package ctl_test

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"bergamotbank/errkind"
	"bergamotbank/process/ctl"
	"bergamotbank/version/config"
	"bergamotbank/version/publish"
	"bergamotbank/version/store"
)

// childEnv is the environment variable that makes the test binary run as bergamotctl.
const childEnv = "BERGAMOTCTL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) != "" {
		os.Exit(ctl.Main(context.Background(), os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
	}
	os.Exit(m.Run())
}

func configWithPort(port string) string {
	return strings.Replace(configText, "port = 80", "port = "+port, 1)
}

// stopProcess suspends a child process and returns once it is suspended.
func stopProcess(pid int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return err
	}
	var status syscall.WaitStatus
	_, err := syscall.Wait4(pid, &status, syscall.WUNTRACED, nil)
	return err
}

func TestResumedWriter(t *testing.T) {
	convey.Convey("A writer suspended before it writes the root and resumed later does not overwrite a newer version", t, func() {
		cluster := newTestCluster(t)
		convey.So(cluster.run(configWithPort("80"), "apply", "-").code, convey.ShouldEqual, 0)

		child := exec.Command(os.Args[0], "--store", cluster.store.Address(), "--json", "apply", "-")
		child.Env = append(os.Environ(), childEnv+"=1")
		child.Stdin = strings.NewReader(configWithPort("81"))
		var stderr strings.Builder
		child.Stderr = &stderr
		started := make(chan struct{})
		stopped := make(chan error, 1)
		suspend := sync.OnceFunc(func() {
			<-started
			stopped <- stopProcess(child.Process.Pid)
		})
		cluster.store.OnWrite(func(key string) {
			if strings.HasPrefix(key, publish.SectionPrefix) {
				suspend()
			}
		})
		convey.So(child.Start(), convey.ShouldBeNil)
		close(started)
		convey.So(<-stopped, convey.ShouldBeNil)
		cluster.store.OnWrite(nil)
		convey.So(cluster.run(configWithPort("82"), "apply", "-").stdout, convey.ShouldStartWith, "accepted: version 2")
		convey.So(child.Process.Signal(syscall.SIGCONT), convey.ShouldBeNil)

		_ = child.Wait()
		convey.So(child.ProcessState.ExitCode(), convey.ShouldEqual, exitCode(errkind.Conflict))
		convey.So(stderr.String(), convey.ShouldContainSubstring, "another operator made version 2 first")
		client := store.NewClient(store.Options{Address: cluster.store.Address(), Timeout: time.Second})
		defer client.Close()
		snapshot, err := publish.Load(t.Context(), client)
		convey.So(err, convey.ShouldBeNil)
		want, err := config.Parse([]byte(configWithPort("82")))
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(snapshot.Config, want), convey.ShouldBeEmpty)
	})
}
