package host

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// maxGathered is the longest answer, in bytes, that is read to its end before
// any of it is passed on, so that one which is cut short is never begun.
const maxGathered = 64 << 10

// expiryMargin is the time before a deadline in which a backend server may have ended
// its work for it. Both are on one VM and share its clock; the rest is processor time.
const expiryMargin = 50 * time.Millisecond

// execution is one request in a slot.
type execution struct {
	host     *Host
	id       uint64
	order    *order.Order
	client   *exchange.Client
	instance string
	began    time.Time
	failing  float64 // Likelihood of failure of the backend server when it began.
	once     sync.Once
}

// begin pins the incarnation that alone may run the request.
func (h *Host) begin(id uint64, o *order.Order) (*execution, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, serving := h.tenure.Serving()
	if !serving || h.client == nil {
		return nil, failure.New(kind.NoCapacity, "the backend server has left", nil)
	}
	now := time.Now()
	return &execution{
		host: h, id: id, order: o, client: h.client, instance: a.InstanceID, began: now, failing: h.desk.Load(now).FailureProbability,
	}, nil
}

func (x *execution) run(ctx context.Context, body io.Reader) (*exchange.Response, error) {
	remaining := time.Until(x.order.Deadline)
	if remaining <= 0 {
		x.end(scheduler.Cancelled)
		return nil, failure.New(kind.DeadlineBeforeRun, "", nil)
	}
	x.host.Dialect.Mark(x.order.Header, dialect.Mark{
		ID: x.order.ID, Instance: x.instance, Customer: x.order.Customer,
		CallerService: x.order.CallerService, Remaining: remaining,
	})
	answer, err := x.client.Do(ctx, &exchange.Request{
		Method: x.order.Method, Target: x.order.Target, Host: x.order.Host, Header: x.order.Header,
		Body: body, ContentLength: x.order.ContentLength, ID: x.order.ID,
		Idempotent: x.order.Idempotent, MaxIdleAge: fresh,
	})
	if err == nil {
		answer, err = x.gather(answer)
	}
	if err != nil {
		f := failure.From(err)
		x.end(outcomeOf(f))
		x.event().Str("Kind", f.Kind.String()).Dur("Remaining", remaining).Err(f.Err).Msg("run failed")
		switch f.Kind {
		case kind.OtherIncarnation:
			x.host.evict(x.instance)
		case kind.UnreachableBackendServer:
			x.host.suspend(x.instance, f)
		default:
		}
		f.BackendServer = x.host.Address
		return nil, f
	}
	return answer, nil
}

// gather reads a short answer to its end and gives its slot back. A longer one
// keeps the slot until its body is closed.
func (x *execution) gather(answer *exchange.Response) (*exchange.Response, error) {
	if answer.ContentLength > maxGathered {
		answer.Body = &streamedBody{ReadCloser: answer.Body, x: x, status: answer.Status}
		return answer, nil
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, answer.Body, maxGathered+1)
	switch {
	case err == nil:
		rest := answer.Body
		answer.Body = &streamedBody{
			ReadCloser: struct {
				io.Reader
				io.Closer
			}{io.MultiReader(&buf, rest), rest},
			x: x, status: answer.Status,
		}
		return answer, nil
	case errors.Is(err, io.EOF):
		_ = answer.Body.Close()
		if answer.ContentLength < 0 {
			answer.ContentLength = int64(buf.Len())
		}
		answer.Body = io.NopCloser(&buf)
		x.answered(answer.Status)
		return answer, nil
	default:
		_ = answer.Body.Close()
		return nil, err
	}
}

// answered ends a run whose answer is whole. One that is an error is logged with
// the backend server that made it, which the caller's node does not know.
func (x *execution) answered(status int) {
	if status < http.StatusInternalServerError {
		x.end(scheduler.Answered)
		return
	}
	x.end(x.errored(status))
	x.event().Int("Status", status).Msg("run ended with an error")
}

// errored tells what an error says of the backend server. It ends work at the
// deadline, which a hurried caller may have set too early.
func (x *execution) errored(status int) scheduler.Outcome {
	if status == http.StatusGatewayTimeout && time.Until(x.order.Deadline) < expiryMargin {
		return scheduler.Expired
	}
	return scheduler.Errored
}

// event starts a log line about the run, with what was known of the backend server
// when it began and is known now.
func (x *execution) event() *zerolog.Event {
	load := x.host.Load(time.Now())
	return x.host.Log.Info().Str("RequestID", x.order.ID).Str("Instance", x.instance).Str("Route", x.order.Route).
		Bool("Idempotent", x.order.Idempotent).Bool("Nested", x.order.Nested).Uint32("OfferLevel", uint32(x.order.Level)).
		Dur("Took", time.Since(x.began)).Float64("FailingBefore", math.Round(x.failing*1000)/1000).
		Float64("Failing", math.Round(load.FailureProbability*1000)/1000).Int("Running", load.Running)
}

func (x *execution) end(o scheduler.Outcome) {
	x.once.Do(func() { x.host.leave(x.id, o) })
}

// streamedBody gives the slot back with the answer's end.
type streamedBody struct {
	io.ReadCloser
	x      *execution
	status int
}

func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.x.answered(b.status)
	case err != nil:
		b.x.end(outcomeOf(failure.From(err)))
	}
	return n, err
}

// Close gives up the rest of the answer.
func (b *streamedBody) Close() error {
	err := b.ReadCloser.Close()
	b.x.end(scheduler.Cancelled)
	return err
}

// outcomeOf tells what a failure says of the backend server.
func outcomeOf(f *failure.Failure) scheduler.Outcome {
	switch f.Kind {
	case kind.CancelledByCaller, kind.BrokenRequestBody, kind.DeadlineBeforeRun, kind.UnreachablePeer:
		return scheduler.Cancelled
	case kind.DeadlineDuringRun:
		return scheduler.Expired
	default:
		return scheduler.Failed
	}
}
