// Package kernel assembles every garnethoist program from modules. Modules are registered under
// dotted names and look each other up by name, which determines the order in which they are
// provisioned. The life cycle of a module is: provision, validate, start, stop. Start and stop
// are run by uber/fx.
package kernel

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
)

// Factory creates a module. It may call Get for the modules that it depends on. It must not start
// a goroutine, open a listener or make a connection; that is left to Start.
type Factory func(k *Kernel) (any, error)

// Validator is a module that checks its configuration. Validate is called before any module
// starts; an error prevents the start of the program.
type Validator interface {
	Validate() error
}

// Starter is a module that needs to be started. Start must return soon. Its goroutines must not
// use ctx, which ends with the start phase.
type Starter interface {
	Start(ctx context.Context) error
}

// Stopper is a module that needs to be stopped. Stop ends everything that the module started, and
// returns once it has ended.
type Stopper interface {
	Stop(ctx context.Context) error
}

// Kernel holds the modules of a program. It is not safe for concurrent use.
type Kernel struct {
	factories map[string]Factory
	// modules holds the modules that have been provisioned.
	modules map[string]any
	// pending holds the names of the modules that are being provisioned, to detect cycles.
	pending map[string]bool
	// startOrder lists the names of the provisioned modules, each after those that it depends
	// on.
	startOrder []string
}

// New returns a kernel without modules.
func New() *Kernel {
	return &Kernel{
		factories: make(map[string]Factory),
		modules:   make(map[string]any),
		pending:   make(map[string]bool),
	}
}

// Register registers a module under a dotted name. It panics if the name is already registered.
func (k *Kernel) Register(name string, f Factory) {
	if _, dup := k.factories[name]; dup {
		panic("kernel: module registered twice: " + name)
	}
	k.factories[name] = f
}

// Get returns the module called name and provisions it first if necessary. It fails if the name
// is not registered, if the module depends on itself, if its factory fails, or if it is not of
// type T.
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

// provision returns the module called name, after creating it if necessary.
func (k *Kernel) provision(name string) (any, error) {
	if m, ok := k.modules[name]; ok {
		return m, nil
	}
	f, ok := k.factories[name]
	if !ok {
		return nil, errors.Errorf("module %s is not registered", name)
	}
	if k.pending[name] {
		return nil, errors.Errorf("module %s depends on itself", name)
	}
	k.pending[name] = true
	defer delete(k.pending, name)
	m, err := f(k)
	if err != nil {
		return nil, errors.Wrapf(err, "provision %s", name)
	}
	k.modules[name] = m
	k.startOrder = append(k.startOrder, name)
	return m, nil
}

// Timeouts limits the duration of the start phase and of the stop phase, each for all modules
// together.
type Timeouts struct {
	Start time.Duration
	Stop  time.Duration
}

// App provisions and validates the root modules and everything that they depend on, and returns
// the fx application that starts and stops them. Modules start after those that they depend on
// and stop in reverse order.
func (k *Kernel) App(t Timeouts, roots ...string) (*fx.App, error) {
	for _, name := range roots {
		if _, err := k.provision(name); err != nil {
			return nil, err
		}
	}
	for _, name := range k.startOrder {
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

// appendHooks adds the start and stop of all provisioned modules to the life cycle.
func (k *Kernel) appendHooks(lc fx.Lifecycle) {
	for _, name := range k.startOrder {
		lc.Append(hook(name, k.modules[name]))
	}
}

// hook returns the life cycle hook of a module: it starts a Starter and stops a Stopper.
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

// Getter keeps the first error of several lookups with Need, so that a factory has to check for
// errors only once.
type Getter struct {
	Kernel *Kernel
	// Err is the first error, or nil.
	Err error
}

// Need returns the module called name. On failure it records the error in g and returns the zero
// value of T.
func Need[T any](g *Getter, name string) T {
	v, err := Get[T](g.Kernel, name)
	if err != nil && g.Err == nil {
		g.Err = err
	}
	return v
}
