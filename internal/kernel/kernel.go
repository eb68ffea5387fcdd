// Package kernel is the micro-kernel of every garnethoist program. It knows
// only module names and a life cycle: provision, validate, start, stop.
// Modules register under a dotted name and find each other by that name
// through Get; the dependency graph is resolved on first use. The life cycle
// is run by uber/fx.
package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Factory provisions a module. It may call Get for the modules it needs, but
// must start nothing: no goroutine, listener or connection before Start.
type Factory func(k *Kernel) (any, error)

// Validator is a module that can refuse its configuration before any module
// has started.
type Validator interface {
	Validate() error
}

// Starter is a module with something to start. Start must return soon; it
// must not tie a goroutine to ctx, which ends when the start phase ends.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module that waits in Stop for everything it started.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds a program's modules. It is built by one goroutine and is not
// safe for concurrent use until Run.
type Kernel struct {
	factories map[string]Factory
	modules   map[string]any
	pending   map[string]bool
	// order lists names in the order in which their provision ended, which is
	// the order to start them.
	order []string
}

// New returns an empty kernel.
func New() *Kernel {
	return &Kernel{
		factories: make(map[string]Factory),
		modules:   make(map[string]any),
		pending:   make(map[string]bool),
	}
}

// Register adds a module under a dotted name. A name registered twice is an
// error in the program and panics.
func (k *Kernel) Register(name string, f Factory) {
	if _, dup := k.factories[name]; dup {
		panic("kernel: module registered twice: " + name)
	}
	k.factories[name] = f
}

// Get returns the module called name, provisioning it if need be. It fails on
// an unknown name, a cycle, or a module of another type than T.
func Get[T any](k *Kernel, name string) (T, error) {
	var zero T
	m, err := k.provision(name)
	if err != nil {
		return zero, err
	}
	t, ok := m.(T)
	if !ok {
		return zero, errors.Errorf("module %s is a %T, not a %T", name, m, &zero)
	}
	return t, nil
}

func (k *Kernel) provision(name string) (any, error) {
	if m, ok := k.modules[name]; ok {
		return m, nil
	}
	f, ok := k.factories[name]
	if !ok {
		return nil, errors.Errorf("no module is called %s", name)
	}
	if k.pending[name] {
		return nil, errors.Errorf("module %s needs itself", name)
	}
	k.pending[name] = true
	defer delete(k.pending, name)
	m, err := f(k)
	if err != nil {
		return nil, errors.Wrapf(err, "provision %s", name)
	}
	k.modules[name] = m
	k.order = append(k.order, name)
	return m, nil
}

// Timeouts bound the start and stop phases.
type Timeouts struct {
	Start time.Duration
	Stop  time.Duration
}

// App builds the fx application of the named root modules and all that they
// need. Every module has been provisioned and validated when it returns.
func (k *Kernel) App(t Timeouts, roots ...string) (*fx.App, error) {
	for _, name := range roots {
		if _, err := k.provision(name); err != nil {
			return nil, err
		}
	}
	for _, name := range k.order {
		if v, ok := k.modules[name].(Validator); ok {
			if err := v.Validate(); err != nil {
				return nil, errors.Wrapf(err, "validate %s", name)
			}
		}
	}
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(t.Start),
		fx.StopTimeout(t.Stop),
		fx.Invoke(k.appendHooks),
	)
	return app, app.Err()
}

func (k *Kernel) appendHooks(lc fx.Lifecycle) {
	for _, name := range k.order {
		lc.Append(hook(name, k.modules[name]))
	}
}

func hook(name string, module any) fx.Hook {
	var h fx.Hook
	if s, ok := module.(Starter); ok {
		h.OnStart = func(ctx context.Context) error {
			return errors.Wrapf(s.Start(ctx), "start %s", name)
		}
	}
	if s, ok := module.(Stopper); ok {
		h.OnStop = func(ctx context.Context) error {
			return errors.Wrapf(s.Stop(ctx), "stop %s", name)
		}
	}
	return h
}

// Getter gathers the first error of several lookups, so that a factory can
// look up all that it needs and check once.
type Getter struct {
	Kernel *Kernel
	Err    error
}

// Need returns the module called name, or the zero T after noting the error.
func Need[T any](g *Getter, name string) T {
	v, err := Get[T](g.Kernel, name)
	if err != nil && g.Err == nil {
		g.Err = err
	}
	return v
}
