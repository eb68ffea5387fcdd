// Package daemon contains what the garnethoist daemons have in common: the command line, the check
// of the settings, and running until a signal arrives.
package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/settings"
)

// Version is the release that --version prints.
const Version = "0.1.0"

// The exit codes of all programs.
const (
	ExitOK = 0
	// ExitFailed: the program failed to do what it was asked to do.
	ExitFailed = 1
	// ExitUsage: the command line or the settings are invalid, and nothing was started.
	ExitUsage = 2
)

// startTimeout bounds the start of all modules together.
const startTimeout = 15 * time.Second

// Options is the command line of a daemon.
type Options struct {
	Settings string `long:"settings" value-name:"FILE" description:"settings file in JSON with comments"`
	Check    bool   `long:"check" description:"check the settings and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// Daemon describes a daemon program.
type Daemon struct {
	Name string
	// Read reads the settings file at path. It returns settings.Problems if the settings are
	// invalid.
	Read func(path string) error
	// Register registers the daemon's modules with k. The modules log to logs. It is called after
	// Read.
	Register func(k *kernel.Kernel, logs io.Writer)
	// Roots holds the names of the modules to start; their dependencies are started with them.
	Roots []string
	// StopTimeout returns the time that all modules together have to stop. It is called after Read.
	StopTimeout func() time.Duration
}

// Main runs the daemon until it receives SIGTERM or SIGINT and returns its exit code.
func (d Daemon) Main(args []string, stdout, stderr io.Writer) int {
	// Programs that reload their settings install a SIGHUP handler of their own. This one only
	// keeps the signal from ending the process before that.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var opts Options
	if code, done := Parse(d.Name, &opts, args, stdout, stderr); done {
		return code
	}
	if opts.Version {
		fmt.Fprintf(stdout, "%s %s\n", d.Name, Version)
		return ExitOK
	}
	if opts.Settings == "" {
		fmt.Fprintf(stderr, "%s: --settings FILE is required\n", d.Name)
		return ExitUsage
	}
	if err := d.Read(opts.Settings); err != nil {
		PrintProblems(stderr, opts.Settings, err)
		return ExitUsage
	}
	if opts.Check {
		fmt.Fprintf(stdout, "%s: ok\n", opts.Settings)
		return ExitOK
	}
	if err := d.run(stdout); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", d.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// Parse reads the command line into opts, a pointer to a struct with go-flags tags. done is true if
// the program must exit with code, after --help or an invalid command line.
func Parse(name string, opts any, args []string, stdout, stderr io.Writer) (code int, done bool) {
	p := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Options", "", opts); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailed, true
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return ExitOK, true
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage, true
	case len(rest) > 0:
		fmt.Fprintf(stderr, "%s: unexpected argument %q\n", name, rest[0])
		return ExitUsage, true
	}
	return ExitOK, false
}

// PrintProblems prints err, which came from reading a settings file: one line per problem if it is
// settings.Problems.
func PrintProblems(w io.Writer, file string, err error) {
	var ps settings.Problems
	if !errors.As(err, &ps) {
		fmt.Fprintf(w, "%s: %v\n", file, err)
		return
	}
	for _, p := range ps {
		fmt.Fprintf(w, "%s: %s\n", file, p)
	}
}

// run starts the modules and stops them after SIGTERM or SIGINT.
func (d Daemon) run(logs io.Writer) error {
	gin.SetMode(gin.ReleaseMode)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	k := kernel.New()
	d.Register(k, logs)
	app, err := k.App(kernel.Timeouts{Start: startTimeout, Stop: d.StopTimeout()}, d.Roots...)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-signals
	ctx, cancelStop := context.WithTimeout(context.Background(), app.StopTimeout())
	defer cancelStop()
	return app.Stop(ctx)
}
