package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is an operating system process started by the soak test. Only such processes
// are signaled, by their process IDs.
type process struct {
	name    string
	program string
	role    string
	dir     string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// start starts the program unless it is running: two steps may terminate the same
// process and both restart it. The output is appended to a log file.
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
		// Only the exit matters here; its cause is in the log.
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// running reports whether the process is running. The calling function holds mu.
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

// signal sends a signal to the process if it was started.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		// The process may have exited.
		_ = p.command.Process.Signal(s)
	}
}

// wait waits up to limit for the process to exit and reports whether it has exited.
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

// kill terminates the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Second)
}
