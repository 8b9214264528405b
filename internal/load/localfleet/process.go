package localfleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Process is one process of a fleet. It can be started again after it has ended.
type Process struct {
	Name    string
	Address string
	// Kind is "engine" or "service" for an upstream, and empty otherwise.
	Kind string

	path    string
	args    []string
	logPath string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// LogPath returns the path of the file with the output of the process.
func (p *Process) LogPath() string { return p.logPath }

// logTailBytes is how much of a log an error message contains.
const logTailBytes = 2000

// logTail returns the end of the log, or the error of reading it.
func (p *Process) logTail() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailBytes):])
}

// start starts the program and appends its output to the log.
func (p *Process) start() error {
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w; build the program first", filepath.Base(p.path), err)
	}
	done := make(chan struct{})
	p.done = done
	go func() {
		p.err = p.cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends s to the process. Errors are ignored: the process may have ended.
func (p *Process) Signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive reports whether the process is running.
func (p *Process) Alive() bool {
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

// Err returns the exit error of a process that has ended, or nil if it exited
// with status 0.
func (p *Process) Err() error { return p.err }

// wait waits until the process has ended and returns its exit error. After
// timeout it kills the process and returns an error.
func (p *Process) wait(clock timer.Service, timeout time.Duration) error {
	if p.done == nil {
		return nil
	}
	if timer.Wait(clock, timeout, p.done) {
		p.Signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("%s did not stop within %v", p.Name, timeout)
	}
	return p.err
}
