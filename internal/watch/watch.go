// Package watch follows tables of the store: it lists a table once and then
// takes in its changes through one waiting call. While the store is away the
// last state stays in force.
package watch

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

const (
	// changesWait is how long one call waits for changes. A call on a dead
	// connection is given up a call's timeout later, so this bounds how long
	// a healed cut can go unnoticed.
	changesWait = 2 * time.Second
	// Waits between calls that fail; a process that has just lost the store
	// asks soon, one that waits for long asks seldom.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// Apply takes in rows. full says that rows is the whole table, else its
// changes. sinceRegained is the time since the store came back, or a very long
// time where it was not away.
type Apply func(rows store.Rows, full bool)

// Table follows one table.
type Table struct {
	kernel.Background
	feed  store.Feed
	name  string
	apply Apply
	log   *telemetry.Logger
	link  *Link

	// revision is the newest one taken in.
	revision uint64
	listed   bool
}

// NewTable returns a follower of the table called name. link is shared by all
// followers of one store.
func NewTable(feed store.Feed, name string, link *Link, apply Apply, log *telemetry.Logger) *Table {
	return &Table{feed: feed, name: name, apply: apply, log: log, link: link}
}

// Start begins to follow.
func (t *Table) Start(context.Context) error {
	t.Run(t.follow)
	return nil
}

func (t *Table) follow(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstBackoff, maxBackoff
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			wait.Reset()
			t.link.up(t.name)
			continue
		}
		t.link.down(t.name, err)
		kernel.Sleep(ctx, wait.NextBackOff())
	}
}

// errStale: a read returned a state older than one known already.
var errStale = errors.New("watch: the store's answer is older than what is known")

func (t *Table) step(ctx context.Context) error {
	if !t.listed {
		return t.list(ctx)
	}
	rows, err := t.feed.Changes(ctx, t.name, t.revision, changesWait)
	if errors.Is(err, store.ErrHistoryGone) {
		t.log.Warn(telemetry.EventHistoryGone, telemetry.F("table", t.name), telemetry.F("revision", t.revision))
		t.listed = false
		return t.list(ctx)
	}
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	t.revision = rows.Revision
	if len(rows.Rows) > 0 {
		t.apply(rows, false)
	}
	return nil
}

func (t *Table) list(ctx context.Context) error {
	rows, err := t.feed.ListRows(ctx, t.name)
	if err != nil {
		return err
	}
	if rows.Revision < t.revision {
		return errStale
	}
	t.listed, t.revision = true, rows.Revision
	t.apply(rows, true)
	return nil
}
