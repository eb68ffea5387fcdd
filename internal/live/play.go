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
	// 1/retryWaitDivisor of its remaining time.
	retryWaitDivisor = 3
	// maxAttempts is the maximum number of times that a caller sends a request.
	maxAttempts = 2
)

// playDay sends the day's requests when they are due, except plain ones, and waits until all have
// ended.
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
			o, response := h.ask(ctx, i, q, class)
			report.add(q, o, response)
		})
	}
	running.Wait()
	report.maxLag = h.fleet.Lag()
	return report
}

// ask sends a request of a caller, and retries once if it is refused. number identifies the
// request in its ids. It returns the outcome and the response to the last attempt.
func (h *harness) ask(ctx context.Context, number int, q *model.Request, class *model.Class) (outcome, platformtest.LiveResult) {
	began := time.Now()
	limit := millis(class.DeadlineMS)
	patience := max(minPatience, patienceObjectives*millis(class.AimMS), patienceGaps*millis(class.GapMS))
	for attempt := 0; ; attempt++ {
		sent := time.Since(began)
		response := h.callers.Do(ctx, platformtest.LiveCall{
			Address: string(h.callerVM(q, attempt).cfg.Listen), ID: attemptID(number, attempt, q.Output), Route: class.Name, Prompt: q.Prompt,
			Bytes: q.Prompt.BodyBytes, Timeout: limit - sent, Patience: patience,
		})
		refused := response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests
		left := limit - time.Since(began)
		if refused && attempt+1 < maxAttempts && left > 0 {
			kernel.Sleep(ctx, min(response.RetryAfter, left/retryWaitDivisor))
			continue
		}
		return outcomeOf(h.cfg.Site, q, class, response, sent, refused), response
	}
}

// callerVM returns the VM that serves an attempt of a request, counted from 0. A retry reaches
// another VM of the data centre, if it has more than one.
func (h *harness) callerVM(q *model.Request, attempt int) *vm {
	first := 0
	for i, dc := range h.cfg.Site.DataCentres {
		if i == q.DataCentre {
			return h.vms[first+(q.Caller+attempt)%dc.VMs]
		}
		first += dc.VMs
	}
	return h.vms[0]
}

// millis converts milliseconds to a Duration.
func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
