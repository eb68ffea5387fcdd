package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"garnethoist.org/garnethoist/internal/kernel"
	"garnethoist.org/garnethoist/platform/platformtest"
)

const (
	// crashingBody is a body that crashes each target as it begins to run the request.
	// crashingRequestGap is the pause between two attempts to have such a request served.
	crashingBody       = "deadly"
	crashingRequestGap = 100 * time.Millisecond
	// crashingIDPrefix is the prefix of the ids of such attempts.
	crashingIDPrefix = "deadly-"
)

// crashingRequest is a request that crashes each target that begins to run it.
type crashingRequest struct {
	name string
	kind requestKind
	// part, if set, is the part of the prompt that crashes targets. The requests then differ but for it.
	part string
}

const (
	// crashingPart is a part of prompts that crashes targets.
	crashingPart = "deadly-part"
	// partRequests is the name of the requests with crashingPart.
	partRequests = "part"
)

// crashingRequests are the crashing requests, one for each variant of the fault CrashingRequest.
var crashingRequests = []crashingRequest{
	{name: "once", kind: requestKind{route: "once", nonIdempotent: true, tokens: shortPrompt}},
	{name: "unsafe", kind: requestKind{route: "unsafe", nonIdempotent: true}},
	{name: "long", kind: requestKind{route: "long", tokens: shortPrompt}},
	{name: partRequests, kind: requestKind{route: "long", tokens: shortPrompt}, part: crashingPart},
}

// crashes reports whether a request crashes the target that begins to run it.
func crashes(r *http.Request, body string) bool {
	return body == crashingBody || platformtest.SharesPart(r, []string{crashingPart})
}

// body returns the body of an attempt with the given id.
func (r crashingRequest) body(id string) string {
	if r.part != "" {
		return "body of " + id
	}
	return crashingBody
}

// crashingAttempts numbers the attempts of all crashing requests.
var crashingAttempts atomic.Int64

// sendCrashingRequests sends one crashing request to random VMs, one attempt after the other, for
// the duration of the fault.
func (h *harness) sendCrashingRequests(ctx context.Context, f Fault) {
	request := crashingRequests[f.Variant%len(crashingRequests)]
	kind := request.kind
	r := rand.New(rand.NewPCG(uint64(f.Index), uint64(f.Variant)))
	for until := h.now() + f.Duration; h.now() < until && ctx.Err() == nil; kernel.Sleep(ctx, crashingRequestGap) {
		v := h.pickVM(r)
		c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
		if err != nil {
			continue
		}
		id := fmt.Sprint(crashingIDPrefix, request.name, "-", crashingAttempts.Add(1))
		h.check.Sent(id, v.name, kind.nonIdempotent, h.now())
		reply := c.Do(platformtest.Call{ID: id, Path: "/" + kind.route + "/x", Tokens: kind.tokens,
			Part: request.part, Body: request.body(id), Timeout: callTimeout})
		a := newAnswer(id, kind, reply)
		h.check.Answered(id, a, h.now())
		h.count("deadly " + request.name + " " + outcomeName(a, reply))
		c.Close()
	}
}

// crashingRequestOf returns the name of the crashing request that the attempt with the given id
// belongs to, or false if id is not that of such an attempt.
func crashingRequestOf(id string) (string, bool) {
	rest, ok := strings.CutPrefix(id, crashingIDPrefix)
	if !ok {
		return "", false
	}
	route, _, _ := strings.Cut(rest, "-")
	return route, true
}

// replaceCrashed starts a new target in place of one that a crashing request has crashed, after
// targetRestartDelay.
func (h *harness) replaceCrashed(s *slot, e *platformtest.Engine) {
	s.mu.Lock()
	here := s.target == e && !s.unavailable
	if here {
		s.unavailable = true
	}
	s.mu.Unlock()
	if !here {
		// The target was leaving, and is replaced when that has finished.
		return
	}
	time.Sleep(targetRestartDelay)
	h.store.Remove(platformtest.TableTargets, e.ID)
	if h.isStopping() {
		return
	}
	if err := h.startTarget(s); err != nil {
		h.count("target_not_started")
	}
}
