// Package fleet starts a whole deployment as separate processes on the loopback
// range, for the demo, for failure tests and for measurements: the stand-ins for
// the outside systems, balancers and agents. It can stop, kill, freeze and
// resume each of them.
package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"bergamotbank/errkind"
)

// killDelay is how long Stop waits for a planned stop before it kills.
const killDelay = 20 * time.Second

// Process is one started process. Its output goes to a log file.
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

// startProcess starts program with arguments and logs to a file in directory.
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

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Wait returns the error with which the process ended, nil for exit code 0.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal; a process that has ended is left alone.
func (p *Process) Signal(signal syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(signal)
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze stops the process from running until Resume.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Resume lets a frozen process run again.
func (p *Process) Resume() {
	p.Signal(syscall.SIGCONT)
}

// Stop asks for a planned stop and waits for the end of the process. It kills a
// process that does not end in time and reports that as an error.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return nil
	case <-time.After(killDelay):
		p.Kill()
		return errkind.New(errkind.Internal, "%s did not end within %s of SIGTERM", p.Name, killDelay)
	}
}
