package fleet

import "github.com/pkg/errors"

// Account is a client account of the configuration.
type Account struct {
	Name string
	// Keys are the keys that identify the account in requests. An account whose keys have all
	// been revoked has none.
	Keys []string
	// Priority is the priority of the account's requests and replaces that of their route. If it
	// is nil, the route's priority applies.
	Priority *int
	// Allowance limits what the account's requests may use. It is nil if there is no limit.
	Allowance *Allowance
}

// Allowance limits what the requests of a client account may use, at all VMs together. The unit is
// a token if ByTokens is set, and otherwise a request.
type Allowance struct {
	// RatePerS is what may be used each second, and Burst what may be used in addition at once.
	RatePerS float64
	Burst    float64
	ByTokens bool
	// PlainTokens is the number of tokens that a request counts as which states none.
	PlainTokens int64
}

// Cost returns what a request counts as. tokens is the length of its prompt and its longest answer
// together, or negative if the request does not state them.
func (a *Allowance) Cost(tokens int64) int64 {
	switch {
	case !a.ByTokens:
		return 1
	case tokens < 0:
		return a.PlainTokens
	}
	return tokens
}

// RequestPriority returns the priority of the account's requests on a route. The account is nil for
// anonymous requests.
func (a *Account) RequestPriority(r *Route) int {
	if a == nil || a.Priority == nil {
		return r.Priority
	}
	return *a.Priority
}

// accountsByKey holds the client accounts of a configuration by each of their keys.
type accountsByKey map[string]*Account

// indexAccounts returns the accounts by key. It fails if a name or a key is empty, or if two
// accounts have the same name or share a key: a shared key would let one of them run requests as
// the other. The error names the account.
func indexAccounts(list []*Account) (accountsByKey, error) {
	out := make(accountsByKey)
	names := make(map[string]bool, len(list))
	for _, a := range list {
		if a.Name == "" {
			return nil, errors.New("client account without a name")
		}
		if names[a.Name] {
			return nil, errors.Errorf("client account %s is listed twice", a.Name)
		}
		names[a.Name] = true
		for i, key := range a.Keys {
			switch other := out[key]; {
			case key == "":
				return nil, errors.Errorf("client account %s: key %d is empty", a.Name, i)
			case other != nil && other != a:
				return nil, errors.Errorf("client account %s: key %d is also a key of client account %s", a.Name, i, other.Name)
			}
			out[key] = a
		}
	}
	return out, nil
}

// SetAccounts sets the client accounts of the configuration. It must be called before the
// configuration is shared.
func (c *Config) SetAccounts(list []*Account) error {
	byKey, err := indexAccounts(list)
	if err != nil {
		return err
	}
	c.accounts, c.accountList = byKey, list
	return nil
}

// Accounts returns all client accounts.
func (c *Config) Accounts() []*Account { return c.accountList }

// RequiresKeys reports whether requests need a key unless their route is anonymous. They do if
// SetAccounts has been called, even with an empty list.
func (c *Config) RequiresKeys() bool { return c.accounts != nil }

// Account returns the client account with the given key, or nil.
func (c *Config) Account(key string) *Account { return c.accounts[key] }
