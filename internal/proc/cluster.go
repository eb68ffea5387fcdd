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

// Cluster is a set of processes on loopback.
type Cluster struct {
	// Dir holds settings and logs.
	Dir string
	// Bin holds the programs.
	Bin string
	// Env returns further environment of the process called name; nil for
	// none.
	Env func(name string) []string

	ports *Ports

	mu        sync.Mutex
	processes []*Process
}

// NewCluster returns an empty cluster that runs the programs in bin at
// addresses from ports.
func NewCluster(dir, bin string, ports *Ports) *Cluster {
	return &Cluster{Dir: dir, Bin: bin, ports: ports}
}

// Run starts a program with a settings file made of cfg.
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

// Rerun starts a program with the settings file of an earlier Run.
func (c *Cluster) Rerun(program, name string) (*Process, error) {
	path := filepath.Join(c.Dir, name+".json")
	return c.Exec(name, filepath.Join(c.Bin, program), "--settings", path)
}

// Exec starts any program of the project as part of the cluster.
func (c *Cluster) Exec(name, binary string, args ...string) (*Process, error) {
	var env []string
	if c.Env != nil {
		env = c.Env(name)
	}
	p, err := start(c.Dir, name, env, binary, args...)
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

// StopAll stops every process, newest first: those that do not end within
// grace are killed.
func (c *Cluster) StopAll(grace time.Duration) {
	c.mu.Lock()
	processes := append([]*Process(nil), c.processes...)
	c.mu.Unlock()
	for i := len(processes) - 1; i >= 0; i-- {
		stop(processes[i], grace)
	}
}

func stop(p *Process, grace time.Duration) {
	if p.Exited() || p.Terminate() != nil {
		return
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
		// It is about to be gone either way.
		_ = p.Kill()
	}
}

// Until calls ok again and again until it returns nil or ctx ends.
func Until(ctx context.Context, what string, ok func(context.Context) error) error {
	const pause = 20 * time.Millisecond
	for {
		err := ok(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(err, "waited for %s", what)
		case <-time.After(pause):
		}
	}
}

// Ready returns a check that url answers 200.
func Ready(url string) func(context.Context) error {
	return func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "ask")
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%s answered %d", url, resp.StatusCode)
		}
		return nil
	}
}
