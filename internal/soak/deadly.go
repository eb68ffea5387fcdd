package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// deadlyBody ends each target that begins to run it, and deadlyGap is the pause between
	// two sends of it.
	deadlyBody = "deadly"
	deadlyGap  = 100 * time.Millisecond
	// deadlyPrefix begins the ids of its attempts.
	deadlyPrefix = "deadly-"
)

// deadlyRoutes are the routes that it is sent on: one variant is one request.
var deadlyRoutes = []kindOfCall{{route: "once", once: true, tokens: shortPrompt}, {route: "unsafe", once: true}, {route: "long", tokens: shortPrompt}}

// deadlyIDs numbers the attempts of all deadly requests.
var deadlyIDs atomic.Int64

// deadly sends one request, that ends its targets, to one VM after the other.
func (w *world) deadly(ctx context.Context, f Fault) {
	kind := deadlyRoutes[f.Variant%len(deadlyRoutes)]
	r := rand.New(rand.NewPCG(uint64(f.Index), uint64(f.Variant)))
	for until := w.now() + f.For; w.now() < until && ctx.Err() == nil; kernel.Sleep(ctx, deadlyGap) {
		v := w.pick(r)
		c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
		if err != nil {
			continue
		}
		id := fmt.Sprint(deadlyPrefix, kind.route, "-", deadlyIDs.Add(1))
		w.check.Sent(id, v.name, kind.once, w.now())
		reply := c.Do(platformtest.Call{ID: id, Path: "/" + kind.route + "/x", Tokens: kind.tokens, Body: deadlyBody, Timeout: callTimeout})
		a := answerOf(id, kind, reply)
		w.check.Answered(id, a, w.now())
		w.count("deadly " + kind.route + " " + outcome(a, reply))
		c.Close()
	}
}

// deadlyRequest returns which request an attempt is of, or false for a sound one.
func deadlyRequest(id string) (string, bool) {
	rest, ok := strings.CutPrefix(id, deadlyPrefix)
	if !ok {
		return "", false
	}
	route, _, _ := strings.Cut(rest, "-")
	return route, true
}

// ended puts a new target in the place of one that a deadly request has ended.
func (w *world) ended(s *slot, e *platformtest.Engine) {
	s.mu.Lock()
	here := s.engine == e && !s.away
	if here {
		s.away = true
	}
	s.mu.Unlock()
	if !here {
		// It was leaving, and is replaced at the end of that.
		return
	}
	time.Sleep(rebornAfter)
	w.store.Remove(platformtest.TableTargets, e.ID)
	if w.ending() {
		return
	}
	if err := w.fill(s); err != nil {
		w.count("target_not_started")
	}
}
