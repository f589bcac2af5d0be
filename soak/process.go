package main

import (
	"fmt"
	"net/netip"
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
	ip      netip.Addr
	domain  string
	program string
	role    string
	dir     string

	// onUnexpectedEnd is called when the process ends although it was not told to.
	onUnexpectedEnd func(p *process, state string)

	mu        sync.Mutex
	command   *exec.Cmd
	done      chan struct{}
	startedAt time.Time
	// ending is true once the process has been told to end.
	ending bool
	// held is true while the process may not be started: its VM is being replaced.
	held bool
}

// start starts the program unless it is running: two steps may terminate the same
// process and both restart it. The output is appended to a log file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held || p.running() {
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
	p.command, p.done, p.ending, p.startedAt = command, done, false, time.Now()
	go func() {
		// The state says how it ended; the cause is in the log.
		_ = command.Wait()
		_ = log.Close()
		p.mu.Lock()
		expected, age := p.ending, time.Since(p.startedAt)
		close(done)
		p.mu.Unlock()
		if !expected {
			p.onUnexpectedEnd(p, fmt.Sprintf("%s after %s", command.ProcessState, age))
		}
	}()
	return nil
}

// loadTime is the time after its start in which a process may not have run any instruction of
// its own, on a busy machine. No program can receive a signal before that.
const loadTime = 100 * time.Millisecond

// reload tells the process that its settings have changed, unless it may still be loading and
// will read them anyway.
func (p *process) reload() {
	p.mu.Lock()
	loading := time.Since(p.startedAt) < loadTime
	p.mu.Unlock()
	if !loading {
		p.signal(syscall.SIGHUP)
	}
}

// hold sets whether the process may not be started.
func (p *process) hold(held bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = held
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

// signal sends a signal to the process if it was started. It returns a channel that is closed
// when that process has exited, nil if none was started.
func (p *process) signal(s os.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.ending = true
	}
	if p.command != nil {
		// The process may have exited.
		_ = p.command.Process.Signal(s)
	}
	return p.done
}

// end sends a signal that ends the process and reports whether that process has exited within a
// limit. Another step may have started the next one meanwhile.
func (p *process) end(s os.Signal, limit time.Duration) bool {
	exited := p.signal(s)
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill terminates the process with SIGKILL.
func (p *process) kill() { p.end(syscall.SIGKILL, time.Second) }
