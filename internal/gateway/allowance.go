package gateway

import (
	"math"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/quota"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// Allowances limits what client accounts use at all VMs together. quota.Keeper implements it.
type Allowances interface {
	// Take takes cost out of what the account may use, or returns false if that is not enough.
	Take(account string, cost int64, now time.Time) (quota.Balance, bool)
	// TakeResumed is Take for a request that resumes a stream.
	TakeResumed(account string, cost int64, now time.Time) (quota.Balance, bool)
	// Return puts back the cost of a request that has not run.
	Return(account string, cost int64, now time.Time)
}

// allowanceUse is the use of an account's allowance by one request.
type allowanceUse struct {
	account string
	cost    int64
	balance quota.Balance
	// taken is set while the cost has been taken and not been put back.
	taken bool
}

// takeAllowance takes the cost of the request out of its account's allowance. It refuses a request
// that the allowance does not permit; the caller learns when it would.
func (x *exchange) takeAllowance() error {
	account := x.account.Load()
	if account == nil || account.Allowance == nil {
		return nil
	}
	tokens := int64(-1)
	if p := x.meta.Prompt; p != nil {
		tokens = max(int64(p.Tokens)+int64(p.MaxOutput), 0)
	}
	u := &allowanceUse{account: account.Name, cost: account.Allowance.Cost(tokens)}
	x.allowance = u
	take := x.g.allowances.Take
	if x.mayBeResumed() && x.meta.LastEventID != "" {
		take = x.g.allowances.TakeResumed
	}
	u.balance, u.taken = take(u.account, u.cost, clock.Now())
	if u.taken {
		return nil
	}
	e := errkind.New(errkind.AccountLimited, "the client account has used up its allowance")
	e.RetryAfter = time.Duration(math.Ceil(u.balance.Wait.Seconds()*1e3)) * time.Millisecond
	return e
}

// returnAllowance puts back what takeAllowance has taken if the request ended with err and no target
// has run it.
func (x *exchange) returnAllowance(err error) {
	if err == nil || x.allowance == nil || !x.allowance.taken {
		return
	}
	reachedNone := x.attempts.arrivals == 0 && !x.mayHaveRun
	if reachedNone || errkind.From(err).Response().Outcome == errkind.NotRun {
		x.allowance.taken = false
		x.g.allowances.Return(x.allowance.account, x.allowance.cost, clock.Now())
	}
}

// logFields returns the use as log fields: the cost, the account's balance before it, and the
// fraction of the VMs whose use the balance contains.
func (u *allowanceUse) logFields() []telemetry.Field {
	return []telemetry.Field{
		telemetry.F("cost", u.cost), telemetry.F("balance", int64(u.balance.Level)),
		telemetry.F("coverage", math.Round(u.balance.Coverage*1e3)/1e3),
	}
}
