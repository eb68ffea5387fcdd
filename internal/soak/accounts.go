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
	// accountCount is the number of client accounts. Each starts with keysPerAccount keys.
	accountCount   = 4
	keysPerAccount = 3
	// revokeBound is the time after which a revoked key must no longer serve any request.
	revokeBound = 3 * time.Second
	// usageWindow is the length of a usage window. Its report is due usageReportDelay after its
	// end.
	usageWindow      = time.Second
	usageReportDelay = 10 * time.Second
	// cloudCallsPerS limits the calls per second that all VMs together make for the platform
	// duties: work for the platform, such as reporting usage, that one VM at a time does for all.
	cloudCallsPerS = 50
)

// keyring holds the keys of the client accounts. It is safe for concurrent use.
type keyring struct {
	mu sync.Mutex
	// active holds the keys in force by account, and revoked the revoked keys of all accounts, the
	// newest last. issued counts the keys made so far.
	active  [accountCount][]string
	revoked []string
	issued  int
}

// newKeyring returns a keyring with keysPerAccount new keys for each account.
func newKeyring() *keyring {
	k := &keyring{}
	for i := range k.active {
		for range keysPerAccount {
			k.active[i] = append(k.active[i], k.newKey(i))
		}
	}
	return k
}

// newKey returns a key that was never used before. The caller must hold k.mu or be the only user of
// k.
func (k *keyring) newKey(account int) string {
	k.issued++
	return fmt.Sprintf("key-%d-%d", account, k.issued)
}

func accountName(i int) string { return fmt.Sprintf("account-%d", i) }

// activeKeys returns a copy of the keys in force by account name.
func (k *keyring) activeKeys() map[string][]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[string][]string, accountCount)
	for i, keys := range k.active {
		out[accountName(i)] = append([]string(nil), keys...)
	}
	return out
}

// One request in revokedKeyEvery carries the most recently revoked key, if there is one.
const revokedKeyEvery = 3

// drawKey returns a random account and one of its keys, or the most recently revoked key and an
// empty account.
func (k *keyring) drawKey() (account, key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.revoked); n > 0 && rand.IntN(revokedKeyEvery) == 0 {
		return "", k.revoked[n-1]
	}
	i := rand.IntN(accountCount)
	return accountName(i), k.active[i][rand.IntN(len(k.active[i]))]
}

// rotate removes an account's oldest key from active, gives the account a new key and returns the
// old one. account is taken modulo the number of accounts.
func (k *keyring) rotate(account int) (removed string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := account % accountCount
	removed = k.active[i][0]
	k.active[i] = append(k.active[i][1:], k.newKey(i))
	return removed
}

// revokeKey revokes an account's oldest key by writing a new configuration version without it.
// account is taken modulo the number of accounts. It does nothing in runs without client accounts.
func (h *harness) revokeKey(account int) {
	if h.keys == nil {
		return
	}
	key := h.keys.rotate(account)
	h.changeConfig()
	h.keys.mu.Lock()
	h.keys.revoked = append(h.keys.revoked, key)
	h.keys.mu.Unlock()
	h.check.KeyRevoked(key, h.now())
}

// configureAccounts adds to cfg the settings that client accounts and platform duties need, in runs
// that have them.
func (h *harness) configureAccounts(cfg *settings.Node) {
	if h.keys == nil {
		return
	}
	cfg.RevokeBound, cfg.UsageWindow = settings.Duration(revokeBound), settings.Duration(usageWindow)
	cfg.Cloud = settings.Cloud{Address: h.cloud.Address(), CallsPerS: cloudCallsPerS,
		Duties: []string{settings.DutyUsage}}
}

// inspectAccounts has the checker inspect the key and account that a target receives with each
// request.
func (h *harness) inspectAccounts(e *platformtest.Engine) {
	if h.keys == nil {
		return
	}
	e.Inspect(func(id, key, account string) { h.check.CheckAccount(id, key, account, h.now()) })
}

// checkDuties checks the calls that the platform received for the platform duties, and that every
// usage window whose report is due was reported.
func (h *harness) checkDuties() {
	if h.keys == nil {
		return
	}
	for _, what := range h.cloud.Violations() {
		h.check.CheckDuty(false, what, h.now())
	}
	reports := h.cloud.Reports()
	h.check.CheckDuty(len(reports) > 0, "no window was reported", h.now())
	last := time.Now().Add(-usageReportDelay).Unix()
	for window := h.readyAt.Unix(); window < last; window++ {
		_, ok := reports[window]
		h.check.CheckDuty(ok, fmt.Sprintf("window %d was not reported", window), h.now())
	}
}
