//go:build review

package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// process is one of the project's programs. Only processes that the rig started are
// signaled.
type process struct {
	name, dir string
	args      []string
	rec       *record
	// onEnd is called when the process ends by itself.
	onEnd func(p *process, text string)

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	killed  atomic.Bool
}

// start starts the program with the arguments of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(p.args[0], p.args[1:]...)
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	p.rec.logf("process %s starts", p.name)
	done := make(chan struct{})
	p.mu.Lock()
	p.command, p.done = command, done
	p.mu.Unlock()
	p.killed.Store(false)
	go func() {
		err := command.Wait()
		_ = log.Close()
		if !p.killed.Load() {
			p.onEnd(p, errorText(err)+"; "+p.lastPanic())
		}
		close(done)
	}()
	return nil
}

// lastPanic returns the panic in the log of the process.
func (p *process) lastPanic() string {
	log, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		return err.Error()
	}
	_, rest, found := strings.Cut(string(log), "panic: ")
	if !found {
		return "no panic in its log"
	}
	lines := strings.Split(rest, "\n")
	text := "panic: " + lines[0]
	for _, line := range lines[1:] {
		if strings.HasPrefix(line, "bergamotbank/") {
			text += " in " + line[:strings.Index(line+"(0x", "(0x")]
			break
		}
	}
	return text
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.rec.logf("process %s gets %s", p.name, s)
		_ = p.command.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.killed.Store(true)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-time.After(2 * time.Second):
		}
	}
}
