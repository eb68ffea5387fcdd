// Package once runs calls that may not be repeated at most once. A call that
// carries an idempotency key is claimed on the platform before it is sent, and
// its answer is kept there for whoever asks again with the same key.
package once

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/store"
)

// Answer is a kept answer.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// state is how far a claimed call has come.
type state string

const (
	// stateClaimed: the call may have been sent.
	stateClaimed state = "claimed"
	// stateDone: the answer is kept.
	stateDone state = "done"
	// stateReleased: the call certainly did not run; the key is free again.
	stateReleased state = "released"
)

// claim is the record on the platform.
type claim struct {
	// Token is the claiming request's own; it tells whose claim was written
	// when the answer of a write is lost.
	Token    string  `json:"token"`
	Entry    string  `json:"entry"`
	BodyHash string  `json:"body_hash"`
	State    state   `json:"state"`
	UnixMS   int64   `json:"unix_ms"`
	Answer   *Answer `json:"answer,omitempty"`
	// Object names the object that holds a large answer.
	Object string `json:"object,omitempty"`
}

// maxInlineAnswer is the largest answer kept in the table itself; larger ones
// go to the object store.
const maxInlineAnswer = 32 << 10

// Store keeps claims on the platform. It is safe for concurrent use.
type Store struct {
	table   store.Table
	objects store.Objects
	entry   string
	now     func() time.Time
}

// NewStore returns the claims as written by the entry VM called entry.
func NewStore(table store.Table, objects store.Objects, entry string, now func() time.Time) *Store {
	return &Store{table: table, objects: objects, entry: entry, now: now}
}

// Call identifies a call that may not be repeated.
type Call struct {
	Service string
	// Account scopes the key, so that two callers' keys never meet.
	Account string
	Key     string
	// Token is unique to this request.
	Token string
	// BodyHash covers method, path and body.
	BodyHash string
}

// HashBody returns the body hash of a call.
func HashBody(method, uri string, body []byte) string {
	h := sha256.New()
	// Writes to a hash cannot fail.
	_, _ = h.Write([]byte(method + " " + uri + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// prefixClaim starts the keys of claims.
const prefixClaim = "claim/"

// day is a day by an entry's clock. Claims are kept by the day they were made
// on, so that old ones can be found and removed. An entry looks at the days
// before and after its own as well: entries' clocks may differ by up to a day.
type day int64

const secondsPerDay = 24 * 60 * 60

func (s *Store) today() day { return day(s.now().Unix() / secondsPerDay) }

func (d day) prefix(service string) string {
	return fmt.Sprintf("%s%s/%d/", prefixClaim, service, int64(d))
}

func (c Call) key(d day) string {
	sum := sha256.Sum256([]byte(c.Account + "\x00" + c.Key))
	return d.prefix(c.Service) + hex.EncodeToString(sum[:])
}

// Claim is the right to send one call once.
type Claim struct {
	store   *Store
	call    Call
	day     day
	version uint64
}

// slots is what is known of a call's key on the days that count: zero for
// nothing, else the version of a claim that was released.
type slots map[day]uint64

func slotsAround(d day) slots { return slots{d - 1: 0, d: 0, d + 1: 0} }

// Acquire claims the call. It returns a claim when the call may be sent, or
// the kept answer when it ran before. Otherwise the error is an
// *errkind.Error: KeyReused, CallInProgress, OutcomeUnknown or PlatformDown.
// A refusal as not_run is given only when nothing was or will be sent.
func (s *Store) Acquire(ctx context.Context, c Call) (*Claim, *Answer, error) {
	today := s.today()
	known := slotsAround(today)
	for {
		v, err := s.write(ctx, c, today, known, claim{State: stateClaimed})
		if err == nil {
			return &Claim{store: s, call: c, day: today, version: v}, nil, nil
		}
		if errors.Is(err, store.ErrUnavailable) {
			return nil, nil, errkind.Wrap(errkind.PlatformDown, err, "the call cannot be claimed while the platform is down")
		}
		claim, kept, err := s.look(ctx, c, known)
		if claim != nil || kept != nil || err != nil {
			return claim, kept, err
		}
		if ctx.Err() != nil {
			return nil, nil, errkind.Wrap(errkind.PlatformDown, ctx.Err(), "the claim of the call could not be confirmed in time")
		}
		// The write had no effect yet, or met a released claim; it may be
		// tried again on what is known now.
		kernel.Sleep(ctx, retryPause)
	}
}

// look finds out whose claim stands: this request's own, another's, or none.
func (s *Store) look(ctx context.Context, c Call, known slots) (*Claim, *Answer, error) {
	for d := range known {
		rec, held, err := s.read(ctx, c, d)
		switch {
		case errors.Is(err, store.ErrNotFound):
			known[d] = 0
		case err != nil:
			return nil, nil, errkind.Wrap(errkind.PlatformDown, err, "the claim of the call could not be confirmed")
		case held.Token == c.Token:
			return &Claim{store: s, call: c, day: d, version: rec.Version}, nil, nil
		case held.State == stateReleased:
			known[d] = rec.Version
		default:
			a, err := s.settled(ctx, c, held)
			return nil, a, err
		}
	}
	return nil, nil, nil
}

// retryPause is the time between two tries of a claim's write.
const retryPause = 20 * time.Millisecond

// settled answers a call whose key another request has claimed.
func (s *Store) settled(ctx context.Context, c Call, held claim) (*Answer, error) {
	if held.BodyHash != c.BodyHash {
		return nil, errkind.New(errkind.KeyReused, "the idempotency key was used with another body, path or method")
	}
	if held.State != stateDone {
		return nil, errkind.New(errkind.CallInProgress, "an earlier call with this key was claimed by %s and has no answer yet; it may have run", held.Entry)
	}
	if held.Answer != nil {
		return held.Answer, nil
	}
	data, err := s.objects.GetObject(ctx, held.Object)
	if err != nil {
		e := errkind.Wrap(errkind.PlatformDown, err, "the call ran; its kept answer cannot be read now")
		e.Outcome = errkind.Ran
		return nil, e
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		e := errkind.Wrap(errkind.Internal, err, "the call ran; its kept answer is damaged")
		e.Outcome = errkind.Ran
		return nil, e
	}
	return &a, nil
}

func (s *Store) read(ctx context.Context, c Call, d day) (store.Record, claim, error) {
	var held claim
	rec, err := s.table.Get(ctx, c.key(d))
	if err != nil {
		return rec, held, err
	}
	return rec, held, errors.Wrap(json.Unmarshal(rec.Value, &held), "decode claim")
}

// write stores next under the call's key of day d if all known slots are still
// as known.
func (s *Store) write(ctx context.Context, c Call, d day, known slots, next claim) (uint64, error) {
	next.Token, next.Entry, next.BodyHash = c.Token, s.entry, c.BodyHash
	next.UnixMS = s.now().UnixMilli()
	value, err := json.Marshal(next)
	if err != nil {
		return 0, errors.Wrap(err, "encode claim")
	}
	txn := store.Txn{Puts: []store.Put{{Key: c.key(d), Value: value}}}
	for other, version := range known {
		txn.Conds = append(txn.Conds, store.Cond{Key: c.key(other), Version: version})
	}
	return s.table.Commit(ctx, txn)
}

// settle replaces the claim's record.
func (c *Claim) settle(ctx context.Context, next claim) error {
	_, err := c.store.write(ctx, c.call, c.day, slots{c.day: c.version}, next)
	return err
}

// Keep stores the answer of the call. An error means that a caller that asks
// again will be told that the call may have run.
func (c *Claim) Keep(ctx context.Context, a Answer) error {
	next := claim{State: stateDone, Answer: &a}
	if len(a.Body) > maxInlineAnswer {
		data, err := json.Marshal(a)
		if err != nil {
			return errors.Wrap(err, "encode answer")
		}
		name := "answer-" + c.call.Token
		if err := c.store.objects.PutObject(ctx, name, data); err != nil {
			return errors.Wrap(err, "keep large answer")
		}
		next.Answer, next.Object = nil, name
	}
	return errors.Wrap(c.settle(ctx, next), "keep answer")
}

// Release frees the key. It must be called only when the call certainly did
// not run.
func (c *Claim) Release(ctx context.Context) error {
	return errors.Wrap(c.settle(ctx, claim{State: stateReleased}), "release claim")
}
