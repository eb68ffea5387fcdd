package gateway

import (
	"time"

	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
)

// Usage counts the requests that targets run for client accounts.
type Usage interface {
	// Ran counts a request of an account that a target began to run at the given time. An empty
	// account means an anonymous request.
	Ran(account string, at time.Time)
}

// identifyAccount looks up the client account that the request's key belongs to and fails if the
// route requires an account and the key belongs to none. A key that is unknown to the current view
// is looked up again in the newest configuration; see confirmedByNewest.
func (x *exchange) identifyAccount() error { return x.confirmedByNewest(x.identifyAccountInView) }

// identifyAccountInView is identifyAccount without the second lookup: only the configuration in
// x.view is used. Keys are accepted only while this VM is known to have every key revocation that
// must be in effect by now. A VM that was partitioned, frozen or suspended may have missed a
// revocation.
func (x *exchange) identifyAccountInView() error {
	cfg := x.view.Config
	if !cfg.RequiresKeys() {
		return nil
	}
	var account *fleet.Account
	current := x.g.freshness.KeysCurrent()
	if current {
		account = cfg.Account(x.meta.Key)
	}
	x.account.Store(account)
	switch {
	case x.route.Anonymous || account != nil:
		return nil
	case !current:
		return x.refusal(errkind.KeysUncertain, nil, "this VM does not know which keys were revoked recently")
	}
	return errkind.New(errkind.UnknownKey, "no client account has this key")
}

// accountName returns the name of the client account, or "" for an anonymous request.
func (x *exchange) accountName() string {
	account := x.account.Load()
	if account == nil {
		return ""
	}
	return account.Name
}

// keyStillValid reports whether the key still belongs to the account that the attempt is made for.
// It is checked right before the first byte is sent, because the process may have been paused since
// the account was looked up.
func (x *exchange) keyStillValid() bool {
	named := x.accountName()
	if named == "" {
		return true
	}
	holder := x.g.keeper.View().Config.Account(x.meta.Key)
	return x.g.freshness.KeysCurrent() && holder != nil && holder.Name == named
}
