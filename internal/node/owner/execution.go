package owner

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/health/evidence"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/header"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// execution is one request that holds a slot of a backend server.
type execution struct {
	owner     *Owner
	server    *server
	call      *call.Call
	id        uint64
	started   time.Time
	cancel    context.CancelCauseFunc
	ctx       context.Context // Of the run.
	stopWatch func()
	once      sync.Once
}

// send sends the request and returns the response. Closing the response's body, or
// reading it to its end, releases the slot.
func (x *execution) send(body io.Reader) (*exchange.Response, error) {
	// The request may have waited in the queue, or the process may have been
	// paused, so that it is authorised again before the first byte is sent.
	if f := x.owner.Membership.Authorize(time.Now(), x.call); f != nil {
		return nil, f
	}
	x.started = time.Now()
	if deadline, ok := x.ctx.Deadline(); ok {
		x.call.Header.Set(header.RequestTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
	x.owner.recordStart(x)
	response, err := x.server.client.Do(x.ctx, &exchange.Request{
		Method:        x.call.Method,
		Target:        x.call.Target,
		Host:          x.call.Host,
		Header:        x.call.Header,
		Body:          body,
		ContentLength: x.call.ContentLength,
		ID:            x.call.ID,
		Idempotent:    x.call.Idempotent && body == nil,
	})
	if err != nil {
		x.owner.observe(x, failureObservation(x, failure.From(err)))
		return nil, err
	}
	latency := time.Since(x.started)
	if response.Status >= http.StatusInternalServerError {
		x.owner.observe(x, evidence.Failed{ID: x.id, Route: x.call.Route.Name, Kind: evidence.Error})
	} else {
		x.owner.observe(x, evidence.Answered{ID: x.id, Route: x.call.Route.Name, Latency: latency})
	}
	response.Body = &responseBody{ReadCloser: response.Body, x: x}
	return response, nil
}

// failureObservation returns the evidence that a failure gives about the backend
// server, or nil if it gives none.
func failureObservation(x *execution, f *failure.Failure) evidence.Observation {
	o := evidence.Failed{ID: x.id, Route: x.call.Route.Name}
	switch f.Kind {
	case kind.UnreachableBackendServer:
		o.Kind = evidence.Connect
	case kind.BrokenAnswer:
		o.Kind = evidence.Cut
	case kind.ForeignAnswer:
		o.Kind = evidence.Wrong
	case kind.CancelledByCaller, kind.SupersededAttempt, kind.LostPeer:
		// The full latency would have been longer, so that counting the
		// elapsed time never overstates how slow the backend server is.
		if took := time.Since(x.started); took >= x.owner.overdueAfter(x.call)/2 {
			return evidence.Answered{ID: x.id, Route: x.call.Route.Name, Latency: took}
		}
		return nil
	case kind.DeadlineDuringRun:
		// A request that expires before its route's overdue threshold had a
		// short deadline; that is not the backend server's fault.
		if time.Since(x.started) < x.owner.overdueAfter(x.call) {
			return nil
		}
		o.Kind = evidence.Timeout
	default:
		return nil
	}
	return o
}

// release gives the slot back and stops tracking the request. It returns false if that was
// done before.
func (x *execution) release() bool {
	first := false
	x.once.Do(func() {
		first = true
		x.stopWatch()
		x.owner.removeRun(x)
		x.cancel(nil)
		x.owner.recordEnd(x)
		x.server.release(x.id)
		x.owner.inFlight.Add(-1)
	})
	return first
}

// responseBody is the response's body; its end or Close ends the execution.
type responseBody struct {
	io.ReadCloser
	x *execution
}

// Read implements io.Reader. It reports a truncated response as evidence against
// the backend server.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if errors.Is(err, io.EOF) {
		b.x.release()
		return n, err
	}
	f := failure.From(err)
	if f.Kind == kind.BrokenAnswer {
		b.x.owner.observe(b.x, evidence.Failed{ID: b.x.id, Route: b.x.call.Route.Name, Kind: evidence.Cut})
	}
	b.x.fail(f)
	return n, err
}

// Close ends the execution whether or not the body was read to its end.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.x.fail(failure.FromContext(b.x.ctx, true))
	return err
}
