package executor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// maxBufferedResponse is the longest response, in bytes, that is buffered whole before any
// of it is passed on, so that a truncated one becomes a failure that can be retried.
const maxBufferedResponse = 64 << 10

// doubtThreshold is the failure probability from which a run counts as begun in doubt: it is more
// likely to fail than not.
const doubtThreshold = 0.5

// expiryMargin is how long before the deadline a backend server may have stopped work
// because of it. The node and the backend server share a VM and its clock, so the margin
// only covers processing time.
const expiryMargin = 50 * time.Millisecond

// errEndedByCrash is the end of a response that ends with its connection because the backend server crashed.
var errEndedByCrash = errors.New("the backend server crashed at the end of a response without a length")

// errQuarantined is the cause with which a run ends whose request is quarantined.
var errQuarantined = failure.New(kind.QuarantinedDuringRun, "", nil)

// execution is one request that holds a slot.
type execution struct {
	executor      *Executor
	id            uint64
	order         *order.Order
	client        *exchange.Client
	instance      string
	started       time.Time
	failingBefore float64                 // Failure probability of the backend server at the start.
	predicted     time.Duration           // Slot time that was expected at the start.
	limit         dialect.RequestLimit    // Limit that the backend server named last before the start.
	cold          bool                    // A cold start limited the requests at the start.
	body          *identifiedBody         // Nil if the fingerprint was known before the start.
	ctx           context.Context         // Of the run.
	stop          context.CancelCauseFunc // Ends the run.
	disconnected  chan struct{}           // Closed once the connection of the run is closed without a whole response.
	releaseOnce   sync.Once
}

// newExecution binds the request to the current incarnation: no other may run it. It
// fails if none is in service any more.
func (ex *Executor) newExecution(id uint64, o *order.Order) (*execution, error) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	a, serving := ex.tracker.Serving()
	if !serving || ex.client == nil {
		return nil, failure.New(kind.NoCapacity, "the backend server has left", nil)
	}
	if v, refused := ex.judge(o); refused {
		return nil, v.Failure()
	}
	now := time.Now()
	x := &execution{
		executor: ex, id: id, order: o, client: ex.client, instance: a.InstanceID, started: now, failingBefore: ex.scheduler.Load(now).FailureProbability,
		limit: ex.limit, cold: ex.scheduler.ColdPaced(now), disconnected: make(chan struct{}),
	}
	_, x.predicted, _ = ex.scheduler.Prediction(now, id)
	if ex.running == nil {
		ex.running = make(map[uint64]*execution)
	}
	ex.running[id] = x
	if x.failingBefore >= doubtThreshold && ex.Count != nil {
		ex.Count(fmt.Sprintf("runs_in_doubt_total{level=%q}", o.Level))
	}
	return x, nil
}

func (x *execution) run(body io.Reader) (*exchange.Response, error) {
	remaining := time.Until(x.order.Deadline)
	if remaining <= 0 {
		x.release(scheduler.Cancelled)
		return nil, failure.New(kind.DeadlineBeforeRun, "", nil)
	}
	x.executor.Dialect.SetRequestHeader(x.order.Header, dialect.BackendRequest{
		ID: x.order.ID, InstanceID: x.instance, Customer: x.order.Customer,
		CallerService: x.order.CallerService, Remaining: remaining,
	})
	response, err := x.client.Do(x.ctx, &exchange.Request{
		Method: x.order.Method, Target: x.order.Target, Host: x.order.Host, Header: x.order.Header,
		Body: body, ContentLength: x.order.ContentLength, ID: x.order.ID,
		Idempotent: x.order.Idempotent, MaxIdleAge: maxReuseIdle,
	})
	if err == nil {
		response, err = x.bufferResponse(response)
	}
	if err != nil {
		return nil, x.endBroken(failure.From(err))
	}
	return response, nil
}

// endBroken ends a run that has no whole response, and returns the failure, which tells whether the backend
// server crashed.
func (x *execution) endBroken(f *failure.Failure) *failure.Failure {
	if f.Kind == kind.BrokenAnswer {
		close(x.disconnected)
		if x.executor.checkCrash(x) {
			f = failure.New(kind.CrashedBackendServer, "", f.Err)
		} else {
			x.executor.recordLost(x)
		}
	}
	x.fail(f, outcomeOf(f))
	switch f.Kind {
	case kind.OtherIncarnation:
		x.executor.evict(x)
	case kind.UnreachableBackendServer, kind.CrashedBackendServer:
		x.executor.suspend(x, f)
	default:
	}
	f.BackendServer = x.executor.Address
	return f
}

// checkEnd returns a failure if the end of the response is that of the backend server.
func (x *execution) checkEnd(unframed bool) error {
	if !unframed {
		return nil
	}
	close(x.disconnected)
	if !x.executor.checkCrash(x) {
		return nil
	}
	return failure.New(kind.CrashedBackendServer, "", errEndedByCrash)
}

// bufferResponse reads a short response to its end and releases its slot. A longer one
// holds the slot until its body is read to the end or closed, or its deadline passes.
func (x *execution) bufferResponse(response *exchange.Response) (*exchange.Response, error) {
	if response.ContentLength > maxBufferedResponse {
		response.Body = x.stream(response.Body, response)
		return response, nil
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, response.Body, maxBufferedResponse+1)
	switch {
	case err == nil:
		rest := response.Body
		response.Body = x.stream(struct {
			io.Reader
			io.Closer
		}{io.MultiReader(&buf, rest), rest}, response)
		return response, nil
	case errors.Is(err, io.EOF):
		_ = response.Body.Close()
		if err := x.checkEnd(response.Unframed); err != nil {
			return nil, err
		}
		if response.ContentLength < 0 {
			response.ContentLength = int64(buf.Len())
		}
		response.Body = io.NopCloser(&buf)
		x.complete(response.Status)
		return response, nil
	default:
		_ = response.Body.Close()
		return nil, err
	}
}

// complete ends a request whose response was read to its end. An error status is logged
// here, with the incarnation that answered, as the caller's node does not know it.
func (x *execution) complete(status int) {
	if q := x.executor.Quarantine; q != nil {
		f, _ := x.fingerprint()
		q.ReportGoodEnd(f)
	}
	if status < http.StatusInternalServerError {
		x.release(scheduler.Answered)
		return
	}
	x.release(x.errorOutcome(status))
	x.logEvent().Int("Status", status).Msg("run ended with an error")
}

// errorOutcome returns the outcome of a response with an error status. A gateway timeout
// at the deadline counts as Expired, not against the backend server: the caller may have
// set too short a deadline.
func (x *execution) errorOutcome(status int) scheduler.Outcome {
	if status == http.StatusGatewayTimeout && time.Until(x.order.Deadline) < expiryMargin {
		return scheduler.Expired
	}
	return scheduler.Errored
}

// logEvent starts a log line about the execution, with the failure probability of the
// backend server at its start and now.
func (x *execution) logEvent() *zerolog.Event {
	load := x.executor.Load(time.Now())
	line := x.executor.Log.Info()
	if x.predicted > 0 {
		line = line.Dur("Predicted", x.predicted)
	}
	if load.WorkKnown {
		line = line.Dur("Work", load.Work).Dur("SlotDelay", load.SlotDelay)
	}
	return line.Str("RequestID", x.order.ID).Str("Instance", x.instance).Str("Route", x.order.Route).
		Bool("Idempotent", x.order.Idempotent).Bool("Nested", x.order.Nested).Uint32("OfferLevel", uint32(x.order.Level)).
		Dur("Took", time.Since(x.started)).Float64("FailingBefore", math.Round(x.failingBefore*1000)/1000).
		Float64("Failing", math.Round(load.FailureProbability*1000)/1000).Int("Running", load.Running)
}

// fail ends a request without a complete response, unless it has ended, and records who gave
// it up first.
func (x *execution) fail(f *failure.Failure, o scheduler.Outcome) {
	if !x.release(o) {
		return
	}
	line := x.logEvent().Str("Kind", f.Kind.String()).Dur("Remaining", x.order.Deadline.Sub(x.started)).Err(f.Err)
	if e, ok := f.Ending(ending.PartyOwner); ok {
		f.By = e.By
		line = line.EmbedObject(e)
		if x.executor.Count != nil {
			x.executor.Count(e.Counter())
		}
	}
	line.Msg("run failed")
}

// release gives back the slot. It returns false if that was done before.
func (x *execution) release(o scheduler.Outcome) bool {
	first := false
	x.releaseOnce.Do(func() {
		first = true
		if o == scheduler.Cancelled || o == scheduler.Expired {
			x.executor.recordAbandoned(x)
		}
		x.executor.release(x.id, o)
		x.stop(nil)
	})
	return first
}

// streamedBody releases the slot when the response's body ends or is closed, or the run ends.
type streamedBody struct {
	io.ReadCloser
	execution *execution
	status    int
	unframed  bool // It ends with the connection.
	reading   atomic.Bool
	ended     bool             // It was read to its end.
	broken    *failure.Failure // Result of all further reads, once set.
}

// stream returns the body of a response that is passed on while it is read.
func (x *execution) stream(body io.ReadCloser, response *exchange.Response) *streamedBody {
	b := &streamedBody{ReadCloser: body, execution: x, status: response.Status, unframed: response.Unframed}
	context.AfterFunc(x.ctx, b.endUnread)
	return b
}

// endUnread releases the slot of a run that has ended and whose caller does not read. A read that waits
// for the backend server ends itself.
func (b *streamedBody) endUnread() {
	defer b.execution.executor.Faults.Recover(b.execution.order.ID, func(*failure.Failure) {})
	if !b.reading.Load() {
		b.execution.fail(failure.FromContext(b.execution.ctx, true), scheduler.Cancelled)
	}
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.broken != nil {
		return 0, b.broken
	}
	b.reading.Store(true)
	defer b.reading.Store(false)
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.ended {
		b.ended = true
		if broken := b.execution.checkEnd(b.unframed); broken != nil {
			err = broken
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		b.execution.complete(b.status)
	case err != nil:
		b.broken = b.execution.endBroken(failure.From(err))
		return n, b.broken
	}
	return n, err
}

// Close drops the rest of the response and releases the slot.
func (b *streamedBody) Close() error {
	err := b.ReadCloser.Close()
	b.execution.fail(failure.FromContext(b.execution.ctx, true), scheduler.Cancelled)
	return err
}

// outcomeOf returns how a failure counts against the backend server.
func outcomeOf(f *failure.Failure) scheduler.Outcome {
	switch f.Kind {
	case kind.CancelledByCaller, kind.QuarantinedDuringRun, kind.BrokenRequestBody, kind.DeadlineBeforeRun, kind.UnreachablePeer,
		kind.LostPeer, kind.SupersededAttempt, kind.EndedProcess, kind.Internal:
		return scheduler.Cancelled
	case kind.DeadlineDuringRun:
		return scheduler.Expired
	default:
		return scheduler.Failed
	}
}
