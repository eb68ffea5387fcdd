package model

import (
	"slices"
	"sort"
	"time"

	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// A decode engine prefills in chunks decodeChunkDivisor times smaller and
	// decodePrefillSlowdown times slower than a prefill engine, per the users' specification.
	decodeChunkDivisor    = 4
	decodePrefillSlowdown = 2
	million               = 1e6
	thousand              = 1e3
)

// sequence is the processing of one request by one engine.
type sequence struct {
	prompt   *place.Prompt
	priority int
	// prefillOnly says that the engine only prefills the prompt and keeps its KV cache for another
	// engine, which uses the sequence as a handle to fetch the KV cache. fetched says that another
	// engine has prefilled the prompt and this engine fetches the KV cache.
	prefillOnly bool
	fetched     bool
	// output is the number of answer tokens to produce, and produced those produced so far.
	output   int
	produced int
	// expiresAt is when the engine drops the sequence.
	expiresAt time.Duration
	// readyAt is when the KV cache fetched for the sequence has arrived.
	readyAt time.Duration
	// observer is notified of the progress of the sequence.
	observer sequenceObserver

	// seqNo numbers the engine's sequences in the order of their submission, and incarnation is
	// engine.incarnation at the submission.
	seqNo       uint64
	incarnation int
	// toPrefill counts the prompt tokens still to be prefilled, and contextTokens those that
	// are cached or already prefilled.
	toPrefill     int
	contextTokens int
	// pinned holds the hashes of the pinned prompt parts, and reserved counts the cache tokens
	// reserved in addition.
	pinned   []uint64
	reserved int
	// admitted says that the sequence holds or has held a slot, decoding that it is producing
	// tokens, and finished that it has ended and holds no cache memory.
	admitted bool
	decoding bool
	finished bool
}

// sequenceObserver is notified of the progress of a sequence.
type sequenceObserver interface {
	// prefilled reports that the whole prompt is in the engine's cache, and cached how many of
	// its tokens were there before.
	prefilled(cached int)
	// eventProduced reports that event n of the stream, counted from 1, is produced.
	eventProduced(n int, last bool)
	// dropped reports that the sequence ended early. started says whether it had been admitted
	// to a slot.
	dropped(started bool)
}

// engine simulates one model engine with continuous batching: in each step it prefills a chunk of
// prompts and produces one token for every running sequence.
type engine struct {
	target *fleet.Target
	spec   *Engine
	// timeFactor multiplies the duration of each step.
	timeFactor float64
	// pausedUntil is the time until which no step begins.
	pausedUntil time.Duration
	clock       *clock
	cache       *kvCache

	waiting []*sequence
	// prefilling sequences have a slot, and their prompts are not fully prefilled.
	prefilling []*sequence
	// starting sequences are prefilled and wait for their first token.
	starting []*sequence
	running  []*sequence
	// linkFreeAt is when the engine's network link has completed the transfers of KV caches
	// assigned to it.
	linkFreeAt time.Duration
	// stepScheduled says that a step is running or scheduled.
	stepScheduled bool
	// down says that the engine is out of service, silent that it does not refuse connections
	// while down but leaves them unanswered, and delisted that it is no longer in the listing of
	// engines that VMs see.
	down     bool
	silent   bool
	delisted bool
	// changing says that the engine has been ordered to change to nextStage and has not done so.
	changing  bool
	nextStage fleet.Stage
	// incarnation counts the engine's crashes, and lastSeqNo the sequences submitted to it.
	incarnation int
	lastSeqNo   uint64
	// tokens counts the prompt tokens of all engines, which share it.
	tokens *TokenCounts
}

// TokenCounts counts prompt tokens over all engines.
type TokenCounts struct {
	// Prefilled counts the tokens that were prefilled and Cached those found in cache. Shared
	// counts the tokens of the prompts' shared parts, and SharedCached those found in cache.
	Prefilled, Cached, Shared, SharedCached int
	// Moved counts the tokens whose KV cache was transferred between engines.
	Moved int
}

// hitRate returns the fraction of the shared tokens that was found in cache.
func (c TokenCounts) hitRate() float64 { return ratio(float64(c.SharedCached), float64(c.Shared)) }

// isPrefill reports whether the engine's stage is prefill.
func (e *engine) isPrefill() bool { return e.target.Stage == fleet.Prefill }

// busySlots returns how many sequences hold a slot.
func (e *engine) busySlots() int { return len(e.prefilling) + len(e.running) + len(e.starting) }

// submit queues a sequence by its priority, lower values first. It returns false if the queue
// is full or the engine is down.
func (e *engine) submit(s *sequence) bool {
	if e.down || len(e.waiting) >= e.spec.Queue {
		return false
	}
	e.lastSeqNo++
	s.seqNo, s.incarnation = e.lastSeqNo, e.incarnation
	at := sort.Search(len(e.waiting), func(i int) bool { return e.waiting[i].priority > s.priority })
	e.waiting = append(e.waiting, nil)
	copy(e.waiting[at+1:], e.waiting[at:])
	e.waiting[at] = s
	e.wake()
	return true
}

// wake schedules a step, unless one is scheduled or the engine is down.
func (e *engine) wake() {
	if !e.stepScheduled && !e.down {
		e.stepScheduled = true
		e.clock.after(0, e.step)
	}
}

// step admits waiting sequences, prefills one chunk and produces one token for each running
// sequence. It then schedules the next step, until no sequence is left to work on.
func (e *engine) step() {
	if e.down {
		e.stepScheduled = false
		return
	}
	if e.pausedUntil > e.clock.now {
		e.clock.at(e.pausedUntil, e.step)
		return
	}
	e.dropExpired()
	e.admit()
	if len(e.prefilling)+len(e.running) == 0 {
		e.stepScheduled = false
		return
	}
	ms, prefilled := e.prefillChunk()
	context := 0
	for _, s := range e.running {
		context += s.prompt.Tokens + s.produced
	}
	ms += e.spec.StepMS + e.spec.StepPerRunMS*float64(len(e.running)) + e.spec.StepPerKTokenMS*float64(context)/thousand
	incarnation, running := e.incarnation, append([]*sequence(nil), e.running...)
	e.clock.after(millis(ms*e.timeFactor), func() {
		if e.incarnation != incarnation {
			return
		}
		e.decodeTokens(running)
		for _, s := range prefilled {
			e.finishPrefill(s)
		}
		e.step()
	})
}

// dropExpired drops the sequences whose time has expired.
func (e *engine) dropExpired() {
	for _, list := range []*[]*sequence{&e.waiting, &e.prefilling, &e.running} {
		kept := (*list)[:0]
		for _, s := range *list {
			if s.expiresAt > e.clock.now {
				kept = append(kept, s)
				continue
			}
			e.drop(s)
		}
		*list = kept
	}
}

// drop ends a sequence that is no longer in any of the engine's lists.
func (e *engine) drop(s *sequence) {
	e.releaseMemory(s)
	s.observer.dropped(s.admitted)
}

// releaseMemory releases the cache memory of a sequence and marks it as finished.
func (e *engine) releaseMemory(s *sequence) {
	if s.finished {
		return
	}
	s.finished, s.decoding = true, false
	for _, h := range s.pinned {
		e.cache.unpin(h)
	}
	s.pinned = nil
	e.cache.release(s.reserved)
	s.reserved = 0
}

// admit gives waiting sequences a slot, in order, while slots and cache memory are available.
func (e *engine) admit() {
	for len(e.waiting) > 0 && e.busySlots() < e.spec.Slots {
		s := e.waiting[0]
		cached := 0
		for _, p := range s.prompt.Parts {
			if !e.cache.pin(p.Hash) {
				break
			}
			s.pinned = append(s.pinned, p.Hash)
			cached += p.Tokens
		}
		need := s.prompt.Tokens - cached + s.produced
		if !e.cache.reserve(need) {
			for _, h := range s.pinned {
				e.cache.unpin(h)
			}
			s.pinned = nil
			return
		}
		s.reserved, s.contextTokens, s.toPrefill, s.admitted = need, cached, need, true
		if s.fetched {
			s.toPrefill = 0
		} else {
			e.countPrompt(s.prompt, cached)
		}
		e.waiting = e.waiting[1:]
		e.prefilling = append(e.prefilling, s)
	}
}

// countPrompt counts the tokens of an admitted prompt, of which cached were found in cache.
func (e *engine) countPrompt(prompt *place.Prompt, cached int) {
	shared := prompt.Tokens - prompt.Parts[len(prompt.Parts)-1].Tokens
	e.tokens.Prefilled += prompt.Tokens - cached
	e.tokens.Cached += cached
	e.tokens.Shared += shared
	e.tokens.SharedCached += min(cached, shared)
}

// prefillChunk prefills the next chunk of the prompts, in order of admission. It returns the
// time in milliseconds that this takes, and the sequences whose prompts it completes.
func (e *engine) prefillChunk() (ms float64, prefilled []*sequence) {
	budget, rate := e.spec.Chunk, e.spec.PrefillPerMS
	if !e.isPrefill() {
		budget, rate = budget/decodeChunkDivisor, rate/decodePrefillSlowdown
	}
	for len(e.prefilling) > 0 {
		s := e.prefilling[0]
		if s.toPrefill > 0 && budget == 0 {
			break
		}
		n := min(budget, s.toPrefill)
		pairs := float64(n) * (float64(s.contextTokens) + float64(n)/2)
		ms += float64(n)/rate + e.spec.PairsMS*pairs/million
		budget -= n
		s.toPrefill -= n
		s.contextTokens += n
		if s.toPrefill > 0 {
			break
		}
		prefilled = append(prefilled, s)
		e.prefilling = e.prefilling[1:]
		e.starting = append(e.starting, s)
	}
	return ms, prefilled
}

// finishPrefill adds a completed prompt's parts to the cache. It then schedules the first token or,
// for a prefill-only sequence, the report that the prompt is prefilled.
func (e *engine) finishPrefill(s *sequence) {
	cached := 0
	for i, p := range s.prompt.Parts {
		if i < len(s.pinned) {
			cached += p.Tokens
			continue
		}
		e.cache.insert(p.Hash, p.Tokens)
		s.pinned = append(s.pinned, p.Hash)
	}
	e.cache.release(s.reserved)
	s.reserved = 0
	if s.produced > 0 && !e.cache.reserve(s.produced) {
		e.starting = without(e.starting, s)
		e.drop(s)
		return
	}
	s.reserved = s.produced
	wait := millis(e.spec.FirstMS)
	if s.fetched {
		wait = 0
	}
	incarnation := e.incarnation
	e.clock.after(wait, func() {
		if e.incarnation != incarnation {
			return
		}
		e.starting = without(e.starting, s)
		if s.prefillOnly {
			// The parts stay pinned until freeHandle is called: after the transfer of the KV cache
			// to another engine, or if no engine fetches it.
			s.observer.prefilled(cached)
			e.wake()
			return
		}
		e.startDecoding(s, cached)
	})
}

// startDecoding adds a prefilled sequence to the running ones and produces its first token, unless
// it has produced tokens before. cached is the number of prompt tokens found in cache.
func (e *engine) startDecoding(s *sequence, cached int) {
	s.observer.prefilled(cached)
	e.running = append(e.running, s)
	s.decoding = true
	if s.produced == 0 {
		e.decodeTokens([]*sequence{s})
	}
	e.wake()
}

// decodeTokens produces one token for each given sequence that is still decoding.
func (e *engine) decodeTokens(sequences []*sequence) {
	for _, s := range sequences {
		if !s.decoding || !e.reserveToken(s) {
			continue
		}
		s.reserved++
		s.produced++
		eventTokens := e.spec.EventTokens
		if (s.produced-1)%eventTokens != 0 {
			continue
		}
		last := s.produced >= s.output
		if last {
			e.removeRunning(s)
			e.releaseMemory(s)
		}
		s.observer.eventProduced((s.produced-1)/eventTokens+1, last)
	}
}

// reserveToken reserves memory for one more token of s. While no memory is free, it preempts the
// most recently submitted of the least urgent running sequences. It returns false once it has
// preempted s itself.
func (e *engine) reserveToken(s *sequence) bool {
	for !e.cache.reserve(1) {
		victim := e.running[0]
		for _, o := range e.running {
			if o.priority > victim.priority || (o.priority == victim.priority && o.seqNo > victim.seqNo) {
				victim = o
			}
		}
		e.preempt(victim)
		if victim == s {
			return false
		}
	}
	return true
}

// preempt puts a running sequence back at the head of the queue, to be prefilled again with the
// tokens that it has produced.
func (e *engine) preempt(s *sequence) {
	e.removeRunning(s)
	e.releaseMemory(s)
	s.finished, s.fetched = false, false
	e.waiting = append([]*sequence{s}, e.waiting...)
}

// removeRunning removes a sequence from the list of running ones.
func (e *engine) removeRunning(s *sequence) {
	s.decoding = false
	e.running = without(e.running, s)
}

// without returns list without s. It does not modify list.
func without(list []*sequence, s *sequence) []*sequence {
	for i, o := range list {
		if o == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// freeHandle releases the cache memory kept for a prefilled prompt, unless a crash has cleared it.
func (e *engine) freeHandle(s *sequence) {
	if e.hasHandle(s) {
		e.releaseMemory(s)
		e.wake()
	}
}

// hasHandle reports whether the engine still keeps what it prefilled for a sequence, that is,
// whether it has not crashed since the sequence was submitted.
func (e *engine) hasHandle(s *sequence) bool { return s.incarnation == e.incarnation }

// crash takes the engine out of service and drops all of its sequences and its cache.
func (e *engine) crash() {
	e.down, e.stepScheduled = true, false
	e.incarnation++
	lost := slices.Concat(e.waiting, e.prefilling, e.starting, e.running)
	e.waiting, e.prefilling, e.starting, e.running = nil, nil, nil, nil
	e.cache.clear()
	for _, s := range lost {
		s.finished, s.decoding, s.pinned, s.reserved = true, false, nil, 0
		s.observer.dropped(s.admitted)
	}
}
