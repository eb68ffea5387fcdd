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
	// callTimeout is how long a caller waits for an answer. The routes allow the same time.
	callTimeout = 2 * time.Second
	// dialTimeout limits the time to connect to a VM, and askTimeout that of a readiness check
	// while the harness waits for all VMs to be ready.
	dialTimeout = 500 * time.Millisecond
	askTimeout  = 500 * time.Millisecond
	// requestsPerConnection is the number of requests that a caller sends on one connection.
	requestsPerConnection = 12
	// thinkTime is a caller's mean pause between requests.
	thinkTime = 20 * time.Millisecond
	// balancerPoll is the interval of the load balancer's readiness checks. After failedPollLimit
	// failed checks in a row it sends a VM no new connections.
	balancerPoll    = 250 * time.Millisecond
	failedPollLimit = 2
	// probeInterval is how often each VM is asked which configuration version is in force.
	probeInterval = 150 * time.Millisecond
	// longPrompt and shortPrompt are the prompt lengths of requests to engines, in tokens.
	longPrompt  = 9000
	shortPrompt = 200
	// One request in sharedBodyEvery has the same body as others of its kind.
	sharedBodyEvery = 4
)

// requestBody returns the body of a request that crashes no target: one of its own, or one that
// many requests share.
func requestBody(id string) string {
	if xxhash.Sum64String(id)%sharedBodyEvery == 0 {
		return "popular"
	}
	return "body of " + id
}

// requestKind is a kind of request that callers send. tokens is the length of the prompt, 0 for a
// request to a plain target. probe marks the requests that find out which configuration version is
// in force.
type requestKind struct {
	route         string
	nonIdempotent bool
	tokens        int
	probe         bool
	// after and resumes are set if the request resumes a stream: the last event that the caller has, and
	// the request that brought the first one.
	after   int
	resumes string
}

// name returns the kind's name in reports. All version routes share one name.
func (k requestKind) name() string {
	switch {
	case k.probe:
		return "probe"
	case k.after > 0:
		return k.route + "_resumed"
	}
	return k.route
}

// requestKinds are the kinds that callers choose from at random.
var requestKinds = []requestKind{
	{route: "safe"}, {route: "unsafe", nonIdempotent: true}, {route: "long", tokens: longPrompt},
	{route: "long", tokens: shortPrompt}, {route: "once", nonIdempotent: true, tokens: longPrompt},
	{route: "once", nonIdempotent: true, tokens: shortPrompt},
}

// idSource generates request ids that are never reused.
type idSource struct{ n atomic.Int64 }

func (i *idSource) next() string { return fmt.Sprintf("q%d", i.n.Add(1)) }

// runCaller sends requests from one caller until ctx ends. It keeps a connection open, also to a VM
// that is stopping, until the VM closes it.
func (h *harness) runCaller(ctx context.Context, ids *idSource, seed uint64) {
	r := rand.New(rand.NewPCG(seed, seed))
	for ctx.Err() == nil {
		v := h.pickVM(r)
		c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
		if err != nil {
			h.count("no_connection")
			kernel.Sleep(ctx, thinkTime)
			continue
		}
		for range requestsPerConnection {
			kind := requestKinds[r.IntN(len(requestKinds))]
			id := ids.next()
			reply := h.send(c, v, id, kind)
			if kind.tokens > 0 {
				h.followStream(r, ids, id, kind, reply)
			}
			kernel.Sleep(ctx, time.Duration(r.ExpFloat64()*float64(thinkTime)))
			if reply.Err != nil || reply.Closes || ctx.Err() != nil {
				break
			}
		}
		c.Close()
	}
}

// pickVM returns a VM that the load balancer considers ready. If fewer than half are ready it
// returns any: the balancer then sends callers to stopping VMs as well.
func (h *harness) pickVM(r *rand.Rand) *vm {
	ready := make([]*vm, 0, len(h.vms))
	for _, v := range h.vms {
		v.mu.Lock()
		if v.ready {
			ready = append(ready, v)
		}
		v.mu.Unlock()
	}
	if 2*len(ready) < len(h.vms) {
		ready = h.vms
	}
	return ready[r.IntN(len(ready))]
}

// maxResumes is how often a caller resumes a stream.
const maxResumes = 2

// followStream resumes a stream that was cut off at other VMs, if its route allows it, and has the checker
// check the versions of its events. reply is what the request id brought.
func (h *harness) followStream(r *rand.Rand, ids *idSource, id string, kind requestKind, reply platformtest.Result) {
	versions, _ := platformtest.ReadVersionedEvents(reply.Body, 0)
	for try := 0; try < maxResumes && reply.Err != nil && len(versions) > 0 && len(versions) < platformtest.Events && !kind.nonIdempotent; try++ {
		v := h.pickVM(r)
		c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
		if err != nil {
			h.count("no_connection")
			continue
		}
		kind.after, kind.resumes = len(versions), id
		reply = h.send(c, v, ids.next(), kind)
		c.Close()
		more, _ := platformtest.ReadVersionedEvents(reply.Body, len(versions))
		versions = append(versions, more...)
	}
	if len(versions) > 0 {
		h.check.StreamEnded(id, versions, h.now())
	}
}

// send sends one request and has the checker check the answer.
func (h *harness) send(c *platformtest.Caller, v *vm, id string, kind requestKind) platformtest.Result {
	account, key := "", ""
	if h.keys != nil {
		account, key = h.keys.drawKey()
	}
	h.check.Sent(id, v.name, kind.nonIdempotent, h.now())
	h.check.SetKey(id, account, key)
	reply := c.Do(platformtest.Call{ID: id, Path: "/" + kind.route + "/x", Tokens: kind.tokens,
		Body: requestBody(id), Timeout: callTimeout, Key: key, After: kind.after, Resumes: kind.resumes})
	a := newAnswer(id, kind, reply)
	h.check.Answered(id, a, h.now())
	h.count(kind.name() + " " + outcomeName(a, reply))
	return reply
}

// newAnswer converts what a caller received to what the checker needs to know of it.
func newAnswer(id string, kind requestKind, r platformtest.Result) Answer {
	var timeout net.Error
	switch {
	case errors.As(r.Err, &timeout) && timeout.Timeout():
		// The caller timed out.
		return Answer{}
	case r.Err != nil:
		return Answer{Cut: true}
	case r.NotRun():
		return Answer{Refused: true}
	case r.Status < 200 || r.Status >= 300:
		return Answer{}
	}
	target := strings.TrimSuffix(strings.TrimPrefix(r.Signature, "seal-"), "-"+id)
	whole := r.Body == platformtest.PlainBody(target, id)
	if kind.tokens > 0 {
		versions, ok := platformtest.ReadVersionedEvents(r.Body, kind.after)
		whole = ok && strings.HasSuffix(r.Body, "\n\n") && kind.after+len(versions) == platformtest.Events
	}
	return Answer{Succeeded: true, Target: target,
		Whole: whole && r.Signature == platformtest.Signature(target, id)}
}

// outcomeName returns the outcome of a request as reports count it.
func outcomeName(a Answer, r platformtest.Result) string {
	switch {
	case a.Cut:
		return "cut"
	case r.Err != nil:
		return "timeout"
	}
	return fmt.Sprint(r.Status)
}

// pollReadiness checks every VM's readiness endpoint, as the load balancer does.
func (h *harness) pollReadiness(ctx context.Context) {
	kernel.Every(ctx, balancerPoll, func(context.Context) {
		for _, v := range h.vms {
			ok := platformtest.Ready(string(v.cfg.ReadyListen), balancerPoll)
			v.mu.Lock()
			if ok {
				v.ready, v.failedPolls = true, 0
			} else if v.failedPolls++; v.failedPolls >= failedPollLimit {
				v.ready = false
			}
			v.mu.Unlock()
		}
	})
}

// probeVersions requests the routes of the newest configuration versions from a VM. The route that
// it serves shows which version is in force there.
func (h *harness) probeVersions(ctx context.Context, v *vm, ids *idSource) {
	kernel.Every(ctx, probeInterval, func(context.Context) {
		newest := h.newestVersion()
		for version := newest; version > max(newest-2, 0); version-- {
			h.probeVersion(v, ids.next(), version)
		}
	})
}

// probeVersion requests the route of one version. It ignores the answer if the VM's process was
// replaced meanwhile.
func (h *harness) probeVersion(v *vm, id string, version int) {
	_, incarnation := v.current()
	c, err := platformtest.DialCaller(string(v.cfg.Listen), dialTimeout)
	if err != nil {
		return
	}
	defer c.Close()
	sent := h.now()
	reply := h.send(c, v, id, requestKind{route: versionRoute(version), probe: true})
	if _, now := v.current(); reply.Err == nil && reply.Status == 200 && now == incarnation {
		h.check.VersionObserved(v.name, incarnation, version, sent, h.now())
	}
}
