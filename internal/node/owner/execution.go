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

// execution is one request in a slot of a backend server.
type execution struct {
	owner   *Owner
	server  *server
	call    *call.Call
	id      uint64
	started time.Time
	cancel  context.CancelCauseFunc
	unwatch func()
	once    sync.Once
}

// run sends the request and returns the answer, whose body ends the execution.
func (x *execution) run(ctx context.Context, body io.Reader) (*exchange.Response, error) {
	// The request may have waited for its slot, or the process may have been
	// paused: authority is checked once more before the first byte.
	if f := x.owner.Authority.Authorize(time.Now(), x.call); f != nil {
		return nil, f
	}
	x.started = time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		x.call.Header.Set(header.RequestTimeout, time.Until(deadline).Round(time.Millisecond).String())
	}
	x.owner.start(x)
	answer, err := x.server.client.Do(ctx, &exchange.Request{
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
		x.owner.observe(x, failed(x, failure.From(err)))
		return nil, err
	}
	latency := time.Since(x.started)
	if answer.Status >= http.StatusInternalServerError {
		x.owner.observe(x, evidence.Failed{ID: x.id, Route: x.call.Route.Name, Kind: evidence.Error})
	} else {
		x.owner.observe(x, evidence.Answered{ID: x.id, Route: x.call.Route.Name, Latency: latency})
	}
	answer.Body = &executionBody{ReadCloser: answer.Body, x: x}
	return answer, nil
}

// failed returns what a failure says of the backend server, or nil if nothing.
func failed(x *execution, f *failure.Failure) evidence.Observation {
	o := evidence.Failed{ID: x.id, Route: x.call.Route.Name}
	switch f.Kind {
	case kind.UnreachableBackendServer:
		o.Kind = evidence.Connect
	case kind.BrokenAnswer:
		o.Kind = evidence.Cut
	case kind.ForeignAnswer:
		o.Kind = evidence.Wrong
	case kind.CancelledByCaller:
		// The answer would have taken longer still, so that this never
		// overstates how slow the backend server is.
		if took := time.Since(x.started); took >= x.owner.overdue(x.call)/2 {
			return evidence.Answered{ID: x.id, Route: x.call.Route.Name, Latency: took}
		}
		return nil
	case kind.DeadlineDuringRun:
		// A caller's short deadline is not the backend server's fault.
		if time.Since(x.started) < x.owner.overdue(x.call) {
			return nil
		}
		o.Kind = evidence.Timeout
	default:
		return nil
	}
	return o
}

// end gives the slot back.
func (x *execution) end() {
	x.once.Do(func() {
		x.unwatch()
		x.cancel(nil)
		x.owner.forget(x)
		x.server.leave(x.id)
		x.owner.active.Add(-1)
	})
}

// executionBody ends the execution with the answer's body.
type executionBody struct {
	io.ReadCloser
	x *execution
}

// Read notes an answer that is cut short.
func (b *executionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	var f *failure.Failure
	if errors.As(err, &f) && f.Kind == kind.BrokenAnswer {
		b.x.owner.observe(b.x, evidence.Failed{ID: b.x.id, Route: b.x.call.Route.Name, Kind: evidence.Cut})
	}
	b.x.end()
	return n, err
}

// Close ends the execution whether or not the answer was read to its end.
func (b *executionBody) Close() error {
	err := b.ReadCloser.Close()
	b.x.end()
	return err
}
