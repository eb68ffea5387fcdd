package kernel

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// fakeModule is a module that records in events when it is started and stopped. Validate returns
// err.
type fakeModule struct {
	name   string
	events *[]string
	err    error
}

// Validate implements Validator.
func (m *fakeModule) Validate() error { return m.err }

// Start implements Starter.
func (m *fakeModule) Start(context.Context) error {
	*m.events = append(*m.events, "start "+m.name)
	return nil
}

// Stop implements Stopper.
func (m *fakeModule) Stop(context.Context) error {
	*m.events = append(*m.events, "stop "+m.name)
	return nil
}

// registerFake registers a fakeModule that depends on the modules called needs.
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

// timeouts are the timeouts of the tests, which none should reach.
var timeouts = Timeouts{Start: time.Second, Stop: time.Second}

// TestStartAndStopFollowDependencies checks that modules start after those that they depend on and
// stop in reverse order, and that a module on which no root depends does not start.
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
