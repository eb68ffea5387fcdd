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
	// A caller waits for the next event of a stream for the longest of minPatience,
	// patienceObjectives times the latency objective of its class and patienceGaps times the
	// allowed gap between events, per the platform's documentation.
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// A refused caller retries after the time that the response names, but waits for at most
	// its remaining time divided by retryWaitDivisor: a third.
	retryWaitDivisor = 3
	// maxTries is how many times a caller sends a request at most.
	maxTries = 2
)

// playDay sends the day's requests when they are due and waits until all have ended.
func (h *harness) playDay(ctx context.Context) *Report {
	requests := model.GenerateRequests(h.cfg.Site, h.cfg.Day, h.cfg.Seed)
	report := newReport(h.cfg.Site)
	began := time.Now()
	var running sync.WaitGroup
	for i, q := range requests {
		class := &h.cfg.Site.Classes[q.Class]
		if class.Plain {
			continue
		}
		kernel.Sleep(ctx, time.Until(began.Add(q.At)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() {
			e, reply := h.ask(ctx, i, q, class)
			report.add(q, e, reply)
		})
	}
	running.Wait()
	report.maxLag = h.fleet.Lag()
	return report
}

// ask sends a request of a caller, and retries once if it is refused. It returns the outcome and
// the last reply.
func (h *harness) ask(ctx context.Context, number int, q *model.Request, class *model.Class) (outcome, platformtest.LiveResult) {
	began := time.Now()
	limit := millis(class.DeadlineMS)
	patience := max(minPatience, patienceObjectives*millis(class.AimMS), patienceGaps*millis(class.GapMS))
	for try := 0; ; try++ {
		sent := time.Since(began)
		reply := h.callers.Do(ctx, platformtest.LiveCall{
			Address: string(h.callerVM(q, try).cfg.Listen), ID: tryID(number, try, q.Output), Route: class.Name, Prompt: q.Prompt,
			Bytes: q.Prompt.BodyBytes, Timeout: limit - sent, Patience: patience,
		})
		refused := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
		left := limit - time.Since(began)
		if refused && try+1 < maxTries && left > 0 {
			kernel.Sleep(ctx, min(reply.RetryAfter, left/retryWaitDivisor))
			continue
		}
		return outcomeOf(h.cfg.Site, q, class, reply, sent, refused), reply
	}
}

// callerVM returns the VM that serves a try of a request. A retry reaches another VM of the data
// centre.
func (h *harness) callerVM(q *model.Request, try int) *vm {
	first := 0
	for i, dc := range h.cfg.Site.DataCentres {
		if i == q.DataCentre {
			return h.vms[first+(q.Caller+try)%dc.VMs]
		}
		first += dc.VMs
	}
	return h.vms[0]
}

// millis converts milliseconds to a Duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
