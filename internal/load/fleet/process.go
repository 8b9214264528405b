package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/egretbend/egretbend/internal/kernel/timer"
)

// Process is one process of a fleet.
type Process struct {
	Name    string
	Address string
	// Kind is engine or service for an upstream, or empty.
	Kind string

	path string
	args []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Log returns the path of what the process printed.
func (p *Process) Log() string { return p.log }

// tailBytes is how much of a log an error shows.
const tailBytes = 2000

// tail returns the end of what the process printed.
func (p *Process) tail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailBytes):])
}

func (p *Process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("%s: %w; build it first", filepath.Base(p.path), err)
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

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive reports whether the process runs.
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

// Err returns the error of a process that has ended.
func (p *Process) Err() error { return p.err }

// wait waits for the end of the process and kills it after most. It reports
// whether it ended by itself without an error.
func (p *Process) wait(clock timer.Service, most time.Duration) error {
	if p.done == nil {
		return nil
	}
	if timer.Wait(clock, most, p.done) {
		p.Signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("%s did not stop within %v", p.Name, most)
	}
	return p.err
}
