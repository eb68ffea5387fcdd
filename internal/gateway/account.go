package gateway

import (
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
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
	x.account = nil
	cfg := x.view.Config
	if !cfg.Keyed() {
		return nil
	}
	current := x.g.known.KeysCurrent()
	if x.route.Anonymous {
		if current {
			x.account = cfg.Account(x.meta.Key)
		}
		return nil
	}
	if !current {
		return x.refusal(errkind.KeysUncertain, nil, "this VM does not know which keys were removed lately")
	}
	x.account = cfg.Account(x.meta.Key)
	if x.account == nil {
		return errkind.New(errkind.UnknownKey, "no client account has this key")
	}
	return nil
}

// accountName is the name of the client account, or empty for an anonymous request.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// admitted reports whether the key may still be served. It is asked right before a send's
// first byte: the process may have stood still since the send was decided.
func (x *exchange) admitted() bool {
	if x.account == nil {
		return true
	}
	cfg := x.g.keeper.View().Config
	return x.g.known.KeysCurrent() && cfg.Account(x.meta.Key) != nil
}
