package gateway

import (
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
)

// fakeFreshness is the ConfigFreshness of a VM that has the newest configuration. Its method
// KeysCurrent returns the field keysCurrent.
type fakeFreshness struct {
	upToDate
	keysCurrent bool
}

// KeysCurrent implements ConfigFreshness.
func (k *fakeFreshness) KeysCurrent() bool { return k.keysCurrent }

// keyedExchange returns a request with the given key, and the ConfigFreshness of its gateway. The
// configuration has one account "a" with the key "k". anonymous says that the route requires no
// key.
func keyedExchange(t *testing.T, key string, anonymous bool) (*exchange, *fakeFreshness) {
	t.Helper()
	config := fleet.NewConfig(1, nil, nil, fleet.Limits{})
	if err := config.SetAccounts([]*fleet.Account{{Name: "a", Keys: []string{"k"}}}); err != nil {
		t.Fatal(err)
	}
	keeper := fleet.NewKeeper()
	keeper.SetConfig(config)
	freshness := &fakeFreshness{keysCurrent: true}
	g := &Gateway{keeper: keeper, freshness: freshness}
	return &exchange{
		g: g, r: httptest.NewRequest("GET", "/", nil), view: keeper.View(), route: &fleet.Route{Anonymous: anonymous}, meta: Meta{Key: key},
	}, freshness
}

// A plain request is sent to a second target if the response of the first target is overdue. Both
// attempts then look up the account of the key at the same time. Neither may find the request
// without an account while the other attempt replaces it.
func TestAccountLookupDuringConcurrentAttempt(t *testing.T) {
	is := is.New(t)
	x, _ := keyedExchange(t, "k", false)
	is.NoErr(x.identifyAccount())
	var first sync.WaitGroup
	first.Go(func() {
		for range 1000 {
			if x.accountName() != "a" || !x.keyStillValid() {
				t.Error("the account was missing")
				return
			}
		}
	})
	for range 1000 {
		if err := x.identifyAccount(); err != nil {
			t.Error(err)
			break
		}
	}
	first.Wait()
}

// An attempt must not be sent if the key was revoked after the attempt was decided on.
func TestAttemptIsWithheldAfterKeyRevocation(t *testing.T) {
	is := is.New(t)
	x, freshness := keyedExchange(t, "k", false)
	is.NoErr(x.identifyAccount())
	is.True(x.keyStillValid())
	freshness.keysCurrent = false
	is.True(!x.keyStillValid())
	freshness.keysCurrent = true
	next := fleet.NewConfig(2, nil, nil, fleet.Limits{})
	is.NoErr(next.SetAccounts(nil))
	x.g.keeper.SetConfig(next)
	is.True(!x.keyStillValid())
	reassigned := fleet.NewConfig(3, nil, nil, fleet.Limits{})
	is.NoErr(reassigned.SetAccounts([]*fleet.Account{{Name: "b", Keys: []string{"k"}}}))
	x.g.keeper.SetConfig(reassigned)
	is.True(!x.keyStillValid()) // the attempt names the account that had the key before
}

// On a route that requires no key, a request with an unknown key, or with one that this VM may not
// accept at present, is anonymous.
func TestAnonymousRequestsNeedNoKey(t *testing.T) {
	is := is.New(t)
	for key, name := range map[string]string{"": "", "other": "", "k": "a"} {
		x, freshness := keyedExchange(t, key, true)
		is.NoErr(x.identifyAccount())
		is.Equal(x.accountName(), name)
		freshness.keysCurrent = false
		is.NoErr(x.identifyAccount())
		is.Equal(x.accountName(), "")
		is.True(x.keyStillValid())
	}
}
