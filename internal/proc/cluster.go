package proc

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/settings"
)

// Cluster is a set of processes on loopback. It is safe for concurrent use.
type Cluster struct {
	// Dir is the directory for settings and logs.
	Dir string
	// Bin is the directory of the programs.
	Bin string
	// Env, if not nil, returns additional environment variables for the process called name.
	Env func(name string) []string

	ports *Ports

	mu        sync.Mutex
	processes []*Process
}

// NewCluster returns an empty cluster that runs the programs in bin, at addresses taken from ports.
func NewCluster(dir, bin string, ports *Ports) *Cluster {
	return &Cluster{Dir: dir, Bin: bin, ports: ports}
}

// Run writes cfg as the settings file of the process called name and starts the program, a file
// name in Bin, with it.
func (c *Cluster) Run(program, name string, cfg any) (*Process, error) {
	if err := c.Write(name, cfg); err != nil {
		return nil, err
	}
	return c.Rerun(program, name)
}

// Write writes the settings file of the process called name.
func (c *Cluster) Write(name string, cfg any) error {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(c.Dir, name+".json"), data, 0o644), "write settings")
}

// Rerun starts a program with the settings file that an earlier Run or Write wrote for the process
// called name.
func (c *Cluster) Rerun(program, name string) (*Process, error) {
	path := filepath.Join(c.Dir, name+".json")
	return c.Exec(name, filepath.Join(c.Bin, program), "--settings", path)
}

// Exec starts any binary as the process called name of the cluster.
func (c *Cluster) Exec(name, binary string, args ...string) (*Process, error) {
	var env []string
	if c.Env != nil {
		env = c.Env(name)
	}
	p, err := startProcess(c.Dir, name, env, binary, args...)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	return p, nil
}

// Addrs returns n addresses on which nothing listens.
func (c *Cluster) Addrs(n int) ([]settings.Addr, error) { return c.ports.Take(n) }

// StopAll stops every process, the newest first. It kills those that do not exit within grace.
func (c *Cluster) StopAll(grace time.Duration) {
	c.mu.Lock()
	processes := append([]*Process(nil), c.processes...)
	c.mu.Unlock()
	for i := len(processes) - 1; i >= 0; i-- {
		stopProcess(processes[i], grace)
	}
}

// stopProcess sends SIGTERM to p, and SIGKILL if it does not exit within grace.
func stopProcess(p *Process, grace time.Duration) {
	if p.Exited() || p.Terminate() != nil {
		return
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		// An error means that the process has exited meanwhile.
		_ = p.Kill()
	}
}

// WaitFor calls ok repeatedly until it returns nil or ctx ends. The error says what was awaited and
// wraps the last error of ok.
func WaitFor(ctx context.Context, what string, ok func(context.Context) error) error {
	const pause = 20 * time.Millisecond
	for {
		err := ok(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "waiting for %s", what)
		case <-time.After(pause):
		}
	}
}

// Ready returns a function for WaitFor that returns an error unless a GET of url gets a response
// with status 200.
func Ready(url string) func(context.Context) error {
	return func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "request")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %d", url, resp.StatusCode)
		}
		return nil
	}
}
