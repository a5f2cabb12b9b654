package transport

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// Executor runs the orders that other nodes offer to this node.
type Executor interface {
	// Run calls verdict with its decisions on o, at most one Waiting and then Accepted,
	// one of the refusals, and runs o once it is accepted. After it has accepted, it
	// calls body, which returns nil if there is no body.
	Run(ctx context.Context, o *order.Order, verdict func(Verdict), body func() (io.Reader, error)) (*exchange.Response, error)

	// Load describes the backend server beside this node.
	Load(now time.Time) scheduler.Load
}

// ServeOffer serves the stream of one offer that another node made with Offer. ctx ends when
// the process of this node ends.
func ServeOffer(ctx context.Context, executor Executor, head *peerpb.RequestHead, stream *link.Stream) {
	timeout := durationFromProto(head.GetTimeoutNanos())
	if head.GetVersion() != protocolVersion || timeout <= 0 {
		writeFailure(stream, failure.New(kind.MalformedRequest, "unsupported version of the peer protocol", nil))
		return
	}
	r, stop := newRun(ctx, decodeText(head.GetRequestId()), timeout)
	defer stop()
	o := decodeOrder(head, time.Now().Add(timeout))
	_ = stream.SetDeadline(o.Deadline.Add(deadlineGrace))
	up := newUpload(o.ContentLength, stream, r)
	defer up.close()
	refused, begun := false, false
	verdicts := &frameQueue{stream: stream, run: r}
	defer stream.Faults().Recover(r.id, func(f *failure.Failure) {
		verdicts.wait()
		writeFailure(stream, f)
	})
	response, err := executor.Run(r.ctx, o, func(v Verdict) {
		refused = v.Failure() != nil
		verdicts.add(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: &peerpb.Verdict{
			Decision: uint32(v.Decision), RetryAfterNanos: int64(v.RetryAfter), Load: LoadToProto(v.Load),
			Freshness: StampToProto(v.Stamp), CallCosts: callCostsToProto(v.CallCosts), CallCostRuns: uint32(max(v.CallCostRuns, 0)),
		}}})
	}, func() (io.Reader, error) {
		body, err := up.awaitConfirmation(r.ctx)
		begun = err == nil
		return body, err
	})
	verdicts.wait()
	if refused {
		// The verdict has told the entry about the failure.
		return
	}
	if err != nil {
		f := failure.From(err)
		if !begun && !f.Kind.NotRun() {
			f = failure.New(kind.UnreachablePeer, f.Detail, f)
		}
		_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{
			Kind: uint32(f.Kind), RetryAfterNanos: int64(f.RetryAfter), Detail: f.Detail,
			BackendServer: f.BackendServer.String(), Load: LoadToProto(executor.Load(time.Now())),
		}}})
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := writeOfferResponse(stream, response, executor.Load(time.Now())); err != nil {
		r.lose(err)
	}
}

// frameQueue writes frames to a stream, in the order in which they are added. Its user does not wait for a
// connection to which nothing can be written.
type frameQueue struct {
	stream *link.Stream
	run    *run
	last   chan struct{} // Closed once the last frame was written, or could not be; nil if there is none.
}

func (q *frameQueue) add(f *peerpb.Frame) {
	before, done := q.last, make(chan struct{})
	q.last = done
	go func() {
		defer close(done)
		defer q.run.recover(q.stream)
		if before != nil {
			<-before
		}
		_ = q.stream.Write(f) // The entry notices itself that the stream is gone.
	}()
}

func (q *frameQueue) wait() {
	if q.last != nil {
		<-q.last
	}
}

// run is the run of a request of another node at this one.
type run struct {
	id     string // Of the request.
	ctx    context.Context
	cancel context.CancelCauseFunc
	node   context.Context // Ends with the process of this node.
}

// newRun returns a run with a timeout, and a function that must be called once it has ended.
func newRun(node context.Context, id string, timeout time.Duration) (*run, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(node))
	stopWatch := context.AfterFunc(node, func() { cancel(failure.New(kind.EndedProcess, "", nil)) })
	ctx, stopTimer := context.WithTimeout(ctx, timeout)
	return &run{id: id, ctx: ctx, cancel: cancel, node: node}, func() {
		stopWatch()
		stopTimer()
		cancel(nil)
	}
}

// recover must be deferred by the goroutines of the run. A panic of theirs ends it.
func (r *run) recover(stream *link.Stream) {
	if v := recover(); v != nil {
		r.cancel(stream.Faults().Record(r.id, v))
	}
}

// lose ends the run after its stream failed with err.
func (r *run) lose(err error) {
	k := kind.LostPeer
	if r.node.Err() != nil {
		k = kind.EndedProcess
	}
	r.cancel(failure.New(k, "", err))
}

// giveUp ends the run for the reason that the entry told.
func (r *run) giveUp(f *failure.Failure) {
	f.By = ending.PartyEntry
	r.cancel(f)
}

// writeOfferResponse sends the response of an offer with the load of the backend server. It
// returns an error if it could not write to the stream.
func writeOfferResponse(stream *link.Stream, response *exchange.Response, load scheduler.Load) error {
	head := &peerpb.AnswerHead{
		Status:        int32(response.Status),
		Headers:       encodeHeader(response.Header),
		ContentLength: response.ContentLength,
		BackendServer: response.BackendServer.String(),
		Load:          LoadToProto(load),
	}
	return writeResponse(stream, head, response)
}

func decodeOrder(head *peerpb.RequestHead, deadline time.Time) *order.Order {
	return &order.Order{
		ID:            decodeText(head.GetRequestId()),
		Method:        head.GetMethod(),
		Target:        decodeText(head.GetTarget()),
		Host:          decodeText(head.GetHost()),
		Header:        decodeHeader(head.GetHeaders()),
		ContentLength: max(head.GetContentLength(), -1),
		Customer:      head.GetCustomer(),
		Route:         head.GetRoute(),
		Service:       head.GetService(),
		CallerService: head.GetCallerService(),
		Deadline:      deadline,
		Due:           time.Now().Add(durationFromProto(head.GetDueNanos())),
		QueueDeadline: time.Now().Add(durationFromProto(head.GetPatienceNanos())),
		Objective:     max(durationFromProto(head.GetObjectiveNanos()), 0),
		Priority:      int(min(max(head.GetPriority(), -maxPriority), maxPriority)),
		Nested:        head.GetNested(),
		Steps:         int(min(head.GetSteps(), maxSteps)),
		Idempotent:    head.GetIdempotent(),
		Retry:         head.GetRepeat(),
		Level:         min(order.Level(head.GetLevel()), order.Any),
		Fingerprint:   fingerprint.FromBytes(head.GetFingerprint()),
		Trial:         head.GetTrial(),

		RetryProbability: retryProbability(head),
		PaidCalls:        callCostsFromProto(head.GetPaidCalls()),
	}
}

// upload reads the frames that the entry sends after its offer. The first one confirms
// the offer, so that the request may begin; the others carry the body. When the entry
// closes the stream, the request is cancelled, for the reason that a failure named before.
type upload struct {
	confirmed chan struct{} // Closed when the first frame has arrived.
	once      sync.Once
	body      *uploadBody // Nil if the request has none.
}

func newUpload(contentLength int64, stream *link.Stream, r *run) *upload {
	c := &upload{confirmed: make(chan struct{})}
	body, w := io.Pipe()
	if contentLength != 0 {
		c.body = &uploadBody{PipeReader: body, run: r.ctx}
		go discardOnClose(r.ctx, stream, w)
	}
	go c.read(stream, w, r)
	return c
}

// errGivenUp is the end of a body whose entry has given the request up.
var errGivenUp = errors.New("the entry has closed the stream")

// discardOnClose lets what is left of a body be discarded once the entry has closed the stream, so that the
// reason, or the end of the stream, is read although the backend server does not read the body.
func discardOnClose(run context.Context, stream *link.Stream, w *io.PipeWriter) {
	select {
	case <-stream.PeerClosed():
		_ = w.CloseWithError(errGivenUp)
	case <-run.Done():
	}
}

// uploadBody is the body of a request of another node.
type uploadBody struct {
	*io.PipeReader
	run context.Context
}

// Read implements io.Reader.
func (b *uploadBody) Read(p []byte) (int, error) {
	n, err := b.PipeReader.Read(p)
	if errors.Is(err, errGivenUp) {
		<-b.run.Done() // It ends as soon as what came before is read.
		err = failure.New(kind.BrokenRequestBody, "", context.Cause(b.run))
	}
	return n, err
}

func (c *upload) read(stream *link.Stream, w *io.PipeWriter, r *run) {
	defer func() { _ = w.CloseWithError(errGivenUp) }() // Unless it has ended.
	defer r.recover(stream)
	ended := false
	for {
		f, err := stream.Read()
		if err != nil {
			r.lose(err)
			_ = w.CloseWithError(failure.New(kind.BrokenRequestBody, "", err))
			return
		}
		switch body := f.GetBody().(type) {
		case *peerpb.Frame_Failure:
			f := decodeFailure(body.Failure)
			r.giveUp(f)
			_ = w.CloseWithError(failure.New(kind.BrokenRequestBody, "", f))
			return
		case *peerpb.Frame_Data:
			c.confirm()
			if !ended && c.body != nil {
				// A backend server that responds early stops reading; the rest
				// of the body is discarded.
				_, _ = w.Write(body.Data.GetBytes())
			}
		case *peerpb.Frame_End:
			c.confirm()
			ended = true
			_ = w.Close()
		default:
			if !ended {
				_ = w.CloseWithError(failure.New(kind.BrokenRequestBody, "", errors.New("unexpected frame")))
				ended = true
			}
		}
	}
}

func (c *upload) confirm() {
	c.once.Do(func() { close(c.confirmed) })
}

// close discards the rest of the body.
func (c *upload) close() {
	if c.body != nil {
		_ = c.body.Close()
	}
}

// awaitConfirmation returns the body, or nil if there is none, once the entry has
// confirmed the offer.
func (c *upload) awaitConfirmation(ctx context.Context) (io.Reader, error) {
	t := time.NewTimer(confirmTimeout)
	defer t.Stop()
	select {
	case <-c.confirmed:
	case <-ctx.Done():
		return nil, failure.FromContext(ctx, false)
	case <-t.C:
		return nil, failure.New(kind.UnreachablePeer, "the entry did not let the request begin", nil)
	}
	return c.reader(), nil
}

// reader returns the body, or nil if there is none.
func (c *upload) reader() io.Reader {
	if c.body == nil {
		return nil
	}
	return c.body
}
