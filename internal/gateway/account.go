package gateway

import (
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
)

// Usage counts the runs of client accounts.
type Usage interface {
	// Ran counts a run of an account that began at a time; an empty account is none.
	Ran(account string, at time.Time)
}

// identify finds the client account that holds the request's key.
func (x *exchange) identify() error { return x.decided(x.identifyView) }

// identifyView is identify on the configuration at hand. Keys are served only while it is
// known that none was removed longer ago than removals may take: a VM that was cut off, frozen
// or suspended may not have heard of it.
func (x *exchange) identifyView() error {
	cfg := x.view.Config
	if !cfg.Keyed() {
		return nil
	}
	var account *fleet.Account
	current := x.g.known.KeysCurrent()
	if current {
		account = cfg.Account(x.meta.Key)
	}
	x.account.Store(account)
	switch {
	case x.route.Anonymous || account != nil:
		return nil
	case !current:
		return x.refusal(errkind.KeysUncertain, nil, "this VM does not know which keys were removed lately")
	}
	return errkind.New(errkind.UnknownKey, "no client account has this key")
}

// accountName is the name of the client account, or empty for an anonymous request.
func (x *exchange) accountName() string {
	account := x.account.Load()
	if account == nil {
		return ""
	}
	return account.Name
}

// admitted reports whether the key may still be served as the account that the send names. It is
// asked right before a send's first byte: the process may have stood still since it was decided.
func (x *exchange) admitted() bool {
	named := x.accountName()
	if named == "" {
		return true
	}
	holder := x.g.keeper.View().Config.Account(x.meta.Key)
	return x.g.known.KeysCurrent() && holder != nil && holder.Name == named
}
