// Package proc runs garnethoist's programs as separate processes on loopback, for the demo and for
// tests. The daemons themselves never use it, as they start no processes.
package proc

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// Process is one started program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File

	// done is closed when the process has exited. err is its exit error and is set before that.
	done chan struct{}
	err  error
}

// startProcess starts binary with args and with env in addition to this process's environment. Its
// output is appended to the file name.log in dir.
func startProcess(dir, name string, env []string, binary string, args ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open log")
	}
	p := &Process{Name: name, cmd: exec.Command(binary, args...), log: log, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if len(env) > 0 {
		p.cmd.Env = append(os.Environ(), env...)
	}
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// Signal sends sig to the process.
func (p *Process) Signal(sig syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(sig), "signal %s", p.Name)
}

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() error {
	if p.Exited() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// Terminate sends SIGTERM to the process and does not wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// Wait waits until the process has exited and returns its exit error, if any.
func (p *Process) Wait() error {
	<-p.done
	return p.err
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Log returns the output of the process so far, or an empty string if it cannot be read.
func (p *Process) Log() string {
	f, err := os.Open(p.log.Name())
	if err != nil {
		return ""
	}
	defer f.Close()
	data, err := io.ReadAll(f)
	if err != nil {
		return ""
	}
	return string(data)
}
