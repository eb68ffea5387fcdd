package once

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/store"
)

// call returns a call with the same key for every token and body.
func call(token, body string) Call {
	return Call{Service: "renewals", Account: "acc", Key: "k1", Token: token, BodyHash: HashBody("POST", "/confirm", []byte(body))}
}

// newStore returns the store of one entry on the platform p.
func newStore(p *store.Memory, entry string) *Store { return NewStore(p, p, entry, time.Now) }

// shortContext returns a context that ends the attempts to write a claim whose
// writes are all lost.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// A repeated call is refused while the first one runs, and then gets its answer,
// whether that is stored in the claim or as an object.
func TestStoredAnswer(t *testing.T) {
	for _, size := range []int{10, maxInlineAnswer + 1} {
		is := is.New(t)
		p := store.NewMemory()
		a, b := newStore(p, "vm-1"), newStore(p, "vm-2")
		claim, answer, err := a.Acquire(t.Context(), call("t1", "x"))
		is.NoErr(err)
		is.True(claim != nil && answer == nil)

		_, _, err = b.Acquire(t.Context(), call("t2", "x"))
		is.True(errkind.Is(err, errkind.CallInProgress))
		is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun)

		body := []byte(strings.Repeat("y", size))
		is.NoErr(claim.StoreAnswer(t.Context(), Answer{Status: 201, Header: http.Header{"A": {"b"}}, Body: body}))
		claim, answer, err = b.Acquire(t.Context(), call("t3", "x"))
		is.NoErr(err)
		is.True(claim == nil)
		is.Equal(answer.Status, 201)
		is.Equal(string(answer.Body), string(body))
	}
}

// A key may not be reused with another body, but by another client account.
func TestKeyReused(t *testing.T) {
	is := is.New(t)
	s := newStore(store.NewMemory(), "vm-1")
	_, _, err := s.Acquire(t.Context(), call("t1", "x"))
	is.NoErr(err)
	_, _, err = s.Acquire(t.Context(), call("t2", "another body"))
	is.True(errkind.Is(err, errkind.KeyReused))
	other := call("t3", "x")
	other.Account = "someone else"
	claim, _, err := s.Acquire(t.Context(), other)
	is.NoErr(err)
	is.True(claim != nil) // the same key of another client account is another key
}

func TestReleasedKeyIsFree(t *testing.T) {
	is := is.New(t)
	s := newStore(store.NewMemory(), "vm-1")
	claim, _, err := s.Acquire(t.Context(), call("t1", "x"))
	is.NoErr(err)
	is.NoErr(claim.Release(t.Context()))
	claim, _, err = s.Acquire(t.Context(), call("t2", "x"))
	is.NoErr(err)
	is.True(claim != nil)
}

// A platform fault during a claim leaves the key claimed only if the claim was
// granted. A call that is refused gets the outcome not_run.
func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   store.Fault
		claimed bool
		// afterwards is the error of a second call once the platform works again.
		afterwards errkind.Kind
	}{
		{"down", store.FaultDown, false, ""},
		{"claim written, answer lost", store.FaultLostResponses, true, errkind.CallInProgress},
		{"claim lost", store.FaultLostWrites, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := store.NewMemory()
			s := newStore(p, "vm-1")
			p.SetFault(c.fault)
			claim, _, err := s.Acquire(shortContext(t), call("t1", "x"))
			is.Equal(claim != nil, c.claimed)
			if !c.claimed {
				is.True(errkind.Is(err, errkind.PlatformDown))
				a := errkind.From(err).Response()
				is.Equal(a.Outcome, errkind.NotRun) // nothing was sent
				is.True(a.RetryAfter > 0)
			}
			p.SetFault(store.FaultNone)
			_, _, err = newStore(p, "vm-2").Acquire(t.Context(), call("t2", "x"))
			if c.afterwards == "" {
				is.NoErr(err)
				return
			}
			is.True(errkind.Is(err, c.afterwards))
		})
	}
}

// If an answer cannot be stored, a repeated call gets the outcome may_have_run,
// never not_run.
func TestAnswerNotStored(t *testing.T) {
	is := is.New(t)
	p := store.NewMemory()
	s := newStore(p, "vm-1")
	claim, _, err := s.Acquire(t.Context(), call("t1", "x"))
	is.NoErr(err)
	p.SetFault(store.FaultDown)
	is.True(claim.StoreAnswer(t.Context(), Answer{Status: 200}) != nil)
	p.SetFault(store.FaultNone)
	_, _, err = s.Acquire(t.Context(), call("t2", "x"))
	is.True(err != nil)
	is.Equal(errkind.From(err).Response().Outcome, errkind.MayHaveRun)
}

// A key has only one claim even if the clocks of two entries are on different
// days.
func TestKeyAcrossMidnight(t *testing.T) {
	midnight := time.Unix(20000*secondsPerDay, 0)
	for _, skew := range []time.Duration{-2 * time.Second, 2 * time.Second, -23 * time.Hour, 23 * time.Hour} {
		is := is.New(t)
		p := store.NewMemory()
		a := NewStore(p, p, "vm-1", func() time.Time { return midnight.Add(-time.Second) })
		b := NewStore(p, p, "vm-2", func() time.Time { return midnight.Add(skew) })
		claim, _, err := a.Acquire(t.Context(), call("t1", "x"))
		is.NoErr(err)
		_, _, err = b.Acquire(t.Context(), call("t2", "x"))
		is.True(errkind.Is(err, errkind.CallInProgress))
		is.NoErr(claim.StoreAnswer(t.Context(), Answer{Status: 200}))
		_, answer, err := b.Acquire(t.Context(), call("t3", "x"))
		is.NoErr(err)
		is.True(answer != nil)
	}
}

// A sweep removes the claims that no entry checks any more, and no others.
func TestSweep(t *testing.T) {
	is := is.New(t)
	p := store.NewMemory()
	now := time.Unix(20000*secondsPerDay, 0)
	s := NewStore(p, p, "vm-1", func() time.Time { return now })
	for i := range 2*sweepBatchSize + 7 {
		c := call(fmt.Sprint(i), "x")
		c.Key = fmt.Sprint(i)
		_, _, err := s.Acquire(t.Context(), c)
		is.NoErr(err)
	}
	for days, want := range []int{0, 0, 0, 2*sweepBatchSize + 7, 0} {
		n, err := Sweep(t.Context(), p, "renewals", now.Add(time.Duration(days)*24*time.Hour))
		is.NoErr(err)
		is.Equal(n, want)
	}
	rest, err := p.List(t.Context(), keyPrefix)
	is.NoErr(err)
	is.Equal(len(rest), 0)
}

// delayedWrites delays the effect of the first commits until a later commit. The
// delayed commits return store.ErrUnknown, and the record can be read back before
// they take effect.
type delayedWrites struct {
	*store.Memory
	mu        sync.Mutex
	pending   []store.Txn
	remaining int
}

func (l *delayedWrites) Commit(ctx context.Context, txn store.Txn) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remaining > 0 {
		l.remaining--
		l.pending = append(l.pending, txn)
		return 0, store.ErrUnknown
	}
	for _, old := range l.pending {
		// It takes effect now, if its conditions still hold.
		_, _ = l.Memory.Commit(ctx, old)
	}
	l.pending = nil
	return l.Memory.Commit(ctx, txn)
}

// A claim whose write takes effect late is still granted to its request.
func TestDelayedClaim(t *testing.T) {
	is := is.New(t)
	p := &delayedWrites{Memory: store.NewMemory(), remaining: 1}
	s := NewStore(p, p, "vm-1", time.Now)
	claim, _, err := s.Acquire(t.Context(), call("t1", "x"))
	is.NoErr(err)
	is.True(claim != nil) // the delayed write was this request's own
	is.NoErr(claim.StoreAnswer(t.Context(), Answer{Status: 200}))
}

// A claim that is executed after its call was refused must not keep the key from the caller's next attempt.
func TestLateClaimOfARefusedCallKeepsItsKey(t *testing.T) {
	for name, executedBefore := range map[string]bool{"before the key is released": true, "after": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := store.NewMemory()
			p.SetFault(store.FaultLateWrites)
			_, _, err := newStore(p, "vm-1").Acquire(shortContext(t), call("t1", "x"))
			is.True(errkind.Is(err, errkind.PlatformDown))
			if executedBefore {
				is.Equal(p.RunLate(), 1)
			}
			p.SetFault(store.FaultNone)
			released := func() bool {
				recs, err := p.List(t.Context(), keyPrefix)
				return err == nil && len(recs) == 1 && strings.Contains(string(recs[0].Value), string(stateReleased))
			}
			for end := time.Now().Add(5 * time.Second); !released() && time.Now().Before(end); {
				time.Sleep(2 * time.Millisecond)
			}
			p.RunLate()
			claim, _, err := newStore(p, "vm-2").Acquire(t.Context(), call("t2", "x"))
			is.NoErr(err)
			is.True(claim != nil)
		})
	}
}

// claimOp is an operation on one key: storing the answer if storeAnswer is set, else
// claiming the key.
type claimOp struct {
	storeAnswer bool
}

// claimResult is the result of claiming a key.
type claimResult struct {
	granted, answered, refused bool
}

// claimModel returns the sequential model of a key: it is granted once, and an
// answer is returned only after it was stored.
func claimModel() porcupine.Model {
	const free, claimed, done = 0, 1, 2
	return porcupine.Model{
		Init: func() any { return free },
		Step: func(state, input, output any) (bool, any) {
			s, out := state.(int), output.(claimResult)
			switch {
			case input.(claimOp).storeAnswer:
				return s == claimed, done
			case out.granted:
				return s == free, claimed
			case out.answered:
				return s == done, done
			}
			return s == claimed, claimed
		},
	}
}

// Several entries claim one key concurrently while some writes are delayed. Their
// history must match the sequential model.
func TestConcurrentClaimsHistory(t *testing.T) {
	for round := range 20 {
		p := &delayedWrites{Memory: store.NewMemory(), remaining: round % 4}
		start := time.Now()
		var mu sync.Mutex
		var history []porcupine.Operation
		record := func(client int, in claimOp, from time.Duration, out claimResult) {
			mu.Lock()
			defer mu.Unlock()
			history = append(history, porcupine.Operation{
				ClientId: client, Input: in, Call: int64(from), Output: out, Return: int64(time.Since(start)),
			})
		}
		var wg sync.WaitGroup
		for client := range 6 {
			wg.Go(func() {
				s := NewStore(p, p, fmt.Sprint("vm-", client), time.Now)
				for try := range 3 {
					from := time.Since(start)
					claim, answer, err := s.Acquire(t.Context(), call(fmt.Sprintf("%d-%d", client, try), "x"))
					record(client, claimOp{}, from, claimResult{granted: claim != nil, answered: answer != nil, refused: err != nil})
					if claim == nil {
						continue
					}
					from = time.Since(start)
					if err := claim.StoreAnswer(t.Context(), Answer{Status: 200}); err != nil && !errors.Is(err, store.ErrUnknown) {
						t.Error(err)
						return
					}
					record(client, claimOp{storeAnswer: true}, from, claimResult{})
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(claimModel(), history) {
			t.Fatalf("round %d: a key was granted twice or an answer was returned that was not stored", round)
		}
	}
}

// The history checker must reject a key that was granted twice.
func TestHistoryCheckerRejectsTwoGrants(t *testing.T) {
	history := []porcupine.Operation{
		{ClientId: 0, Input: claimOp{}, Call: 0, Output: claimResult{granted: true}, Return: 1},
		{ClientId: 1, Input: claimOp{}, Call: 2, Output: claimResult{granted: true}, Return: 3},
	}
	if porcupine.CheckOperations(claimModel(), history) {
		t.Fatal("the checker accepts two grants of one key")
	}
}
