package watch

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
)

const (
	// reportDelay is how long another VM's report may be delayed on a full link. The age of the
	// configuration that the report states is too short by this delay.
	reportDelay = 500 * time.Millisecond
	// confirmWait is how long a request waits for the store to confirm that there is no newer
	// configuration. It is a few times the duration of a call across data centres (12 ms each
	// way, 8 ms in the store).
	confirmWait = 150 * time.Millisecond
)

// Freshness tells whether this VM's copy of the configuration is recent enough to act on. It also
// tells whether requests with the API keys in the copy may be served. The keys may have been
// removed from the configuration since the copy was read.
type Freshness struct {
	config *Table
	// maxAge is the maximum age, counted from AsOf, at which the copy counts as the newest
	// configuration.
	maxAge time.Duration
	// keysMaxAge is the maximum age, counted from ConservativeAsOf, at which requests with API keys
	// of the copy are served; 0 means no maximum.
	keysMaxAge time.Duration
}

// NewFreshness returns the Freshness of config, the configuration table. bound is the time within
// which a change must take effect on every VM.
func NewFreshness(config *Table, bound time.Duration) *Freshness {
	return &Freshness{config: config, maxAge: max(bound-reportDelay, bound/2)}
}

const (
	// inFlightShare is the fraction of the time given to SetRevokeBound that is reserved for
	// requests which this VM has already sent to a target when a key is removed.
	inFlightShare = 0.05
	// keysPollShare is the fraction of keysMaxAge after which the store is polled. That is longer
	// than the time between the sentinels' calls, so that a VM that receives their reports makes
	// no calls of its own.
	keysPollShare = 0.75
)

// SetRevokeBound sets the maximum time after the removal of an API key for which requests with that
// key may still be served; 0 means no maximum. It must be called before the first request.
func (f *Freshness) SetRevokeBound(bound time.Duration) {
	f.keysMaxAge = time.Duration((1 - inFlightShare) * float64(bound))
}

// KeysCurrent returns whether the copy was confirmed to be the newest configuration at most
// keysMaxAge ago, so that requests with the API keys in it may be served. If the last confirmation
// is older than keysPollShare of keysMaxAge, KeysCurrent requests a poll of the store, but does not
// wait for the poll.
func (f *Freshness) KeysCurrent() bool {
	if f.keysMaxAge == 0 {
		return true
	}
	age := clock.Since(f.config.ConservativeAsOf())
	if age > time.Duration(keysPollShare*float64(f.keysMaxAge)) {
		f.config.Confirm()
	}
	return age <= f.keysMaxAge
}

// Confirmed returns whether the copy is the newest configuration, apart from changes so recent that
// they need not have taken effect yet. If the copy has not been confirmed recently, Confirmed
// requests a poll of the store and waits for it for at most confirmWait. A view of the fleet that
// is read after Confirmed contains the confirmed configuration.
func (f *Freshness) Confirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for !f.recent() {
		select {
		case <-f.config.Confirm():
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// recent returns whether the copy was confirmed at most maxAge ago.
func (f *Freshness) recent() bool { return clock.Since(f.config.AsOf()) <= f.maxAge }

// Behind returns whether other VMs, which can reach the store, have read a configuration that this
// VM lacks and that must have taken effect by now. Callers are then better served by those VMs.
// While no VM can reach the store, no VM is behind, and all VMs keep serving with the configuration
// that they have.
func (f *Freshness) Behind() bool { return f.config.behind(f.maxAge) }
