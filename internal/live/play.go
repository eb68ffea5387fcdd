package live

import (
	"context"
	"net/http"
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/internal/model"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// Callers wait for the next event of a stream for the longest of two seconds, four
	// objectives and eight of the pauses allowed (platform's pages).
	leastPatience      = 2 * time.Second
	patienceObjectives = 4
	patiencePauses     = 8
	// heededPart of the time that a caller has left is the most that it waits where it is told
	// when to come back: a third.
	heededPart = 3
	// tries is how often a caller asks.
	tries = 2
)

// play sends the day's requests when they are due and waits for their ends.
func (w *world) play(ctx context.Context) *Report {
	requests := model.GenerateRequests(w.cfg.Site, w.cfg.Day, w.cfg.Seed)
	report := newReport(w.cfg.Site)
	began := time.Now()
	var asked sync.WaitGroup
	for i, q := range requests {
		class := &w.cfg.Site.Classes[q.Class]
		if class.Plain {
			continue
		}
		kernel.Sleep(ctx, time.Until(began.Add(q.At)))
		if ctx.Err() != nil {
			break
		}
		asked.Go(func() {
			e, reply := w.ask(ctx, i, q, class)
			report.add(q, e, reply)
		})
	}
	asked.Wait()
	report.lag = w.fleet.Lag()
	return report
}

// ask has a caller send a request, and once more where it is refused.
func (w *world) ask(ctx context.Context, number int, q *model.Request, class *model.Class) (end, platformtest.LiveReply) {
	began := time.Now()
	limit := millis(class.DeadlineMS)
	patience := max(leastPatience, patienceObjectives*millis(class.AimMS), patiencePauses*millis(class.GapMS))
	for try := 0; ; try++ {
		sent := time.Since(began)
		reply := w.callers.Ask(ctx, platformtest.LiveCall{
			Address: string(w.vmOf(q, try).cfg.Listen), ID: tryID(number, try, q.Output), Route: class.Name, Prompt: q.Prompt,
			Bytes: q.Prompt.BodyBytes, Timeout: limit - sent, Patience: patience,
		})
		refused := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
		left := limit - time.Since(began)
		if refused && try+1 < tries && left > 0 {
			kernel.Sleep(ctx, min(reply.RetryAfter, left/heededPart))
			continue
		}
		return endOf(w.cfg.Site, q, class, reply, sent, refused), reply
	}
}

// vmOf is the VM of a request's caller: a retry reaches another one.
func (w *world) vmOf(q *model.Request, try int) *vm {
	first := 0
	for i, dc := range w.cfg.Site.DataCentres {
		if i == q.DataCentre {
			return w.vms[first+(q.Caller+try)%dc.VMs]
		}
		first += dc.VMs
	}
	return w.vms[0]
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
