package gateway

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
	"garnethoist.org/garnethoist/internal/quarantine"
	"garnethoist.org/garnethoist/internal/store"
	"garnethoist.org/garnethoist/internal/telemetry"
)

// soloVM is the Group and the place.PeerWork of a VM without other VMs.
type soloVM struct{}

func (soloVM) Size() int               { return 1 }
func (soloVM) Owns([]byte) bool        { return true }
func (soloVM) Joined() <-chan struct{} { return nil }

func (soloVM) Work(string) place.Work { return place.Work{} }

func (soloVM) Age() time.Duration { return time.Second }

// upToDate is the ConfigFreshness of a VM that has the newest configuration.
type upToDate struct{}

func (upToDate) Confirmed(context.Context) bool { return true }
func (upToDate) Behind() bool                   { return false }
func (upToDate) KeysCurrent() bool              { return true }

// The gateway must report not ready before it listens for callers and after it has stopped.
func TestReadyOnlyWhileListening(t *testing.T) {
	is := is.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	keeper := fleet.NewKeeper()
	is.True(keeper.SetConfig(fleet.NewConfig(1, nil, []*fleet.Service{{Name: "s"}}, fleet.Limits{})))
	keeper.ApplyTargets([]fleet.TargetChange{{ID: "i-a", Target: &fleet.Target{ID: "i-a", Service: "s"}}}, 1)
	is.True(keeper.View().Usable())
	log := telemetry.NewLogger(&bytes.Buffer{}, "test", "vm-1")
	client := httpsend.New(httpsend.Config{DialTimeout: time.Second, MaxIdleTime: time.Second})
	suspects := quarantine.NewKeeper(store.NewMemory(), log, time.Now)
	g := New(Options{
		Quarantine: suspects,
		Listen:     taken.Addr().String(), Descriptors: unlimitedDescriptors, Keeper: keeper, Group: soloVM{}, Freshness: upToDate{},
		Placer: place.New(place.DefaultConfig("a"), soloVM{}, nil), Client: client, Log: log,
	}, Limits{Grace: 500 * time.Millisecond})
	is.True(g.Ready() != "") // not started
	is.True(g.Start(context.Background()) != nil)
	is.True(g.Ready() != "") // the address is in use
	is.NoErr(taken.Close())
	is.NoErr(g.Start(context.Background()))
	is.True(g.Ready() != "") // it is not known which requests crash targets
	suspects.SetKnown()
	is.Equal(g.Ready(), "")
	is.NoErr(g.Stop(context.Background()))
	is.True(g.Ready() != "")
}
