package watch

import (
	"context"
	"time"

	"garnethoist.org/garnethoist/internal/clock"
)

const (
	// reportDelay is how long another VM's report may be delayed on a full link, and thus appear
	// younger than it is.
	reportDelay = 500 * time.Millisecond
	// confirmWait is how long a request waits for the store to confirm that there is no newer
	// configuration. It is a few times the duration of a call across data centres (12 ms each
	// way, 8 ms in the store).
	confirmWait = 150 * time.Millisecond
)

// Freshness tells whether this VM's copy of the configuration is recent enough to act on.
type Freshness struct {
	config *Table
	// maxAge is the age up to which the copy is taken to be the current configuration.
	maxAge time.Duration
	// keysMaxAge is the age up to which keys are served from the copy; 0 means any age.
	keysMaxAge time.Duration
}

// NewFreshness returns the Freshness of the configuration table. bound is the time within which a
// change must take effect on every VM.
func NewFreshness(config *Table, bound time.Duration) *Freshness {
	return &Freshness{config: config, maxAge: max(bound-reportDelay, bound/2)}
}

const (
	// inFlightShare is the share of the revocation bound that is reserved for requests which this
	// VM has already sent on.
	inFlightShare = 0.05
	// keysPollShare is the share of keysMaxAge after which the store is polled. It exceeds the
	// time between the sentinels' polls, so that a VM that receives their reports makes no calls
	// of its own.
	keysPollShare = 0.75
)

// SetRevokeBound sets the time after which no request with a removed key may be served; 0 means
// no bound. It must be called before the first request.
func (k *Freshness) SetRevokeBound(bound time.Duration) {
	k.keysMaxAge = time.Duration((1 - inFlightShare) * float64(bound))
}

// KeysCurrent returns whether the configuration was known to be the newest recently enough to
// serve the keys in it. If that was long ago, it requests a call to the store.
func (k *Freshness) KeysCurrent() bool {
	if k.keysMaxAge == 0 {
		return true
	}
	age := clock.Since(k.config.ConservativeAsOf())
	if age > time.Duration(keysPollShare*float64(k.keysMaxAge)) {
		k.config.Confirm()
	}
	return age <= k.keysMaxAge
}

// Confirmed returns whether the configuration is the newest one, apart from changes too recent to
// be required to have taken effect. If that has not been known recently, it asks the store and
// waits for at most confirmWait. A view that is read after Confirmed contains the confirmed
// configuration.
func (k *Freshness) Confirmed(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for !k.recent() {
		select {
		case <-k.config.Confirm():
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// recent returns whether the copy is no older than maxAge.
func (k *Freshness) recent() bool { return clock.Since(k.config.AsOf()) <= k.maxAge }

// Behind returns whether other VMs, which reach the store, have read a configuration that must
// have taken effect by now and that this VM lacks: they serve callers better. While no VM can
// reach the store, none is behind, and all keep serving with the configuration that they have.
func (k *Freshness) Behind() bool { return k.config.behind(k.maxAge) }
