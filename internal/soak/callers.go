package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// callTimeout is how long a caller waits; the routes allow as much.
	callTimeout = 2 * time.Second
	dialTimeout = 500 * time.Millisecond
	askTimeout  = 500 * time.Millisecond
	// perConnection is how many requests a caller sends on one connection.
	perConnection = 12
	// think is a caller's mean pause between requests.
	think = 20 * time.Millisecond
	// balancerPoll is how often the balancer asks, and missesOut the misses
	// after which it sends no new connections.
	balancerPoll = 250 * time.Millisecond
	missesOut    = 2
	// probeEvery is how often each VM is asked which version is in force.
	probeEvery = 150 * time.Millisecond
	// longPrompt and shortPrompt are prompts' lengths in tokens.
	longPrompt  = 9000
	shortPrompt = 200
	// popularEvery is of how many requests of a kind one has the same body as others.
	popularEvery = 4
)

// soundBody returns the body of a request that is not deadly: its own, or one that many callers
// send alike.
func soundBody(id string) string {
	if xxhash.Sum64String(id)%popularEvery == 0 {
		return "popular"
	}
	return "body of " + id
}

// kindOfCall is one kind of request that callers make.
type kindOfCall struct {
	route  string
	once   bool
	tokens int
	probe  bool
}

// name is the kind's name in reports; the routes named after versions are one.
func (k kindOfCall) name() string {
	if k.probe {
		return "probe"
	}
	return k.route
}

var kindsOfCall = []kindOfCall{
	{route: "safe"}, {route: "unsafe", once: true}, {route: "long", tokens: longPrompt},
	{route: "long", tokens: shortPrompt}, {route: "once", once: true, tokens: longPrompt}, {route: "once", once: true, tokens: shortPrompt},
}

// ids makes ids that are never used twice.
type ids struct{ n atomic.Int64 }

func (i *ids) next() string { return fmt.Sprintf("q%d", i.n.Add(1)) }

// call sends requests from one caller until ctx ends: it keeps its connections
// open, also to a VM that stops, until that closes them.
func (w *world) call(ctx context.Context, ids *ids, seed uint64) {
	r := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		v := w.pick(r)
		c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
		if err != nil {
			w.count("no_connection")
			kernel.Sleep(ctx, think)
			continue
		}
		for range perConnection {
			kind := kindsOfCall[r.IntN(len(kindsOfCall))]
			reply := w.ask(c, v, ids.next(), kind)
			kernel.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(think)))
			if reply.Err != nil || reply.Closes || ctx.Err() != nil {
				break
			}
		}
		c.Close()
	}
}

// pick returns a VM that the balancer takes for ready, or any where fewer than
// half are: the balancer then sends callers to those that stop as well.
func (w *world) pick(r *rand.Rand) *vm {
	ready := make([]*vm, 0, len(w.vms))
	for _, v := range w.vms {
		v.mu.Lock()
		if v.ready {
			ready = append(ready, v)
		}
		v.mu.Unlock()
	}
	if 2*len(ready) < len(w.vms) {
		ready = w.vms
	}
	return ready[r.IntN(len(ready))]
}

// ask sends one request and has its answer checked.
func (w *world) ask(c *platformtest.Caller, v *vm, id string, kind kindOfCall) platformtest.Reply {
	account, key := "", ""
	if w.keys != nil {
		account, key = w.keys.draw()
	}
	w.check.Sent(id, v.name, kind.once, w.now())
	w.check.Named(id, account, key)
	reply := c.Do(platformtest.Call{ID: id, Path: "/" + kind.route + "/x", Tokens: kind.tokens, Body: soundBody(id), Timeout: callTimeout, Key: key})
	a := answerOf(id, kind, reply)
	w.check.Answered(id, a, w.now())
	w.count(kind.name() + " " + outcome(a, reply))
	return reply
}

func answerOf(id string, kind kindOfCall, r platformtest.Reply) Answer {
	var timeout net.Error
	switch {
	case errors.As(r.Err, &timeout) && timeout.Timeout():
		// The caller gave up.
		return Answer{}
	case r.Err != nil:
		return Answer{Cut: true}
	case r.NotRun():
		return Answer{Refused: true}
	case r.Status < 200 || r.Status >= 300:
		return Answer{}
	}
	engine := strings.TrimSuffix(strings.TrimPrefix(r.Signature, "seal-"), "-"+id)
	body := platformtest.StreamBody()
	if kind.tokens == 0 {
		body = platformtest.PlainBody(engine, id)
	}
	return Answer{Succeeded: true, Engine: engine, Whole: r.Body == body && r.Signature == platformtest.Signature(engine, id)}
}

func outcome(a Answer, r platformtest.Reply) string {
	switch {
	case a.Cut:
		return "cut"
	case r.Err != nil:
		return "timeout"
	}
	return fmt.Sprint(r.Status)
}

// balance asks every VM whether it is ready, as the balancer does.
func (w *world) balance(ctx context.Context) {
	kernel.Every(ctx, balancerPoll, func(context.Context) {
		for _, v := range w.vms {
			ok := platformtest.Ready(string(v.cfg.ReadyListen), balancerPoll)
			v.mu.Lock()
			if ok {
				v.ready, v.misses = true, 0
			} else if v.misses++; v.misses >= missesOut {
				v.ready = false
			}
			v.mu.Unlock()
		}
	})
}

// probe asks a VM for the routes of the newest versions: the one that it serves
// shows which version is in force there.
func (w *world) probe(ctx context.Context, v *vm, ids *ids) {
	kernel.Every(ctx, probeEvery, func(context.Context) {
		newest := w.newest()
		for version := newest; version > max(newest-2, 0); version-- {
			w.probeOne(v, ids.next(), version)
		}
	})
}

func (w *world) probeOne(v *vm, id string, version int) {
	_, life := v.current()
	c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	sent := w.now()
	reply := w.ask(c, v, id, kindOfCall{route: routeOf(version), probe: true})
	if _, now := v.current(); reply.Err == nil && reply.Status == 200 && now == life {
		w.check.Shown(v.name, life, version, sent, w.now())
	}
}
