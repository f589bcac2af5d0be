package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is a real program that the soak started. Only these are signalled, by
// their ids.
type process struct {
	name    string
	program string
	role    string
	dir     string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// start runs the program unless it runs already: two steps may end the same process
// and both start it again. Its output is appended to a file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, p.role, "--settings", filepath.Join(p.dir, p.name+".toml"))
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		// The end is what counts; how is in the log.
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// running tells whether the last start has not ended; it runs with mu held.
func (p *process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		// It may have ended.
		_ = p.command.Process.Signal(s)
	}
}

// wait waits until the process has ended, at most for the given time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
}
