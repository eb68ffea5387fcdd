package gateway

import (
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
)

// keysKnown says whether keys may be served.
type keysKnown struct {
	newest
	current bool
}

func (k *keysKnown) KeysCurrent() bool { return k.current }

// keyedExchange is a request with a key on a route, before a configuration with one account.
func keyedExchange(t *testing.T, key string, anonymous bool) (*exchange, *keysKnown) {
	t.Helper()
	config := fleet.NewConfig(1, nil, nil, fleet.Limits{})
	if err := config.SetAccounts([]*fleet.Account{{Name: "a", Keys: []string{"k"}}}); err != nil {
		t.Fatal(err)
	}
	keeper := fleet.NewKeeper()
	keeper.SetConfig(config)
	known := &keysKnown{current: true}
	g := &Gateway{keeper: keeper, known: known}
	return &exchange{
		g: g, r: httptest.NewRequest("GET", "/", nil), view: keeper.View(), route: &fleet.Route{Anonymous: anonymous}, meta: Meta{Key: key},
	}, known
}

// A plain request is sent to a second target beside an overdue first one: both look the key up,
// and neither is without it meanwhile.
func TestAccountIsLookedUpBesideASend(t *testing.T) {
	is := is.New(t)
	x, _ := keyedExchange(t, "k", false)
	is.NoErr(x.identify())
	var first sync.WaitGroup
	first.Go(func() {
		for range 1000 {
			if x.accountName() != "a" || !x.admitted() {
				t.Error("the account was not there")
				return
			}
		}
	})
	for range 1000 {
		if err := x.identify(); err != nil {
			t.Error(err)
			break
		}
	}
	first.Wait()
}

// A key that was removed since a send was decided withholds it.
func TestSendIsWithheldWithoutItsKey(t *testing.T) {
	is := is.New(t)
	x, known := keyedExchange(t, "k", false)
	is.NoErr(x.identify())
	is.True(x.admitted())
	known.current = false
	is.True(!x.admitted())
	known.current = true
	next := fleet.NewConfig(2, nil, nil, fleet.Limits{})
	is.NoErr(next.SetAccounts(nil))
	x.g.keeper.SetConfig(next)
	is.True(!x.admitted())
	passed := fleet.NewConfig(3, nil, nil, fleet.Limits{})
	is.NoErr(passed.SetAccounts([]*fleet.Account{{Name: "b", Keys: []string{"k"}}}))
	x.g.keeper.SetConfig(passed)
	is.True(!x.admitted()) // the send names the account that held the key before
}

func TestAnonymousRequestsNeedNoKey(t *testing.T) {
	is := is.New(t)
	for key, name := range map[string]string{"": "", "other": "", "k": "a"} {
		x, known := keyedExchange(t, key, true)
		is.NoErr(x.identify())
		is.Equal(x.accountName(), name)
		known.current = false
		is.NoErr(x.identify())
		is.Equal(x.accountName(), "")
		is.True(x.admitted())
	}
}
