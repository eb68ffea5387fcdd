package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/api"
	"garnethoist.org/garnethoist/internal/daemon"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/table"
)

// getCommand writes the table as CSV.
type getCommand struct {
	app *app
	Out string `long:"out" value-name:"FILE" description:"write to FILE instead of standard output"`
}

// Execute implements flags.Commander.
func (c *getCommand) Execute([]string) error {
	t, err := c.app.fetchTable()
	if err != nil {
		return err
	}
	data := table.EncodeCSV(t)
	if c.Out != "" {
		return errors.Wrap(os.WriteFile(c.Out, data, 0o644), "write table")
	}
	_, err = c.app.stdout.Write(data)
	return errors.Wrap(err, "write table")
}

// fileArg is the argument of commands that take an edited table.
type fileArg struct {
	File string `positional-arg-name:"FILE" description:"edited CSV file"`
}

// checkCommand checks a file without a steward. It cannot detect conflicts with edits that others
// have applied meanwhile; diff and apply do.
type checkCommand struct {
	app  *app
	Args fileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	t, err := readTable(c.Args.File)
	if err != nil {
		return err
	}
	for _, r := range t.Rows {
		fmt.Fprintf(c.app.stdout, "row %s: ok\n", r.Service)
	}
	fmt.Fprintf(c.app.stdout, "%s: ok, taken from version %d\n", c.Args.File, t.Version)
	return nil
}

// diffCommand shows what an edited file would change in the steward's table.
type diffCommand struct {
	app  *app
	Args fileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	edited, err := readTable(c.Args.File)
	if err != nil {
		return err
	}
	current, err := c.app.fetchTable()
	if err != nil {
		return err
	}
	if edited.Version != current.Version {
		fmt.Fprintf(c.app.stdout, "the file was taken from version %d; the table is at %d\n", edited.Version, current.Version)
	}
	c.app.printChanges(table.Diff(current, edited))
	return nil
}

// printChanges prints one line for each added or removed row and for each changed cell.
func (a *app) printChanges(changes []table.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(a.stdout, "no changes")
	}
	for _, ch := range changes {
		switch {
		case ch.Before == nil:
			fmt.Fprintf(a.stdout, "row %s: added\n", ch.Service)
		case ch.After == nil:
			fmt.Fprintf(a.stdout, "row %s: removed\n", ch.Service)
		}
		if ch.After == nil {
			continue
		}
		for _, cell := range ch.Cells() {
			fmt.Fprintf(a.stdout, "row %s: %s: %q -> %q\n", ch.Service, cell.Column, cell.Before,
				cell.After)
		}
	}
}

// applyCommand applies an edited file. The token identifies the edit, so that an apply whose
// response was lost can be repeated.
type applyCommand struct {
	app   *app
	Who   string  `long:"who" value-name:"NAME" description:"name for the history; default: login name"`
	Token string  `long:"token" value-name:"TOKEN" description:"token of an earlier apply whose response was lost"`
	Args  fileArg `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	edited, err := readTable(c.Args.File)
	if err != nil {
		return err
	}
	data, err := json.Marshal(edited)
	if err != nil {
		return errors.Wrap(err, "encode table")
	}
	req := &api.TableApplyRequest{Token: c.Token, Who: c.Who, Base: edited.Version, TableJson: data}
	if req.Token == "" {
		req.Token = rand.Text()
	}
	if req.Who == "" {
		req.Who = loginName()
	}
	return c.app.withSteward(c.app.opts.Steward, func(ctx context.Context, s api.StewardClient) error {
		resp, err := s.TableApply(ctx, req)
		if err != nil {
			return errors.Wrapf(err, "the edit may or may not be in force; apply it again with --token %s", req.GetToken())
		}
		return c.report(req, resp)
	})
}

// report prints the result of an apply, or returns it as an error with its exit code.
func (c *applyCommand) report(req *api.TableApplyRequest, resp *api.TableApplyResponse) error {
	switch errkind.Kind(resp.GetKind()) {
	case "":
		fmt.Fprintf(c.app.stdout, "the table is at version %d\n", resp.GetVersion())
		return nil
	case errkind.TableConflict:
		return &exitError{exitConflict, errors.Errorf("nothing was applied: %s", resp.GetMessage())}
	case errkind.TableInvalid:
		return &exitError{daemon.ExitUsage, errors.Errorf("nothing was applied: %s", resp.GetMessage())}
	case errkind.OutcomeUnknown:
		return errors.Errorf("%s; apply it again with --token %s", resp.GetMessage(), req.GetToken())
	}
	return errors.Errorf("nothing was applied: %s", resp.GetMessage())
}

// historyCommand shows the latest edits, with who made them and what they changed.
type historyCommand struct {
	app   *app
	Limit uint32 `long:"limit" default:"20" description:"maximum number of edits to show"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	return c.app.withSteward(c.app.opts.Steward, func(ctx context.Context, s api.StewardClient) error {
		resp, err := s.TableHistory(ctx, &api.TableHistoryRequest{Limit: c.Limit})
		if err != nil {
			return errors.Wrap(err, "read history")
		}
		for _, e := range resp.GetEntries() {
			fmt.Fprintf(c.app.stdout, "version %d by %s at %s\n", e.GetVersion(), e.GetWho(),
				time.UnixMilli(e.GetUnixMs()).UTC().Format(time.RFC3339))
			var changes []table.Change
			if err := json.Unmarshal(e.GetChangesJson(), &changes); err != nil {
				return errors.Wrap(err, "decode history")
			}
			c.app.printChanges(changes)
		}
		return nil
	})
}
