package model

import (
	"sync"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

// Live runs engines on the wall clock, behind stand-ins that real processes speak to. All
// engines share one clock of their own. It catches up with the host's after each delay, so
// that a busy host makes events late and no engine slower than its figures.
type Live struct {
	figures Engine
	began   time.Time
	// changed wakes the goroutine that runs the clock.
	changed chan struct{}
	done    chan struct{}
	stopped sync.WaitGroup

	mu      sync.Mutex
	clock   clock
	engines map[string]*engine
	reads   Reads
	// lag is the most that the clock has been behind the host's.
	lag time.Duration
}

// Job is one request for a live engine.
type Job struct {
	Prompt   *place.Prompt
	Priority int
	// Output is the tokens of the whole answer, and Seen the events that its caller has.
	Output int
	Seen   int
	// Limit is how long the engine may work on it.
	Limit time.Duration
	// PrefillOnly says that the prompt is read and kept for another engine.
	PrefillOnly bool
	// From is the prompt that another engine has read and keeps, or nil.
	From *LiveRun
}

// Progress is one step of a live run: one of its fields is set.
type Progress struct {
	// Read says that the prompt is read: other engines may go on from it.
	Read bool
	// Event is the number of the event that was made, from 1; Last says that it is the last.
	Event int
	Last  bool
	// Dropped says that the engine gave the run up.
	Dropped bool
}

// LiveRun is a job at an engine.
type LiveRun struct {
	// Progress tells what becomes of it. It is never closed.
	Progress chan Progress

	live   *Live
	engine *engine
	run    *run
	// kept says that a prompt is read and kept for another engine.
	kept bool
}

// NewLive returns running engines' clock, with no engines yet.
func NewLive(figures Engine) *Live {
	l := &Live{figures: figures, began: time.Now(), changed: make(chan struct{}, 1), done: make(chan struct{}), engines: make(map[string]*engine)}
	l.stopped.Go(l.runClock)
	return l
}

// Close stops the clock.
func (l *Live) Close() {
	close(l.done)
	l.stopped.Wait()
}

// longWait is the wait for events where none is due.
const longWait = time.Second

// runClock runs what is due, as the host's clock goes on.
func (l *Live) runClock() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		l.mu.Lock()
		l.catchUp()
		wait := longWait
		if len(l.clock.queue) > 0 {
			wait = l.clock.queue[0].at - time.Since(l.began)
		}
		l.mu.Unlock()
		timer.Reset(max(wait, 0))
		select {
		case <-timer.C:
		case <-l.changed:
		case <-l.done:
			return
		}
	}
}

// catchUp runs what is due by now; the caller holds l.mu.
func (l *Live) catchUp() {
	now := time.Since(l.began)
	if len(l.clock.queue) > 0 {
		l.lag = max(l.lag, now-l.clock.queue[0].at)
	}
	l.clock.run(now)
	l.clock.now = max(l.clock.now, now)
}

// Lag is the most that events have been late as the host was busy.
func (l *Live) Lag() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag
}

func (l *Live) wakeClock() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// Add adds an engine whose work takes factor times as long as the figures say.
func (l *Live) Add(t *fleet.Target, factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engines[t.ID] = &engine{
		target: t, figures: &l.figures, factor: factor, clock: &l.clock,
		memory: newMemory(l.figures.KVTokens), total: &l.reads,
	}
}

// Stage returns an engine's stage, and whether it is about to change.
func (l *Live) Stage(id string) (stage fleet.Stage, changing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.engines[id]
	return e.target.Stage, e.changing
}

// Order has an engine end its work and change its stage; then is called once it has.
func (l *Live) Order(id string, stage fleet.Stage, then func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	e := l.engines[id]
	e.changing, e.next = true, stage
	l.change(e, then)
	l.wakeClock()
}

// change goes on with an engine's change of stage; the caller holds l.mu.
func (l *Live) change(e *engine, then func()) {
	if e.busy()+len(e.waiting) > 0 {
		l.clock.after(idlePoll, func() { l.change(e, then) })
		return
	}
	l.clock.after(seconds(l.figures.SwitchS), func() {
		t := *e.target
		t.Stage = e.next
		e.target, e.changing = &t, false
		go then()
	})
}

// Submit gives a job to an engine. It returns nil where the engine is full or changes its
// stage.
func (l *Live) Submit(id string, j Job) *LiveRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	e := l.engines[id]
	if e.changing {
		return nil
	}
	events := j.Output / l.figures.EventTokens
	out := &LiveRun{live: l, engine: e, Progress: make(chan Progress, events+spareProgress)}
	out.run = &run{
		prompt: j.Prompt, priority: j.Priority, only: j.PrefillOnly, on: out,
		output: l.made(events), made: l.made(j.Seen), expires: l.clock.now + j.Limit,
	}
	if j.From != nil {
		l.fetch(out, j.From, j.Prompt.Tokens)
	}
	if out.run.ready > l.clock.now {
		l.clock.at(out.run.ready, func() { l.enter(out) })
	} else if !e.submit(out.run) {
		return nil
	}
	l.clock.at(out.run.expires, e.wake)
	l.wakeClock()
	return out
}

// made is the tokens of events that an engine has made: the first one holds one token.
func (l *Live) made(events int) int {
	if events == 0 {
		return 0
	}
	return 1 + (events-1)*l.figures.EventTokens
}

// spareProgress is the progress of a run besides its events.
const spareProgress = 4

// enter queues a run whose memory is there; the caller holds l.mu.
func (l *Live) enter(r *LiveRun) {
	if !r.engine.submit(r.run) {
		r.dropped(false)
	}
}

// fetch moves the memory of a prompt that another engine has read; the caller holds l.mu.
func (l *Live) fetch(to, from *LiveRun, tokens int) {
	begin := max(l.clock.now, from.engine.linkFree, to.engine.linkFree)
	ms := l.figures.SetupMS + float64(tokens)*l.figures.KVTokenBytes*8/(l.figures.LinkMbps*thousand)
	if from.engine.target.DataCentre != to.engine.target.DataCentre {
		ms *= farTransfer
	}
	end := begin + millis(ms)
	from.engine.linkFree, to.engine.linkFree = end, end
	to.run.fetched, to.run.ready = true, end
	l.clock.at(end, func() { from.engine.free(from.run) })
}

// Cancel gives the run up, and the memory that it keeps.
func (r *LiveRun) Cancel() {
	l := r.live
	l.mu.Lock()
	defer l.mu.Unlock()
	l.catchUp()
	if r.kept {
		r.engine.free(r.run)
	}
	r.run.expires = l.clock.now
	r.engine.wake()
	l.wakeClock()
}

func (r *LiveRun) tell(p Progress) {
	select {
	case r.Progress <- p:
	default:
		// A preempted prompt is read more than once; its caller knows already.
	}
}

// read, event and dropped implement outcome.
func (r *LiveRun) read(int) {
	r.kept = r.run.only
	r.tell(Progress{Read: true})
}

func (r *LiveRun) event(n int, last bool) { r.tell(Progress{Event: n, Last: last}) }

func (r *LiveRun) dropped(bool) { r.tell(Progress{Dropped: true}) }
