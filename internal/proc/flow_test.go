package proc_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
)

// flow is callers that keep asking: two in three for a stream, the others for
// a keyed call that may not be repeated. Every answer is checked.
type flow struct {
	w    *world
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	served   int
	failures []error
}

// startFlow starts callers that ask for streams of a number of tokens.
func (w *world) startFlow(callers, tokens int) *flow {
	vms := append([]proc.VM(nil), w.VMs...) // the addresses stay, the processes change
	ctx, stop := context.WithCancel(w.ctx)
	f := &flow{w: w, stop: stop}
	for caller := range callers {
		f.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				f.note(balanced(w.ctx, vms, caller+i, func(entry settings.Addr) error {
					if caller%3 != 0 {
						return stream(w.ctx, entry, tokens)
					}
					return renewOnce(w.ctx, entry, fmt.Sprintf("renew-%d-%d", caller, i))
				}))
			}
		})
	}
	return f
}

func renewOnce(ctx context.Context, entry settings.Addr, body string) error {
	a, err := renew(ctx, entry, body, body)
	if err == nil && a.status != 201 {
		return errors.Errorf("%+v", a)
	}
	return err
}

func (f *flow) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.served++
	if err != nil {
		f.failures = append(f.failures, err)
	}
}

func (f *flow) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.served
}

func (f *flow) untilServed(n int) {
	f.w.t.Helper()
	f.w.until(fmt.Sprintf("%d requests", n), func(context.Context) error {
		if got := f.count(); got < n {
			return errors.Errorf("%d served", got)
		}
		return nil
	})
}

// end waits for the last answers: at least this many came, none failed, and no
// engine was ordered while it served.
func (f *flow) end(least int) {
	f.w.t.Helper()
	f.untilServed(least)
	f.stop()
	f.done.Wait()
	for _, err := range f.failures {
		f.w.t.Errorf("a request failed: %v", err)
	}
	for i := range f.w.Engines {
		if n := f.w.counts(i).Cut; n != 0 {
			f.w.t.Errorf("%s: an order cut %d streams", f.w.Engines[i].Name, n)
		}
	}
}

// balanced does what the platform's balancer does: it sends a request to an
// entry that shows itself ready.
func balanced(ctx context.Context, vms []proc.VM, first int, send func(settings.Addr) error) error {
	for i := 0; ctx.Err() == nil; i++ {
		vm := vms[(first+i)%len(vms)]
		if proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz")(ctx) == nil {
			return send(vm.Callers)
		}
	}
	return ctx.Err()
}
