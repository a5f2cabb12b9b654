package courier

import (
	"context"
	"io"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// Executor runs the orders that are offered to this node.
type Executor interface {
	// Run gives its verdicts on o, at most one Waiting and then Accepted or
	// Refused, and runs o once it is accepted. It asks for the body, which is
	// nil if there is none, after it has accepted.
	Run(ctx context.Context, o *order.Order, verdict func(Verdict), body func() (io.Reader, error)) (*exchange.Response, error)

	// Load describes the backend server beside this node.
	Load(now time.Time) scheduler.Load
}

// Accept serves one offer that another node made.
func Accept(ctx context.Context, host Executor, head *peerpb.RequestHead, stream *link.Stream) {
	timeout := time.Duration(head.GetTimeoutNanos())
	if head.GetVersion() != version || timeout <= 0 {
		fail(stream, failure.New(kind.MalformedRequest, "unsupported version of the peer protocol", nil))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o := fromOrderHead(head, time.Now().Add(timeout))
	_ = stream.SetDeadline(o.Deadline.Add(linger))
	in := newCommit(o, stream, cancel)
	defer in.close()
	refused := false
	answer, err := host.Run(ctx, o, func(v Verdict) {
		refused = v.Failure() != nil
		_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Verdict{Verdict: &peerpb.Verdict{
			Decision: uint32(v.Decision), RetryAfterNanos: int64(v.RetryAfter), Load: ToLoad(v.Load),
			Freshness: ToFreshness(v.Stamp),
		}}})
	}, func() (io.Reader, error) { return in.wait(ctx) })
	if refused {
		// The verdict has said all.
		return
	}
	if err != nil {
		f := failure.From(err)
		_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{
			Kind: uint32(f.Kind), RetryAfterNanos: int64(f.RetryAfter), Detail: f.Detail,
			BackendServer: f.BackendServer.String(), Load: ToLoad(host.Load(time.Now())),
		}}})
		return
	}
	defer func() { _ = answer.Body.Close() }()
	answerOrder(stream, answer, host.Load(time.Now()))
}

func answerOrder(stream *link.Stream, answer *exchange.Response, load scheduler.Load) {
	head := &peerpb.AnswerHead{
		Status:        int32(answer.Status),
		Headers:       fields(answer.Header),
		ContentLength: answer.ContentLength,
		BackendServer: answer.BackendServer.String(),
		Load:          ToLoad(load),
	}
	writeAnswer(stream, head, answer)
}

func fromOrderHead(head *peerpb.RequestHead, deadline time.Time) *order.Order {
	return &order.Order{
		ID:            head.GetRequestId(),
		Method:        head.GetMethod(),
		Target:        head.GetTarget(),
		Host:          head.GetHost(),
		Header:        headers(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		Customer:      head.GetCustomer(),
		Route:         head.GetRoute(),
		Service:       head.GetService(),
		CallerService: head.GetCallerService(),
		Deadline:      deadline,
		Due:           time.Now().Add(time.Duration(head.GetDueNanos())),
		Patience:      time.Now().Add(time.Duration(head.GetPatienceNanos())),
		Objective:     time.Duration(head.GetObjectiveNanos()),
		Priority:      int(head.GetPriority()),
		Nested:        head.GetNested(),
		Steps:         int(head.GetSteps()),
		Idempotent:    head.GetIdempotent(),
		Repeat:        head.GetRepeat(),
		Level:         order.Level(head.GetLevel()),
	}
}

// commit reads what the entry sends after its offer: the body, and in the end
// that it has left. The first frame of it lets the request begin.
type commit struct {
	began chan struct{}
	once  sync.Once
	body  *io.PipeReader // Nil if the request has none.
}

func newCommit(o *order.Order, stream *link.Stream, cancel context.CancelFunc) *commit {
	c := &commit{began: make(chan struct{})}
	r, w := io.Pipe()
	if o.ContentLength != 0 {
		c.body = r
	}
	go c.read(stream, w, cancel)
	return c
}

func (c *commit) read(stream *link.Stream, w *io.PipeWriter, cancel context.CancelFunc) {
	ended := false
	for {
		f, err := stream.Read()
		if err != nil {
			_ = w.CloseWithError(failure.New(kind.BrokenRequestBody, "", err))
			cancel()
			return
		}
		c.once.Do(func() { close(c.began) })
		switch body := f.GetBody().(type) {
		case *peerpb.Frame_Data:
			if !ended && c.body != nil {
				// A backend server that answers early stops reading; what is
				// left of the body is dropped.
				_, _ = w.Write(body.Data.GetBytes())
			}
		case *peerpb.Frame_End:
			ended = true
			_ = w.Close()
		}
	}
}

// close drops what is left of the body.
func (c *commit) close() {
	if c.body != nil {
		_ = c.body.Close()
	}
}

// wait returns the body once the entry has let the request begin.
func (c *commit) wait(ctx context.Context) (io.Reader, error) {
	t := time.NewTimer(commitTime)
	defer t.Stop()
	select {
	case <-c.began:
	case <-ctx.Done():
		return nil, failure.FromContext(ctx, false)
	case <-t.C:
		return nil, failure.New(kind.UnreachablePeer, "the entry did not let the request begin", nil)
	}
	if c.body == nil {
		return nil, nil
	}
	return c.body, nil
}
