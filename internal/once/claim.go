// Package once runs calls that must not be repeated at most once. A call with an
// idempotency key is claimed on the platform before it is sent, and its answer is
// stored there for repeated calls with the same key.
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

// Answer is the stored answer of a call.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// state is the state of a claimed call.
type state string

const (
	// stateClaimed means that the call may have been sent.
	stateClaimed state = "claimed"
	// stateDone means that the call's answer is stored.
	stateDone state = "done"
	// stateReleased means that the call certainly did not run, and that the key
	// may be claimed again.
	stateReleased state = "released"
)

// claim is the record of a claimed call on the platform.
type claim struct {
	// Token is the Call.Token of the request that claimed the key. It shows
	// whose claim was written if the answer of a write is lost.
	Token    string  `json:"token"`
	Entry    string  `json:"entry"`
	BodyHash string  `json:"body_hash"`
	State    state   `json:"state"`
	UnixMS   int64   `json:"unix_ms"`
	Answer   *Answer `json:"answer,omitempty"`
	// Object names the object that holds a large answer.
	Object string `json:"object,omitempty"`
}

// maxInlineAnswer is the size in bytes of the largest body that is stored in the
// claim's record itself. Larger answers are stored as objects.
const maxInlineAnswer = 32 << 10

// Store stores claims on the platform. It is safe for concurrent use.
type Store struct {
	table   store.Table
	objects store.Objects
	entry   string
	now     func() time.Time
}

// NewStore returns a store for the claims of the entry VM named entry.
func NewStore(table store.Table, objects store.Objects, entry string, now func() time.Time) *Store {
	return &Store{table: table, objects: objects, entry: entry, now: now}
}

// Call identifies a call that must not be repeated.
type Call struct {
	Service string
	// Account is the scope of the key, so that equal keys of two client accounts
	// do not conflict.
	Account string
	// Key is the idempotency key.
	Key string
	// Token is unique to this request.
	Token string
	// BodyHash is the hash of method, URI and body that HashBody returns.
	BodyHash string
}

// HashBody returns the SHA-256 of method, URI and body of a call, in hexadecimal.
func HashBody(method, uri string, body []byte) string {
	h := sha256.New()
	// Writes to a hash cannot fail.
	_, _ = h.Write([]byte(method + " " + uri + "\x00"))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// keyPrefix starts the keys of claims.
const keyPrefix = "claim/"

// day is a day by an entry's clock, in days since the Unix epoch. The keys of
// claims contain the day on which they were made, so that old claims can be found
// and removed. As the clocks of two entries may differ by up to a day, an entry
// also checks the days before and after its own.
type day int64

const secondsPerDay = 24 * 60 * 60

// today returns the current day by the entry's clock.
func (s *Store) today() day { return day(s.now().Unix() / secondsPerDay) }

// prefix returns the start of the keys of the service's claims of the day.
func (d day) prefix(service string) string {
	return fmt.Sprintf("%s%s/%d/", keyPrefix, service, int64(d))
}

// key returns the key of the call's claim if it was made on the day.
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

// keyVersions holds, for each day to check, the version of the released claim
// under the call's key of that day, or zero if there is no claim.
type keyVersions map[day]uint64

// keyVersionsAround returns the days to check on the day d, without claims.
func keyVersionsAround(d day) keyVersions { return keyVersions{d - 1: 0, d: 0, d + 1: 0} }

// Acquire claims the call. It returns a claim if the call may be sent, or the
// stored answer if the call ran before. Otherwise the error is an *errkind.Error:
// KeyReused, CallInProgress, PlatformDown or Internal. Its outcome is not_run only
// if the call was not sent and will not be.
func (s *Store) Acquire(ctx context.Context, c Call) (*Claim, *Answer, error) {
	today := s.today()
	known := keyVersionsAround(today)
	claim, answer, unsettled, err := s.tryAcquire(ctx, c, today, known)
	if err != nil && unsettled {
		go s.abandon(c, today, known)
	}
	return claim, answer, err
}

// tryAcquire is Acquire for the day today. It updates known. unsettled says that a write of the claim may
// still be executed.
func (s *Store) tryAcquire(ctx context.Context, c Call, today day, known keyVersions) (_ *Claim, _ *Answer, unsettled bool, _ error) {
	for {
		v, err := s.write(ctx, c, today, known, claim{State: stateClaimed})
		if err == nil {
			return &Claim{store: s, call: c, day: today, version: v}, nil, false, nil
		}
		unsettled = unsettled || errors.Is(err, store.ErrUnknown)
		if errors.Is(err, store.ErrUnavailable) {
			return nil, nil, unsettled, errkind.Wrap(errkind.PlatformDown, err, "the call cannot be claimed while the platform is down")
		}
		claim, answer, err := s.findClaim(ctx, c, known)
		if claim != nil || answer != nil || err != nil {
			return claim, answer, unsettled, err
		}
		if ctx.Err() != nil {
			return nil, nil, unsettled, errkind.Wrap(errkind.PlatformDown, ctx.Err(), "the claim of the call could not be confirmed in time")
		}
		// The write had no effect yet, or it met a released claim. It may be
		// repeated with the versions that are known now.
		kernel.Sleep(ctx, retryInterval)
	}
}

// abandonTimeout limits the time in which abandon tries to reach the platform.
const abandonTimeout = 30 * time.Second

// abandonRetry is the policy for the retries of abandon.
var abandonRetry = kernel.RetryPolicy{InitialWait: 100 * time.Millisecond, MaxWait: time.Second, Timeout: 2 * time.Second}

// abandon keeps the write of a claim that may still be executed from holding the key of a call that was
// refused. It releases the key under the condition of that write, so that the platform executes one of both.
func (s *Store) abandon(c Call, d day, known keyVersions) {
	ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
	defer cancel()
	kernel.RetryUntilDone(ctx, abandonRetry, func(ctx context.Context) error {
		_, err := s.write(ctx, c, d, known, claim{State: stateReleased})
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		claim, _, err := s.findClaim(ctx, c, known)
		if claim != nil {
			return claim.Release(ctx)
		}
		if errkind.Is(err, errkind.PlatformDown) {
			return err
		}
		// The key belongs to another call.
		return nil
	})
}

// findClaim looks for the claim under the call's key. It returns the claim if this
// request made it, the answer or an error for the claim of another request, and
// nothing if the key is free. It updates known.
func (s *Store) findClaim(ctx context.Context, c Call, known keyVersions) (*Claim, *Answer, error) {
	for d := range known {
		rec, existing, err := s.read(ctx, c, d)
		switch {
		case errors.Is(err, store.ErrNotFound):
			known[d] = 0
		case err != nil:
			return nil, nil, errkind.Wrap(errkind.PlatformDown, err, "the claim of the call could not be confirmed")
		case existing.Token == c.Token:
			return &Claim{store: s, call: c, day: d, version: rec.Version}, nil, nil
		case existing.State == stateReleased:
			known[d] = rec.Version
		default:
			a, err := s.resolve(ctx, c, existing)
			return nil, a, err
		}
	}
	return nil, nil, nil
}

// retryInterval is the time between two attempts to write a claim.
const retryInterval = 20 * time.Millisecond

// resolve returns the answer or the error for a call whose key another request
// has claimed with existing.
func (s *Store) resolve(ctx context.Context, c Call, existing claim) (*Answer, error) {
	if existing.BodyHash != c.BodyHash {
		return nil, errkind.New(errkind.KeyReused, "the idempotency key was used with another body, path or method")
	}
	if existing.State != stateDone {
		return nil, errkind.New(errkind.CallInProgress, "an earlier call with this key was claimed by %s and has no answer yet; it may have run", existing.Entry)
	}
	if existing.Answer != nil {
		return existing.Answer, nil
	}
	data, err := s.objects.GetObject(ctx, existing.Object)
	if err != nil {
		e := errkind.Wrap(errkind.PlatformDown, err, "the call ran, but its stored answer cannot be read now")
		e.Outcome = errkind.Ran
		return nil, e
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		e := errkind.Wrap(errkind.Internal, err, "the call ran, but its stored answer cannot be decoded")
		e.Outcome = errkind.Ran
		return nil, e
	}
	return &a, nil
}

// read returns the record and the claim under the call's key of the day d.
func (s *Store) read(ctx context.Context, c Call, d day) (store.Record, claim, error) {
	var existing claim
	rec, err := s.table.Get(ctx, c.key(d))
	if err != nil {
		return rec, existing, err
	}
	return rec, existing, errors.Wrap(json.Unmarshal(rec.Value, &existing), "decode claim")
}

// write stores next under the call's key of the day d, if all keys in known still
// have the versions in it. It returns the version written.
func (s *Store) write(ctx context.Context, c Call, d day, known keyVersions, next claim) (uint64, error) {
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

// replace replaces the claim's record by next, if nobody else has changed it.
func (c *Claim) replace(ctx context.Context, next claim) error {
	_, err := c.store.write(ctx, c.call, c.day, keyVersions{c.day: c.version}, next)
	return err
}

// StoreAnswer stores the answer of the call. After an error, a repeated call is told that
// the call may have run.
func (c *Claim) StoreAnswer(ctx context.Context, a Answer) error {
	next := claim{State: stateDone, Answer: &a}
	if len(a.Body) > maxInlineAnswer {
		data, err := json.Marshal(a)
		if err != nil {
			return errors.Wrap(err, "encode answer")
		}
		name := "answer-" + c.call.Token
		if err := c.store.objects.PutObject(ctx, name, data); err != nil {
			return errors.Wrap(err, "store large answer")
		}
		next.Answer, next.Object = nil, name
	}
	return errors.Wrap(c.replace(ctx, next), "store answer")
}

// Release makes the key free again. It must be called only if the call certainly
// did not run.
func (c *Claim) Release(ctx context.Context) error {
	return errors.Wrap(c.replace(ctx, claim{State: stateReleased}), "release claim")
}
