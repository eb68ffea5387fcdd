package model

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Live runs simulated engines on the wall clock, for test servers that real processes connect to.
// All engines share one virtual clock, which follows the host's clock and runs each timer at its
// exact virtual time even if it is late. A busy host therefore delays events, but makes no engine
// slower than its figures.
type Live struct {
	spec  Engine
	start time.Time
	// wakeup wakes the goroutine that runs the clock.
	wakeup    chan struct{}
	done      chan struct{}
	clockDone sync.WaitGroup

	// mu protects the fields below and the state of the engines and their sequences.
	mu      sync.Mutex
	clock   clock
	engines map[string]*engine
	tokens  TokenCounts
	// maxLag is the longest time by which a timer has run late on the host's clock.
	maxLag time.Duration
}

// Job is one request to a live engine.
type Job struct {
	Prompt   *place.Prompt
	Priority int
	// Output is the number of tokens of the whole answer, and Seen the number of its events
	// that the caller has received already.
	Output int
	Seen   int
	// Limit is how long the engine may work on the job.
	Limit time.Duration
	// PrefillOnly says that the prompt is prefilled and kept for another engine.
	PrefillOnly bool
	// From is the run by which another engine has prefilled and kept the prompt, or nil.
	From *LiveRun
}

// Progress is one step in the progress of a LiveRun. Exactly one of Prefilled, Event and Dropped is
// set.
type Progress struct {
	// Prefilled says that the prompt is prefilled; another engine can fetch it now.
	Prefilled bool
	// Event is the number of the produced event, from 1, and Last says that it is the last.
	Event int
	Last  bool
	// Dropped says that the engine has dropped the job.
	Dropped bool
}

// LiveRun is a job that has been submitted to an engine.
type LiveRun struct {
	// Progress receives the progress of the job. It is never closed.
	Progress chan Progress

	live   *Live
	engine *engine
	seq    *sequence
	// hasHandle says that the prompt is prefilled and the engine keeps it for another one.
	hasHandle bool
}

// NewLive returns a Live without engines and starts its clock. Engines that are added have the
// given figures.
func NewLive(figures Engine) *Live {
	l := &Live{spec: figures, start: time.Now(), wakeup: make(chan struct{}, 1), done: make(chan struct{}), engines: make(map[string]*engine)}
	l.clockDone.Go(l.runClock)
	return l
}

// Close stops the clock and waits until it has stopped. It must be called once.
func (l *Live) Close() {
	close(l.done)
	l.clockDone.Wait()
}

// idleWait is how long the clock waits if no timer is pending.
const idleWait = time.Second

// runClock runs the timers as the host's clock advances, until Close.
func (l *Live) runClock() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.catchUp()
		wait := idleWait
		if len(l.clock.queue) > 0 {
			wait = l.clock.queue[0].at - time.Since(l.start)
		}
		l.mu.Unlock()
		timer.Reset(max(wait, 0))
		select {
		case <-timer.C:
		case <-l.wakeup:
		case <-l.done:
			return
		}
	}
}

// catchUp runs the timers that are due. The caller must hold l.mu.
func (l *Live) catchUp() {
	now := time.Since(l.start)
	if len(l.clock.queue) > 0 {
		l.maxLag = max(l.maxLag, now-l.clock.queue[0].at)
	}
	l.clock.runUntil(now)
	l.clock.now = max(l.clock.now, now)
}

// Lag returns the longest time by which a timer has run late so far, as happens on a busy host.
func (l *Live) Lag() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxLag
}

// wakeClock has runClock recompute the wait until the next timer.
func (l *Live) wakeClock() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// Add adds an engine whose work takes factor times as long as its figures say.
func (l *Live) Add(t *fleet.Target, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[t.ID] = &engine{
		target: t, spec: &l.spec, timeFactor: factor, clock: &l.clock,
		cache: newKVCache(l.spec.KVTokens), tokens: &l.tokens,
	}
}

// Stage returns an engine's stage, and whether it is about to change.
func (l *Live) Stage(id string) (stage fleet.Stage, changing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[id]
	return e.target.Stage, e.changing
}

// ChangeStage orders an engine to complete its work and change its stage, and returns at once.
// After the change, then is called in a goroutine of its own.
func (l *Live) ChangeStage(id string, stage fleet.Stage, then func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	e := l.engines[id]
	e.changing, e.nextStage = true, stage
	l.switchWhenIdle(e, then)
	l.wakeClock()
}

// switchWhenIdle changes the engine's stage once it is idle, without blocking until then. The
// caller must hold l.mu.
func (l *Live) switchWhenIdle(e *engine, then func()) {
	if e.busySlots()+len(e.waiting) > 0 {
		l.clock.after(idlePollInterval, func() { l.switchWhenIdle(e, then) })
		return
	}
	l.clock.after(seconds(l.spec.SwitchS), func() {
		t := *e.target
		t.Stage = e.nextStage
		e.target, e.changing = &t, false
		go then()
	})
}

// Submit submits a job to an engine. It returns nil if the engine's queue is full or the engine is
// changing its stage. A job with From is queued after the transfer of its KV cache. It is dropped
// if the queue is full at the end of the transfer.
func (l *Live) Submit(id string, j Job) *LiveRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	e := l.engines[id]
	if e.changing {
		return nil
	}
	events := j.Output / l.spec.EventTokens
	run := &LiveRun{live: l, engine: e, Progress: make(chan Progress, events+extraProgress)}
	run.seq = &sequence{
		prompt: j.Prompt, priority: j.Priority, prefillOnly: j.PrefillOnly, observer: run,
		output: l.tokensForEvents(events), produced: l.tokensForEvents(j.Seen), expiresAt: l.clock.now + j.Limit,
	}
	if j.From != nil {
		l.fetchKV(run, j.From, j.Prompt.Tokens)
	}
	if run.seq.readyAt > l.clock.now {
		l.clock.at(run.seq.readyAt, func() { l.enqueue(run) })
	} else if !e.submit(run.seq) {
		return nil
	}
	l.clock.at(run.seq.expiresAt, e.wake)
	l.wakeClock()
	return run
}

// tokensForEvents returns the number of tokens in an answer's first events. The first event holds
// one token.
func (l *Live) tokensForEvents(events int) int {
	if events == 0 {
		return 0
	}
	return 1 + (events-1)*l.spec.EventTokens
}

// extraProgress is the buffer space of LiveRun.Progress for steps other than events.
const extraProgress = 4

// enqueue queues a job whose KV cache has arrived. The caller must hold l.mu.
func (l *Live) enqueue(r *LiveRun) {
	if !r.engine.submit(r.seq) {
		r.dropped(false)
	}
}

// fetchKV schedules the transfer of a prompt's KV cache from the engine that prefilled it, and sets
// readyAt to the end of the transfer. tokens is the length of the prompt. The caller must hold
// l.mu.
func (l *Live) fetchKV(to, from *LiveRun, tokens int) {
	begin := max(l.clock.now, from.engine.linkFreeAt, to.engine.linkFreeAt)
	ms := l.spec.SetupMS + float64(tokens)*l.spec.KVTokenBytes*8/(l.spec.LinkMbps*thousand)
	if from.engine.target.DataCentre != to.engine.target.DataCentre {
		ms *= remoteTransferFactor
	}
	end := begin + millis(ms)
	from.engine.linkFreeAt, to.engine.linkFreeAt = end, end
	to.seq.fetched, to.seq.readyAt = true, end
	l.clock.at(end, func() { from.engine.freeHandle(from.seq) })
}

// Cancel ends the job and frees the KV cache that its engine keeps for another one.
func (r *LiveRun) Cancel() {
	l := r.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	if r.hasHandle {
		r.engine.freeHandle(r.seq)
	}
	r.seq.expiresAt = l.clock.now
	r.engine.wake()
	l.wakeClock()
}

// notify reports progress without blocking.
func (r *LiveRun) notify(p Progress) {
	select {
	case r.Progress <- p:
	default:
		// The buffer is full only because the prompt of a preempted sequence is prefilled more than
		// once. The receiver has been told of the first prefill already.
	}
}

// prefilled implements sequenceObserver.
func (r *LiveRun) prefilled(int) {
	r.hasHandle = r.seq.prefillOnly
	r.notify(Progress{Prefilled: true})
}

// eventProduced implements sequenceObserver.
func (r *LiveRun) eventProduced(n int, last bool) { r.notify(Progress{Event: n, Last: last}) }

// dropped implements sequenceObserver.
func (r *LiveRun) dropped(bool) { r.notify(Progress{Dropped: true}) }

// Crash ends an engine for good: all of its jobs are dropped, and it accepts no new ones.
func (l *Live) Crash(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	l.engines[id].crash()
}

// Pause has an engine begin no step for d.
func (l *Live) Pause(id string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	l.engines[id].pausedUntil = l.clock.now + d
}

// SetFactor changes by which factor an engine's work takes longer than its figures say, from its
// next step on.
func (l *Live) SetFactor(id string, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[id].timeFactor = factor
}
