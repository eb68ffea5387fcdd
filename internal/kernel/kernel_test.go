package kernel

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeModule is a module that records when it is started and stopped.
type fakeModule struct {
	name   string
	events *[]string
	err    error
}

func (p *fakeModule) Validate() error { return p.err }

func (p *fakeModule) Start(context.Context) error {
	*p.events = append(*p.events, "start "+p.name)
	return nil
}

func (p *fakeModule) Stop(context.Context) error {
	*p.events = append(*p.events, "stop "+p.name)
	return nil
}

// registerFake registers a fakeModule that depends on others.
func registerFake(k *Kernel, events *[]string, name string, needs ...string) {
	k.Register(name, func(k *Kernel) (any, error) {
		for _, n := range needs {
			if _, err := Get[*fakeModule](k, n); err != nil {
				return nil, err
			}
		}
		return &fakeModule{name: name, events: events}, nil
	})
}

var timeouts = Timeouts{Start: time.Second, Stop: time.Second}

func TestStartAndStopFollowDependencies(t *testing.T) {
	is := is.New(t)
	var events []string
	k := New()
	registerFake(k, &events, "edge.server", "store.table", "log")
	registerFake(k, &events, "store.table", "log")
	registerFake(k, &events, "log")
	registerFake(k, &events, "unused")
	app, err := k.App(timeouts, "edge.server")
	is.NoErr(err)
	is.Equal(len(events), 0) // nothing starts before everything is provisioned
	is.NoErr(app.Start(t.Context()))
	is.NoErr(app.Stop(t.Context()))
	is.Equal(strings.Join(events, ", "), "start log, start store.table, start edge.server, stop edge.server, stop store.table, stop log")
}

// TestAppErrors checks that a missing, cyclic, mistyped or invalid module is reported and that
// no module starts.
func TestAppErrors(t *testing.T) {
	cases := []struct {
		name  string
		build func(*Kernel, *[]string)
		want  string
	}{
		{"unknown", func(k *Kernel, n *[]string) { registerFake(k, n, "root", "nosuch") }, "module nosuch is not registered"},
		{"cycle", func(k *Kernel, n *[]string) { registerFake(k, n, "root", "b"); registerFake(k, n, "b", "root") }, "module root depends on itself"},
		{"wrong type", func(k *Kernel, _ *[]string) {
			k.Register("b", func(*Kernel) (any, error) { return 7, nil })
			k.Register("root", func(k *Kernel) (any, error) {
				g := &Getter{Kernel: k}
				Need[*fakeModule](g, "b")
				return nil, g.Err
			})
		}, "module b is a int"},
		{"invalid", func(k *Kernel, n *[]string) {
			k.Register("root", func(*Kernel) (any, error) { return &fakeModule{name: "root", events: n, err: errors.New("wrong")}, nil })
		}, "validate root: wrong"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var events []string
			k := New()
			c.build(k, &events)
			_, err := k.App(timeouts, "root")
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
			is.Equal(len(events), 0)
		})
	}
}
