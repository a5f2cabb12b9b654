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
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/replay"
	"filbertturn.example/filbertturn/internal/request/retrybucket"
)

// maxBufferedResponse is the largest response, in bytes, that is buffered whole
// before the caller gets any of it.
const maxBufferedResponse = 16 << 10

// request is the state of one request over its attempts.
type request struct {
	call     *call.Call
	body     *replay.Body // Nil if there is none.
	service  string
	attempts int
	tried    map[netip.AddrPort]bool // Owners that got an attempt.
	avoid    []netip.AddrPort        // Backend servers at which an attempt failed.
}

// canReplayBody reports whether the body, if any, can be sent again from its start.
func (r *request) canReplayBody() bool {
	return r.body == nil || r.body.Replayable()
}

// avoidFailed records the backend server at which an attempt failed, so that later
// attempts avoid it.
func (r *request) avoidFailed(o outcome) {
	if o.response != nil {
		r.avoid = append(r.avoid, o.response.BackendServer)
		return
	}
	if f := failure.From(o.err); f.BackendServer.IsValid() {
		r.avoid = append(r.avoid, f.BackendServer)
	}
}

// attempt is one transmission of a request to one owner.
type attempt struct {
	call    *call.Call
	to      netip.AddrPort // Address of the owner's node.
	service string
	started time.Time
	ctx     context.Context
	cancel  context.CancelCauseFunc
	result  chan outcome // Receives one value; buffered.
}

// errSuperseded is the cause with which an attempt ends once another one has answered.
var errSuperseded = failure.New(kind.SupersededAttempt, "", nil)

// outcome is the result of an attempt: a response or an error.
type outcome struct {
	response *exchange.Response
	err      error
	cancel   context.CancelCauseFunc // Of the attempt; nil if there was none.
}

// failed reports whether the attempt ended with an error or a 5xx status.
func (o outcome) failed() bool {
	return o.err != nil || o.response.Status >= http.StatusInternalServerError
}

// mergeNext returns the outcome to report to the caller, given the outcome of the
// next attempt at the same request. A response takes precedence over a failure,
// whatever its status. If an earlier attempt may have run, a later refusal must
// not claim that the request did not run.
func (o outcome) mergeNext(next outcome) outcome {
	switch {
	case next.response != nil:
		o.discard()
		return next
	case o.response != nil:
		return o
	case o.err != nil && !failure.From(o.err).Kind.NotRun() && failure.From(next.err).Kind.NotRun():
		return o
	}
	return next
}

// freeSlots returns the free slots that the owner reported, or nil if it reported
// none.
func (o outcome) freeSlots() *int {
	if o.err != nil {
		return failure.From(o.err).FreeSlots
	}
	return o.response.FreeSlots
}

// sendHedged sends the request. If there is no response within the route's hedge
// delay, it sends a hedged request to another owner, provided that the request is
// idempotent and without a body and that the retry budget allows it. The first
// successful attempt wins and the other one is cancelled.
func (f *Forwarder) sendHedged(ctx context.Context, r *request) outcome {
	first, err := f.startAttempt(ctx, r)
	if err != nil {
		return outcome{err: err}
	}
	delay, known := f.hedgeDelay(r.call.Route.Name)
	if !known || !r.call.Idempotent || r.body != nil || r.attempts >= maxAttempts {
		return <-first.result
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case o := <-first.result:
		return o
	case <-timer.C:
	}
	if !f.withBudget(r.service, func(b *retrybucket.Bucket) bool { return b.AllowRetry(time.Now()) }) {
		return <-first.result
	}
	second, err := f.startAttempt(ctx, r)
	if err != nil {
		return <-first.result
	}
	return firstSuccess(first, second)
}

// firstSuccess returns the first successful outcome of two attempts and cancels the
// other attempt. If the first one to end failed, it waits for both.
func firstSuccess(first, second *attempt) outcome {
	var o outcome
	var other *attempt
	select {
	case o = <-first.result:
		other = second
	case o = <-second.result:
		other = first
	}
	if o.failed() {
		return o.mergeNext(<-other.result)
	}
	go other.abort()
	return o
}

// abort cancels an attempt and discards its response.
func (a *attempt) abort() {
	a.cancel(errSuperseded)
	(<-a.result).discard()
}

// discard closes the body of the response, if there is one, in favour of another attempt.
func (o outcome) discard() {
	if o.response != nil {
		if o.cancel != nil {
			o.cancel(errSuperseded)
		}
		_ = o.response.Body.Close()
	}
}

// startAttempt starts an attempt at an owner that it picks.
func (f *Forwarder) startAttempt(ctx context.Context, r *request) (*attempt, error) {
	var body io.Reader
	if r.body != nil {
		var ok bool
		if body, ok = r.body.NewReader(); !ok {
			return nil, failure.New(kind.Internal, "the body cannot be sent again", nil)
		}
	}
	to, ok := f.pickOwner(r)
	if !ok {
		return nil, failure.New(kind.NoCapacity, "no backend server of the service is ready", nil)
	}
	r.tried[to] = true
	r.attempts++
	// Each attempt gets a copy, since the owner and the exchange client modify
	// the header.
	c := *r.call
	c.Header = r.call.Header.Clone()
	c.Avoid = r.avoid
	c.ID = r.call.ID + "-" + strconv.Itoa(r.attempts)
	ctx, cancel := context.WithCancelCause(ctx)
	a := &attempt{call: &c, to: to, service: r.service, started: time.Now(), ctx: ctx, cancel: cancel, result: make(chan outcome, 1)}
	go func() {
		defer f.Faults.Recover(c.ID, func(cause *failure.Failure) {
			f.recordEnding(a, cause)
			f.recordEnd(a.to, a.service)
			cancel(cause)
			a.result <- outcome{err: cause, cancel: cancel}
		})
		a.result <- f.runAttempt(a, body)
	}()
	return a, nil
}

// runAttempt sends an attempt to its owner, waits for the outcome and records it.
func (f *Forwarder) runAttempt(a *attempt, body io.Reader) outcome {
	response, err := f.send(a.ctx, a.to, a.call, body)
	if err == nil {
		response.Body = &attemptBody{ReadCloser: response.Body, forwarder: f, attempt: a}
		response, err = bufferResponse(a.call, response)
	} else {
		f.recordEnding(a, failure.From(err))
		f.recordEnd(a.to, a.service)
		a.cancel(nil)
	}
	o := outcome{response: response, err: err, cancel: a.cancel}
	f.recordOutcome(a, o)
	return o
}

// bufferResponse buffers a short response to an idempotent request before the
// caller gets any of it, so that the request can still be retried if the response
// is truncated.
func bufferResponse(c *call.Call, response *exchange.Response) (*exchange.Response, error) {
	if !c.Idempotent || response.ContentLength <= 0 || response.ContentLength > maxBufferedResponse || c.Method == http.MethodHead {
		return response, nil
	}
	whole := make([]byte, response.ContentLength)
	_, err := io.ReadFull(response.Body, whole)
	if err == nil {
		// Only EOF from the body proves that the response is complete.
		_, err = response.Body.Read(make([]byte, 1))
	}
	closeErr := response.Body.Close()
	if !errors.Is(err, io.EOF) {
		f := failure.From(errors.Join(err, closeErr))
		f.BackendServer = response.BackendServer
		return nil, f
	}
	response.Body = io.NopCloser(bytes.NewReader(whole))
	return response, nil
}

// send passes a call to the owner in this process or to another node.
func (f *Forwarder) send(ctx context.Context, to netip.AddrPort, c *call.Call, body io.Reader) (*exchange.Response, error) {
	if to == f.Self {
		return f.Owner.Serve(ctx, c, body)
	}
	return f.Transport.Send(ctx, to, c, body)
}

// attemptBody ends the attempt when the body of its response is closed.
type attemptBody struct {
	io.ReadCloser
	forwarder *Forwarder
	attempt   *attempt
	ended     bool // The body was read to its end, or the ending is recorded.
	once      sync.Once
}

// Read implements io.Reader.
func (b *attemptBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.fail(failure.From(err))
	}
	return n, err
}

// Close closes the body and ends the attempt.
func (b *attemptBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(func() {
		b.fail(failure.FromContext(b.attempt.ctx, true))
		b.forwarder.recordEnd(b.attempt.to, b.attempt.service)
		b.attempt.cancel(nil)
	})
	return err
}

func (b *attemptBody) fail(f *failure.Failure) {
	if !b.ended {
		b.ended = true
		b.forwarder.recordEnding(b.attempt, f)
	}
}
