package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/settings"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// accounts is how many client accounts there are, each with keysEach keys at first.
	accounts = 4
	keysEach = 3
	// revokeBound is within what time a removed key serves no request any more.
	revokeBound = 3 * time.Second
	// usageWindow is the length of the windows in which usage is reported, and usageLate how
	// long after a window's end its report is due.
	usageWindow = time.Second
	usageLate   = 10 * time.Second
	// cloudCallsPerS bounds the calls of all VMs for the duties.
	cloudCallsPerS = 50
)

// keyring is the client accounts' keys.
type keyring struct {
	mu sync.Mutex
	// held holds the keys in force by account, and removed those that were, the newest last.
	held    [accounts][]string
	removed []string
	made    int
}

func newKeyring() *keyring {
	k := &keyring{}
	for i := range k.held {
		for range keysEach {
			k.held[i] = append(k.held[i], k.next(i))
		}
	}
	return k
}

// next returns a key that was never used; the caller holds k.mu, or is the only one.
func (k *keyring) next(account int) string {
	k.made++
	return fmt.Sprintf("key-%d-%d", account, k.made)
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// inForce returns the keys by account.
func (k *keyring) inForce() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string][]string, accounts)
	for i, keys := range k.held {
		out[accountName(i)] = append([]string(nil), keys...)
	}
	return out
}

// removedEvery is of how many requests one bears the key that was removed last.
const removedEvery = 3

// draw returns an account and one of its keys, or the key that was removed last and no account.
func (k *keyring) draw() (account, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.removed); n > 0 && rand.IntN(removedEvery) == 0 {
		return "", k.removed[n-1]
	}
	i := rand.IntN(accounts)
	return accountName(i), k.held[i][rand.IntN(len(k.held[i]))]
}

// turn takes an account's oldest key away and gives it a new one.
func (k *keyring) turn(account int) (removed string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := account % accounts
	removed = k.held[i][0]
	k.held[i] = append(k.held[i][1:], k.next(i))
	return removed
}

// revoke removes a key by a new version of the configuration.
func (w *world) revoke(account int) {
	if w.keys == nil {
		return
	}
	key := w.keys.turn(account)
	w.change()
	w.keys.mu.Lock()
	w.keys.removed = append(w.keys.removed, key)
	w.keys.mu.Unlock()
	w.check.Revoked(key, w.now())
}

// addAccounts gives a VM's settings what accounts and duties need.
func (w *world) addAccounts(cfg *settings.Node) {
	if w.keys == nil {
		return
	}
	cfg.RevokeBound, cfg.UsageWindow = settings.Duration(revokeBound), settings.Duration(usageWindow)
	cfg.Cloud = settings.Cloud{Address: w.cloud.Address(), CallsPerS: cloudCallsPerS, Duties: []string{settings.DutyUsage}}
}

// inspect has the checker see what a target is told of a request's account.
func (w *world) inspect(e *platformtest.Engine) {
	if w.keys == nil {
		return
	}
	e.Inspect(func(id, key, account string) { w.check.Told(id, key, account, w.now()) })
}

// checkDuties checks what the platform saw of the duties, and that the windows which are due
// were reported.
func (w *world) checkDuties() {
	if w.keys == nil {
		return
	}
	for _, what := range w.cloud.Violations() {
		w.check.Duty(false, what, w.now())
	}
	reports := w.cloud.Reports()
	w.check.Duty(len(reports) > 0, "no window was reported", w.now())
	last := time.Now().Add(-usageLate).Unix()
	for window := w.served.Unix(); window < last; window++ {
		_, ok := reports[window]
		w.check.Duty(ok, fmt.Sprintf("window %d was not reported", window), w.now())
	}
}
