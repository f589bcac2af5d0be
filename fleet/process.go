// Package fleet starts a complete deployment as separate processes on loopback
// addresses: simulated external systems, balancers and agents. It can stop, kill,
// freeze and resume each process. It is used by the demo, failure tests and
// measurements.
package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"bergamotbank/errkind"
)

// stopTimeout is how long Stop waits for a graceful shutdown before it kills the
// process.
const stopTimeout = 20 * time.Second

// Process is a started process. Its output is written to a log file.
type Process struct {
	// Name is the name of the process in the fleet.
	Name string
	// LogPath is the file with the standard output and error of the process.
	LogPath string

	command *exec.Cmd
	log     *os.File
	done    chan struct{}
	err     error
}

// startProcess starts a program whose output is written to a file in directory.
func startProcess(directory, name, program string, arguments ...string) (*Process, error) {
	path := filepath.Join(directory, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "log of %s", name)
	}
	command := exec.Command(program, arguments...)
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, errkind.Wrap(err, errkind.Internal, "start %s", name)
	}
	p := &Process{Name: name, LogPath: path, command: command, log: log, done: make(chan struct{})}
	go p.reap()
	return p, nil
}

func (p *Process) reap() {
	p.err = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait waits for the process to exit and returns nil for exit code 0, an error
// otherwise.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process unless it has exited.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(signal)
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() {
	p.Signal(syscall.SIGCONT)
}

// Stop requests a graceful shutdown with SIGTERM and waits for the process to exit.
// It kills a process that does not exit in time and returns an error.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(stopTimeout):
		p.Kill()
		return errkind.New(errkind.Internal, "%s did not exit within %s of SIGTERM", p.Name, stopTimeout)
	}
}
