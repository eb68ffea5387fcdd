// Command garnet-demo demonstrates the product on loopback, with programs and stand-ins as separate
// processes that it stops again. By default it runs garnet-node processes while the mix of requests
// shifts, the configuration changes and VMs are lost. With --own it runs the product's own
// deployment (garnet-entry and garnet-steward), applies a table to it and makes one language
// request and one call that may not be repeated.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/demo"
	"garnethoist.org/garnethoist/internal/proc"
)

// options is the command line.
type options struct {
	Bin string `long:"bin" default:"bin" value-name:"DIR" description:"directory of the programs"`
	Own bool   `long:"own" description:"demonstrate the product's own deployment"`
}

const (
	// demoTimeout bounds the whole demonstration.
	demoTimeout = 50 * time.Second
	// stopGrace is the time that each process has between SIGTERM and SIGKILL.
	stopGrace = 10 * time.Second
	vmCount   = 2
)

// demoTable is the operators' table for the product's own deployment.
const demoTable = `# version 0
service,kind,engines,model,adapters,version,weight,rate_per_s,in_flight,account_rate_per_s,deadline,repeatable,change_cost,fencing,objective
hints,language,kakkanad=3,crossword-8b,,v1,1,0,0,0,20s,yes,1,checked,0.99
renewals,plain,kakkanad=1,,,,1,0,0,0,5s,no,0,checked,0.999
`

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			os.Exit(0)
		}
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintf(os.Stderr, "garnet-demo: %v\n", err)
		os.Exit(1)
	}
	fmt.Println("demo: done")
}

// run runs the demonstration in a temporary directory.
func run(opts options) error {
	dir, err := os.MkdirTemp("", "garnet-demo-")
	if err != nil {
		return errors.Wrap(err, "create directory")
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if !opts.Own {
		return demo.Run(ctx, demo.Config{Bin: opts.Bin, Dir: dir, Out: os.Stdout})
	}
	return runOwn(ctx, opts, dir)
}

// runOwn starts the product's own deployment, demonstrates it and stops it.
func runOwn(ctx context.Context, opts options, dir string) error {
	cluster := proc.NewCluster(dir, opts.Bin, proc.NewPorts())
	defer cluster.StopAll(stopGrace)
	l, err := proc.NewLayout(cluster, proc.Shape{Engines: 3, PlainTargets: 1, VMs: vmCount})
	if err != nil {
		return err
	}
	return demonstrate(ctx, opts, dir, l)
}

// demonstrate waits for the deployment to start, applies the table, makes the requests and prints
// the status.
func demonstrate(ctx context.Context, opts options, dir string, l *proc.Layout) error {
	for _, vm := range l.VMs {
		if err := proc.WaitFor(ctx, "steward", proc.Ready("http://"+string(vm.StewardAdmin)+"/healthz")); err != nil {
			return err
		}
	}
	path := filepath.Join(dir, "table.csv")
	if err := os.WriteFile(path, []byte(demoTable), 0o644); err != nil {
		return errors.Wrap(err, "write table")
	}
	if err := ctl(ctx, opts, l, "table", "apply", path); err != nil {
		return err
	}
	for _, vm := range l.VMs {
		if err := proc.WaitFor(ctx, "entry", proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz")); err != nil {
			return err
		}
	}
	base := "http://" + string(l.VMs[0].Callers) + "/services/"
	chat := `{"messages":[{"role":"user","content":"Hint for 7 across, five letters?"}],"stream":true,"max_tokens":8}`
	if err := call(ctx, base+"hints/v1/chat/completions", chat, "", "[DONE]"); err != nil {
		return errors.Wrap(err, "language request")
	}
	if err := call(ctx, base+"renewals/confirm", `{"subscriber":4711}`, "demo-renewal-1", "done: "); err != nil {
		return errors.Wrap(err, "call that may not be repeated")
	}
	return ctl(ctx, opts, l, "status")
}

// call posts a body, repeatedly until it is served, and prints the answer, which must contain want.
// A call with an idempotency key does not run again when it is repeated.
func call(ctx context.Context, url, body, key, want string) error {
	return proc.WaitFor(ctx, url, func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
		if err != nil {
			return errors.Wrap(err, "build request")
		}
		req.Header.Set("Content-Type", "application/json")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return errors.Wrap(err, "call")
		}
		defer resp.Body.Close()
		data, err := io.ReadAll(resp.Body)
		if err != nil {
			return errors.Wrap(err, "read answer")
		}
		if resp.StatusCode >= http.StatusBadRequest || !strings.Contains(string(data), want) {
			return errors.Errorf("status %d: %s", resp.StatusCode, data)
		}
		fmt.Printf("%s\n%s\n", url, data)
		return nil
	})
}

// ctl runs garnetctl and prints the command line and its output.
func ctl(ctx context.Context, opts options, l *proc.Layout, args ...string) error {
	args = append([]string{"--steward", string(l.VMs[0].StewardGRPC)}, args...)
	cmd := exec.CommandContext(ctx, filepath.Join(opts.Bin, "garnetctl"), args...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	fmt.Println("garnetctl", strings.Join(args, " "))
	return errors.Wrap(cmd.Run(), "garnetctl")
}
