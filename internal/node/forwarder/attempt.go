package forwarder

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/request/budget"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/replay"
)

// maxGathered is the longest answer, in bytes, that is read to its end before
// the caller sees any of it.
const maxGathered = 16 << 10

// request is the state of one request over its attempts.
type request struct {
	call     *call.Call
	body     *replay.Body // Nil if there is none.
	service  string
	attempts int
	tried    map[netip.AddrPort]bool // Owners.
	avoid    []netip.AddrPort        // Backend servers that failed.
}

// repeatable tells whether the body can be sent again.
func (r *request) repeatable() bool {
	return r.body == nil || r.body.Kept()
}

// note remembers the backend server that an attempt failed at.
func (r *request) note(o outcome) {
	if o.answer != nil {
		r.avoid = append(r.avoid, o.answer.BackendServer)
		return
	}
	if f := failure.From(o.err); f.BackendServer.IsValid() {
		r.avoid = append(r.avoid, f.BackendServer)
	}
}

// attempt is one request to one owner.
type attempt struct {
	call    *call.Call
	to      netip.AddrPort
	service string
	started time.Time
	cancel  context.CancelFunc
	result  chan outcome
}

// outcome is the end of an attempt: an answer or an error.
type outcome struct {
	answer *exchange.Response
	err    error
}

// failed tells whether another attempt could do better.
func (o outcome) failed() bool {
	return o.err != nil || o.answer.Status >= http.StatusInternalServerError
}

// followed returns what to tell the caller after another attempt at the same
// request. An answer goes before a failure, whatever its status; and where one
// attempt may have run, the last one's refusal must not claim that none did.
func (o outcome) followed(next outcome) outcome {
	switch {
	case next.answer != nil:
		o.discard()
		return next
	case o.answer != nil:
		return o
	case o.err != nil && !failure.From(o.err).Kind.NotRun() && failure.From(next.err).Kind.NotRun():
		return o
	}
	return next
}

func (o outcome) freeSlots() *int {
	if o.err != nil {
		return failure.From(o.err).FreeSlots
	}
	return o.answer.FreeSlots
}

// race sends the request, and a second time when the answer is overdue and
// nothing speaks against it. The better answer wins and the other attempt is
// cancelled.
func (f *Forwarder) race(ctx context.Context, r *request) outcome {
	first, err := f.launch(ctx, r)
	if err != nil {
		return outcome{err: err}
	}
	overdue, known := f.overdue(r.call.Route.Name)
	if !known || !r.call.Idempotent || r.body != nil || r.attempts >= maxAttempts {
		return <-first.result
	}
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	select {
	case o := <-first.result:
		return o
	case <-timer.C:
	}
	if !f.budget(r.service, func(b *budget.Budget) bool { return b.Retry(time.Now()) }) {
		return <-first.result
	}
	second, err := f.launch(ctx, r)
	if err != nil {
		return <-first.result
	}
	return finish(first, second)
}

// finish waits for the first good outcome of two attempts, or for both.
func finish(first, second *attempt) outcome {
	var o outcome
	var other *attempt
	select {
	case o = <-first.result:
		other = second
	case o = <-second.result:
		other = first
	}
	if o.failed() {
		return o.followed(<-other.result)
	}
	go other.abandon()
	return o
}

// abandon cancels an attempt whose answer nobody wants.
func (a *attempt) abandon() {
	a.cancel()
	(<-a.result).discard()
}

func (o outcome) discard() {
	if o.answer != nil {
		_ = o.answer.Body.Close()
	}
}

// launch starts an attempt at an owner.
func (f *Forwarder) launch(ctx context.Context, r *request) (*attempt, error) {
	var body io.Reader
	if r.body != nil {
		var ok bool
		if body, ok = r.body.Reader(); !ok {
			return nil, failure.New(kind.Internal, "the body cannot be sent again", nil)
		}
	}
	to, ok := f.pick(r)
	if !ok {
		return nil, failure.New(kind.NoCapacity, "no backend server of the service is ready", nil)
	}
	r.tried[to] = true
	r.attempts++
	// The owner and the exchange change the header.
	c := *r.call
	c.Header = r.call.Header.Clone()
	c.Avoid = r.avoid
	c.ID = r.call.ID + "-" + strconv.Itoa(r.attempts)
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{call: &c, to: to, service: r.service, started: time.Now(), cancel: cancel, result: make(chan outcome, 1)}
	go func() { a.result <- f.run(ctx, a, body) }()
	return a, nil
}

// run carries an attempt to its outcome.
func (f *Forwarder) run(ctx context.Context, a *attempt, body io.Reader) outcome {
	answer, err := f.send(ctx, a.to, a.call, body)
	if err == nil {
		answer.Body = &attemptBody{ReadCloser: answer.Body, end: func() { f.done(a.to, a.service); a.cancel() }}
		answer, err = gather(a.call, answer)
	} else {
		f.done(a.to, a.service)
		a.cancel()
	}
	o := outcome{answer: answer, err: err}
	f.learn(a, o)
	return o
}

// gather reads a short answer to its end before the caller sees any of it, so
// that one that is cut short can still be asked for again.
func gather(c *call.Call, answer *exchange.Response) (*exchange.Response, error) {
	if !c.Idempotent || answer.ContentLength <= 0 || answer.ContentLength > maxGathered || c.Method == http.MethodHead {
		return answer, nil
	}
	whole := make([]byte, answer.ContentLength)
	_, err := io.ReadFull(answer.Body, whole)
	if err == nil {
		// The end of the body tells that the answer was whole.
		_, err = answer.Body.Read(make([]byte, 1))
	}
	closeErr := answer.Body.Close()
	if !errors.Is(err, io.EOF) {
		f := failure.From(errors.Join(err, closeErr))
		f.BackendServer = answer.BackendServer
		return nil, f
	}
	answer.Body = io.NopCloser(bytes.NewReader(whole))
	return answer, nil
}

func (f *Forwarder) send(ctx context.Context, to netip.AddrPort, c *call.Call, body io.Reader) (*exchange.Response, error) {
	if to == f.Self {
		return f.Owner.Serve(ctx, c, body)
	}
	return f.Courier.Send(ctx, to, c, body)
}

// attemptBody ends the attempt when its answer is closed.
type attemptBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close ends the attempt.
func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.end)
	return err
}
