// Package ctl is the operators' command line. It shows and edits the operators' table, which
// describes each service in a row, and shows the status, decisions and burn rates (package burn),
// through any steward.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/table"
)

// options are the options that all commands share.
type options struct {
	Steward string        `long:"steward" value-name:"ADDRESS" default:"127.0.0.1:7100" description:"address of any steward"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"time limit of the whole command"`
	Version bool          `long:"version" description:"print the version and exit"`
}

// exitConflict is the exit code when an edit conflicts with another one.
const exitConflict = 3

// exitError is an error that sets the exit code of the program.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the underlying error.
func (e *exitError) Error() string { return e.err.Error() }

// app is one invocation of garnetctl.
type app struct {
	opts   options
	stdout io.Writer
}

// Main runs garnetctl and returns its exit code: 0 for success, 1 for a failure, 2 for an invalid
// command line or table file, 3 if the edit conflicts with another one.
func Main(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout}
	p := flags.NewNamedParser("garnetctl", flags.HelpFlag|flags.PassDoubleDash)
	p.SubcommandsOptional = true
	if err := a.addCommands(p); err != nil {
		fmt.Fprintf(stderr, "garnetctl: %v\n", err)
		return daemon.ExitFailed
	}
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	var ee *exitError
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, fe.Message)
		return daemon.ExitOK
	case errors.As(err, &fe):
		fmt.Fprintf(stderr, "garnetctl: %v\n", err)
		return daemon.ExitUsage
	case errors.As(err, &ee):
		fmt.Fprintf(stderr, "garnetctl: %v\n", err)
		return ee.code
	case err != nil:
		fmt.Fprintf(stderr, "garnetctl: %v\n", err)
		return daemon.ExitFailed
	case a.opts.Version:
		fmt.Fprintf(stdout, "garnetctl %s\n", daemon.Version)
		return daemon.ExitOK
	case p.Active == nil:
		fmt.Fprintf(stderr, "garnetctl: a command is required; see --help\n")
		return daemon.ExitUsage
	case len(rest) > 0:
		fmt.Fprintf(stderr, "garnetctl: unexpected argument %q\n", rest[0])
		return daemon.ExitUsage
	}
	return daemon.ExitOK
}

// addCommands registers the options and commands of garnetctl.
func (a *app) addCommands(p *flags.Parser) error {
	if _, err := p.AddGroup("Options", "", &a.opts); err != nil {
		return err
	}
	t, err := p.AddCommand("table", "the operators' table",
		"Reads, compares and applies the operators' table.", &struct{}{})
	if err != nil {
		return err
	}
	tableCommands := []struct {
		name, short string
		data        any
	}{
		{"get", "write the table as CSV", &getCommand{app: a}},
		{"check", "check an edited file without a steward", &checkCommand{app: a}},
		{"diff", "show what an edited file would change", &diffCommand{app: a}},
		{"apply", "apply an edited file", &applyCommand{app: a}},
		{"history", "show who changed what", &historyCommand{app: a}},
	}
	for _, c := range tableCommands {
		if _, err := t.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			return err
		}
	}
	commands := []struct {
		name, short string
		data        any
	}{
		{"status", "show VMs, targets and leases", &statusCommand{app: a}},
		{"explain", "show the latest decisions on a service", &explainCommand{app: a}},
		{"burn", "show how fast services spend their error budgets", &burnCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.data); err != nil {
			return err
		}
	}
	return nil
}

// withSteward calls f with a client for the steward at address, within the time limit of the
// command.
func (a *app) withSteward(address string, f func(context.Context, api.StewardClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.opts.Timeout)
	defer cancel()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errors.Wrap(err, "dial steward")
	}
	defer conn.Close()
	return f(ctx, api.NewStewardClient(conn))
}

// fetchTable fetches the operators' table from the steward in the options.
func (a *app) fetchTable() (table.Table, error) {
	var t table.Table
	err := a.withSteward(a.opts.Steward, func(ctx context.Context, c api.StewardClient) error {
		resp, err := c.TableGet(ctx, &api.TableGetRequest{})
		if err != nil {
			return errors.Wrap(err, "get table")
		}
		return errors.Wrap(json.Unmarshal(resp.GetTableJson(), &t), "decode table")
	})
	return t, err
}

// readTable reads the operators' table from a CSV file. Its errors are exitErrors with the code for
// invalid input.
func readTable(path string) (table.Table, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return table.Table{}, &exitError{daemon.ExitUsage, errors.Wrap(err, "read table")}
	}
	t, err := table.DecodeCSV(data)
	if err != nil {
		return table.Table{}, &exitError{daemon.ExitUsage, errors.Wrapf(err, "%s", path)}
	}
	return t, nil
}

// loginName returns the operator's login name, for the table's history, or "unknown".
func loginName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}
