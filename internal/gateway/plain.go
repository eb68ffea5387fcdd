package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"garnethoist.org/garnethoist/internal/clock"
	"garnethoist.org/garnethoist/internal/errkind"
	"garnethoist.org/garnethoist/internal/fleet"
	"garnethoist.org/garnethoist/internal/httpsend"
	"garnethoist.org/garnethoist/internal/place"
)

const (
	// maxHeldBody is the largest answer that is held until it is complete, so
	// that one that breaks off can be asked for again.
	maxHeldBody = 256 << 10
	// maxUnreached bounds the targets tried that could not be reached and did not say so.
	maxUnreached = 4
)

// answer is a target's complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// overdueShare is the part of the time that is left after which an answer that may
// be asked for elsewhere is: a target may hang, or its connection have fallen
// silent though what was sent is acknowledged. Nearly all answers come sooner.
const overdueShare = 3

// plainCall is one send of a plain request and how it ended.
type plainCall struct {
	sending sending
	began   time.Time
	target  *fleet.Target
	answer  *answer
	out     outcome
	err     error
}

// plainCalls are the sends of one plain request: one after the other, or two at
// once where the first answer is overdue. One goroutine uses it.
type plainCalls struct {
	x       *exchange
	ctx     context.Context
	ended   chan plainCall
	pending int
	// overdue fires when the newest call's answer is overdue; nil where nothing
	// may be asked for twice.
	overdue <-chan time.Time
	// stopped is why no further target was asked.
	stopped error
}

// start sends the request to one more target, if there is one and the VM does not
// stop before the answer may end.
func (c *plainCalls) start() {
	x := c.x
	if !x.wanted(c.ctx) {
		return
	}
	if c.stopped = x.checkStop(); c.stopped != nil {
		return
	}
	x.reload()
	choice, ok := x.g.placer.Plain(x.view.Targets[x.service], x.apart(x.tried), rand.Uint64(), clock.Now())
	if !ok {
		return
	}
	x.tried[choice.Target.ID] = true
	sd, err := x.begin(false)
	if err != nil {
		choice.Ticket.End(place.Neutral, clock.Now())
		c.stopped = err
		return
	}
	c.pending++
	if x.route.Kind == fleet.Idempotent {
		c.overdue = time.After(clock.Until(x.deadline) / overdueShare)
	}
	to, account := x.destination(choice.Target, Directive{}), x.accountName()
	go func() {
		began := clock.Now()
		call := x.callPlain(c.ctx, to, choice)
		if call.out == answered || call.out == unknown {
			// A target has free places but for moments: the run begins as the request comes.
			x.g.usage.Ran(account, began)
		}
		call.sending, call.began = sd, began
		c.ended <- call
	}()
}

// next returns the next call that ends, or false when an answer is overdue.
func (c *plainCalls) next() (plainCall, bool) {
	select {
	case call := <-c.ended:
		c.pending--
		return call, true
	case <-c.overdue:
		c.overdue = nil
		return plainCall{}, false
	}
}

// end gives up the calls that are still under way.
func (c *plainCalls) end(cancel context.CancelCauseFunc) {
	cancel(httpsend.ErrOverdue)
	for ; c.pending > 0; c.pending-- {
		<-c.ended
	}
}

// plain serves a request whose answer is one body. A failure that a target
// answers is held while another target may do better. Where an answer is overdue
// another target is asked, and the first answer counts, whoever gives it.
func (x *exchange) plain(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	c := &plainCalls{x: x, ctx: ctx, ended: make(chan plainCall)}
	defer c.end(cancel)
	var last error
	var held *answer
	for c.start(); c.pending > 0; {
		call, ended := c.next()
		if !ended {
			if x.mayTryAgain(ctx) {
				x.unanswered = true
				c.start()
			}
			continue
		}
		x.sends.settle(call.sending, call.out)
		if call.err == nil {
			x.served()
		}
		if call.err == nil && !(call.answer.status >= http.StatusInternalServerError && x.route.Kind == fleet.Idempotent) {
			return x.deliver(call.answer)
		}
		if call.err == nil {
			held = call.answer
		}
		last = call.err
		if call.out == sentNothing {
			if x.missed(call.err) {
				c.start()
			}
			continue
		}
		x.ran = x.ran || call.out != refused
		x.unanswered = x.unanswered || call.out == unknown
		if call.out == unknown {
			x.brokeOff(call.target, call.err, call.began, 0)
		}
		if c.pending == 0 && (!x.ran || x.route.Repeatable()) && x.mayTryAgain(ctx) {
			c.start()
		}
	}
	if held != nil {
		return x.deliver(held)
	}
	if c.stopped != nil && !x.ran && notRun(c.stopped) {
		return c.stopped
	}
	return x.giveUp(ctx, last)
}

// callPlain sends the request to one target and reads its whole answer.
func (x *exchange) callPlain(ctx context.Context, to httpsend.Destination, c place.Choice) plainCall {
	resp, out, err := x.sendTo(ctx, to, c.Target, Directive{}, c.Ticket)
	if err != nil {
		return plainCall{out: out, err: err, target: c.Target}
	}
	defer resp.Close()
	body, err := readWhole(resp)
	if err != nil {
		x.note(c.Target, "cut", err)
		result := place.Bad
		if x.endedHere() {
			result = place.Neutral
		}
		c.Ticket.End(result, clock.Now())
		return plainCall{out: unknown, err: err, target: c.Target}
	}
	x.note(c.Target, strconv.Itoa(resp.Status), nil)
	result := place.Good
	if resp.Status >= http.StatusInternalServerError {
		result = place.Bad
	}
	c.Ticket.End(result, clock.Now())
	return plainCall{answer: &answer{status: resp.Status, header: resp.Header, body: body}, out: answered}
}

var errTooLarge = errors.New("gateway: answer larger than what is held")

func readWhole(resp *httpsend.Response) ([]byte, error) {
	if resp.Length >= 0 && resp.Length <= maxHeldBody {
		body := make([]byte, resp.Length)
		if _, err := io.ReadFull(resp, body); err != nil {
			return nil, err
		}
		var end [1]byte
		_, err := resp.Read(end[:])
		if !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(err, "read the answer's end")
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxHeldBody+1))
	if err == nil && len(body) > maxHeldBody {
		return nil, errTooLarge
	}
	return body, err
}

// deliver gives the caller a target's complete answer, unchanged.
func (x *exchange) deliver(a *answer) error {
	h := x.w.Header()
	copyHeader(h, x.g.proto.Relayed(a.header))
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	x.began = true
	x.first = clock.Now()
	x.status = a.status
	x.writeHead(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		return errkind.Wrap(errkind.ClientGone, err, "the caller has gone")
	}
	return nil
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
	if _, ok := src["Content-Type"]; !ok {
		// Keeps the server from guessing one.
		dst["Content-Type"] = nil
	}
}
