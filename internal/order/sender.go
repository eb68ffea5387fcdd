package order

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/lease"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/table"
	"garnethoist.org/garnethoist/internal/target"
)

// ErrTooEarly is returned for an engine that ignores fencing numbers while an
// earlier order may still reach it. The caller may try again later.
var ErrTooEarly = errors.New("order: an earlier order may still arrive")

// ErrFenceBehind is returned if the engine's last order, issued for another
// service, has a higher fencing number. It takes a new tenure to get a higher one.
var ErrFenceBehind = errors.New("order: fencing number of this tenure is below the engine's")

// ErrUnfinished is returned if the engine's order in the journal must be completed
// first.
var ErrUnfinished = errors.New("order: an earlier order is not completed")

// Lease is the lease under which a sender issues orders.
type Lease interface {
	// Held returns the current tenure, or false once it may have lapsed.
	Held() (lease.Tenure, bool)
}

// Engines reads the status of engines and sends orders to them.
type Engines interface {
	// Status returns the status of the engine at the address.
	Status(ctx context.Context, address string) (target.Status, error)
	// Order sends o unless stillHeld, called right before the write, returns
	// false.
	Order(ctx context.Context, address string, o target.Order, stillHeld func() bool) error
}

// Sender issues the orders of one service in one data centre. It must be used by
// only one goroutine.
type Sender struct {
	journal *Journal
	lease   Lease
	engines Engines
	clock   lease.Clock
	// readTimeout is the engines' timeout for reading a request, after which an
	// order that is still in transit can no longer arrive.
	readTimeout time.Duration

	// loadedFence is the fencing number of the tenure in which entries was
	// loaded.
	loadedFence uint64
	// entries is the journal by engine, or nil if it must be loaded.
	entries map[string]Entry
	// issued counts the fencing numbers used in this tenure.
	issued uint64
	// sentAt is the time of the last order sent to each engine.
	sentAt map[string]time.Duration
}

// fenceSequenceBits is the number of low bits of an order's fencing number that
// count the orders within one tenure; the others are the tenure's number.
const fenceSequenceBits = 20

// nextFence returns the fencing number of a new order. It is above all earlier
// ones, also those of this tenure, so that an engine that checks it refuses a
// delayed order once a newer one has arrived.
func (s *Sender) nextFence(t lease.Tenure) uint64 {
	s.issued++
	return t.Fence<<fenceSequenceBits | s.issued
}

// tenureFence returns the fencing number of the tenure that issued an order.
func tenureFence(o target.Order) uint64 { return o.Fence >> fenceSequenceBits }

// NewSender returns a sender that issues orders while l is held. readTimeout is
// the engines' timeout for reading a request.
func NewSender(j *Journal, l Lease, engines Engines, clock lease.Clock, readTimeout time.Duration) *Sender {
	return &Sender{journal: j, lease: l, engines: engines, clock: clock, readTimeout: readTimeout, sentAt: map[string]time.Duration{}}
}

// Begin loads the journal if that has not been done in the current tenure, and
// returns the tenure. The error is lease.ErrNotHeld if there is no tenure.
func (s *Sender) Begin(ctx context.Context) (lease.Tenure, error) {
	t, ok := s.lease.Held()
	if !ok {
		return t, lease.ErrNotHeld
	}
	if s.entries != nil && s.loadedFence == t.Fence {
		return t, nil
	}
	entries, err := s.journal.Load(ctx)
	if err != nil {
		return t, err
	}
	if s.loadedFence != t.Fence {
		s.issued = 0
	}
	s.entries, s.loadedFence = entries, t.Fence
	return t, nil
}

// Unfinished returns the engines whose order in the journal is not done.
func (s *Sender) Unfinished() []string {
	var out []string
	for name, e := range s.entries {
		if !e.Done {
			out = append(out, name)
		}
	}
	return out
}

// Settled reports whether the engine has no unfinished order, by the journal as
// this sender last loaded or wrote it. It is false if that is not known.
func (s *Sender) Settled(engine string) bool {
	return s.entries != nil && (s.entries[engine].Engine == "" || s.entries[engine].Done)
}

// LastWant returns what the last order in the journal told the engine, and whether
// there is one.
func (s *Sender) LastWant(engine string) (target.DesiredState, bool) {
	e, ok := s.entries[engine]
	return e.Order.Want, ok
}

// Complete takes an unfinished order one step further: it sends the order again
// if the engine's status does not show it, and marks it done once the engine has
// finished the change. An order sent again keeps its id and content, but gets a
// fencing number of this tenure. Complete reports whether the order is done.
func (s *Sender) Complete(ctx context.Context, engine, address string) (bool, error) {
	t, err := s.Begin(ctx)
	if err != nil {
		return false, err
	}
	e, ok := s.entries[engine]
	if !ok || e.Done {
		return true, nil
	}
	status, err := s.engines.Status(ctx, address)
	if err != nil {
		return false, errors.Wrapf(err, "read status of %s", engine)
	}
	if status.LastOrder != e.Order.ID {
		return false, s.resend(ctx, t, e, address)
	}
	if status.Changing {
		return false, nil
	}
	e.Done = true
	return true, s.write(ctx, t, e)
}

// resend sends the order of e again, with a fencing number of the tenure t.
func (s *Sender) resend(ctx context.Context, t lease.Tenure, e Entry, address string) error {
	if tenureFence(e.Order) != t.Fence {
		e.Order.Fence = s.nextFence(t)
		if err := s.write(ctx, t, e); err != nil {
			return err
		}
	}
	return s.send(ctx, t, e, address)
}

// Issue writes a new order to the journal and sends it. The engine must be
// drained. The error is ErrUnfinished, ErrFenceBehind, or, for an engine that
// ignores fencing numbers, ErrTooEarly while an earlier order can still arrive.
func (s *Sender) Issue(ctx context.Context, engine, address string, fencing table.Fencing, want target.DesiredState) error {
	t, err := s.Begin(ctx)
	if err != nil {
		return err
	}
	e := s.entries[engine]
	if e.Engine != "" && !e.Done {
		return ErrUnfinished
	}
	if tenureFence(e.Order) > t.Fence {
		return ErrFenceBehind
	}
	if fencing == table.FencingIgnored && s.mayStillArrive(t, engine) {
		return ErrTooEarly
	}
	next := Entry{Engine: engine, Version: e.Version, Order: target.Order{
		ID: orderID(t, engine, e.Version), Fence: s.nextFence(t), Want: want,
	}}
	if err := s.write(ctx, t, next); err != nil {
		return err
	}
	return s.send(ctx, t, next, address)
}

// mayStillArrive reports whether an order sent earlier, by the previous holder or
// by this sender, can still reach the engine.
func (s *Sender) mayStillArrive(t lease.Tenure, engine string) bool {
	now := s.clock()
	at, sent := s.sentAt[engine]
	return now-t.Since < s.readTimeout || (sent && now-at < s.readTimeout)
}

// orderID returns the id of a new order. It is the same when a write with an
// unknown outcome is repeated on the same row version, so that one order cannot
// appear in the journal as two.
func orderID(t lease.Tenure, engine string, version uint64) string {
	return fmt.Sprintf("%s-%d-%d", engine, t.Fence, version)
}

// write writes e to the journal and updates the loaded entries.
func (s *Sender) write(ctx context.Context, t lease.Tenure, e Entry) error {
	written, err := s.journal.Write(ctx, t, e)
	if err != nil {
		// The state of the journal is not known; Begin must load it again.
		s.entries = nil
		return err
	}
	s.entries[e.Engine] = written
	return nil
}

// send sends the order of e while the tenure t lasts.
func (s *Sender) send(ctx context.Context, t lease.Tenure, e Entry, address string) error {
	o := e.Order
	s.sentAt[e.Engine] = s.clock()
	stillHeld := func() bool {
		now, ok := s.lease.Held()
		return ok && now.Fence == t.Fence
	}
	return errors.Wrapf(s.engines.Order(ctx, address, o, stillHeld), "send order %s", o.ID)
}

var _ Engines = (*target.Client)(nil)

// IsConflict reports whether err shows that another holder has taken over.
func IsConflict(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, target.ErrFenced)
}
