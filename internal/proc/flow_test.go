package proc_test

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/proc"
	"garnethoist.org/garnethoist/internal/settings"
)

// load is a number of callers that send requests continuously: two in three callers read streams,
// the others make calls that may not be repeated, with idempotency keys. Every answer is checked.
// answered counts the requests that are over, failed ones included.
type load struct {
	h    *harness
	stop context.CancelFunc
	done sync.WaitGroup

	mu       sync.Mutex
	answered int
	failures []error
}

// startLoad starts the given number of callers, whose streams have the given number of tokens.
func (h *harness) startLoad(callers, tokens int) *load {
	vms := append([]proc.VM(nil), h.VMs...) // stays valid: restarts change processes, not addresses
	ctx, stop := context.WithCancel(h.ctx)
	f := &load{h: h, stop: stop}
	for caller := range callers {
		f.done.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				f.record(sendToReadyVM(h.ctx, vms, caller+i, func(entry settings.Addr) error {
					if caller%3 != 0 {
						return stream(h.ctx, entry, tokens)
					}
					return checkRenew(h.ctx, entry, fmt.Sprintf("renew-%d-%d", caller, i))
				}))
			}
		})
	}
	return f
}

// checkRenew makes a call with its body as the idempotency key and returns an error unless it was
// run.
func checkRenew(ctx context.Context, entry settings.Addr, body string) error {
	a, err := callRenew(ctx, entry, body, body)
	if err == nil && a.status != 201 {
		return errors.Errorf("%+v", a)
	}
	return err
}

// record counts a request that is over, with its error if it failed.
func (f *load) record(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered++
	if err != nil {
		f.failures = append(f.failures, err)
	}
}

func (f *load) answeredCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answered
}

// awaitAnswered waits until at least n requests were answered.
func (f *load) awaitAnswered(n int) {
	f.h.t.Helper()
	f.h.await(fmt.Sprintf("%d requests", n), func(context.Context) error {
		if got := f.answeredCount(); got < n {
			return errors.Errorf("%d served", got)
		}
		return nil
	})
}

// finish waits until at least this many requests were answered, stops the callers and checks that
// no request failed and that no engine received an order while it served.
func (f *load) finish(minAnswered int) {
	f.h.t.Helper()
	f.awaitAnswered(minAnswered)
	f.stop()
	f.done.Wait()
	for _, err := range f.failures {
		f.h.t.Errorf("a request failed: %v", err)
	}
	for i := range f.h.Engines {
		if n := f.h.engineCounts(i).Cut; n != 0 {
			f.h.t.Errorf("%s: an order cut %d streams", f.h.Engines[i].Name, n)
		}
	}
}

// sendToReadyVM calls send with the entry of a VM that reports itself ready, as the platform's load
// balancer does. It tries the VMs in turn, from the one with index first.
func sendToReadyVM(ctx context.Context, vms []proc.VM, first int, send func(settings.Addr) error) error {
	for i := 0; ctx.Err() == nil; i++ {
		vm := vms[(first+i)%len(vms)]
		if proc.Ready("http://"+string(vm.EntryAdmin)+"/readyz")(ctx) == nil {
			return send(vm.Callers)
		}
	}
	return ctx.Err()
}
