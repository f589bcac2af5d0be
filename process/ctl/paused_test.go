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

// childVariable makes the test program run as bergamotctl.
const childVariable = "BERGAMOTCTL_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) != "" {
		os.Exit(ctl.Main(context.Background(), os.Args[1:], ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}))
	}
	os.Exit(m.Run())
}

func portText(port string) string {
	return strings.Replace(text, "port = 80", "port = "+port, 1)
}

// stopProcess stops a child and returns once it has stopped.
func stopProcess(pid int) error {
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		return err
	}
	var status syscall.WaitStatus
	_, err := syscall.Wait4(pid, &status, syscall.WUNTRACED, nil)
	return err
}

func TestStoppedWriter(t *testing.T) {
	convey.Convey("A writer stopped before its root and resumed later overwrites nothing", t, func() {
		w := newWorld(t)
		convey.So(w.run(portText("80"), "apply", "-").code, convey.ShouldEqual, 0)

		child := exec.Command(os.Args[0], "--store", w.store.Address(), "--json", "apply", "-")
		child.Env = append(os.Environ(), childVariable+"=1")
		child.Stdin = strings.NewReader(portText("81"))
		var stderr strings.Builder
		child.Stderr = &stderr
		started := make(chan struct{})
		stopped := make(chan error, 1)
		stop := sync.OnceFunc(func() {
			<-started
			stopped <- stopProcess(child.Process.Pid)
		})
		w.store.OnWrite(func(key string) {
			if strings.HasPrefix(key, publish.SectionPrefix) {
				stop()
			}
		})
		convey.So(child.Start(), convey.ShouldBeNil)
		close(started)
		convey.So(<-stopped, convey.ShouldBeNil)
		w.store.OnWrite(nil)
		convey.So(w.run(portText("82"), "apply", "-").stdout, convey.ShouldStartWith, "accepted: version 2")
		convey.So(child.Process.Signal(syscall.SIGCONT), convey.ShouldBeNil)

		_ = child.Wait()
		convey.So(child.ProcessState.ExitCode(), convey.ShouldEqual, code(errkind.Conflict))
		convey.So(stderr.String(), convey.ShouldContainSubstring, "another operator made version 2 first")
		client := store.NewClient(store.Options{Address: w.store.Address(), Timeout: time.Second})
		defer client.Close()
		snapshot, err := publish.Load(t.Context(), client)
		convey.So(err, convey.ShouldBeNil)
		wanted, err := config.Parse([]byte(portText("82")))
		convey.So(err, convey.ShouldBeNil)
		convey.So(config.Diff(snapshot.Config, wanted), convey.ShouldBeEmpty)
	})
}
