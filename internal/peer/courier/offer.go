package courier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// Bounds of an offer.
const (
	// reactionTime is the time in which a node must react to an offer. It is
	// many times the way there and back, and leaves room for a node that waits
	// for its processor.
	reactionTime = 150 * time.Millisecond

	// commitTime is the time for which a slot is kept for the body of an offer
	// that was accepted.
	commitTime = 300 * time.Millisecond
)

// Decision is what an owner does with an offer.
type Decision uint32

// The decisions.
const (
	Refused Decision = iota
	Waiting
	Accepted
	Overloaded // Refused, and no other owner is to be asked: calls of the request would be refused.
)

// Verdict is an owner's word on an offer.
type Verdict struct {
	Decision   Decision
	RetryAfter time.Duration
	Load       scheduler.Load
	Stamp      freshness.Stamp // What the owner runs.
}

// Failure returns the failure that a refusal stands for, or nil.
func (v Verdict) Failure() error {
	k := kind.NoCapacity
	switch v.Decision {
	case Refused:
	case Overloaded:
		k = kind.Overloaded
	default:
		return nil
	}
	f := failure.New(k, "", nil)
	f.RetryAfter = v.RetryAfter
	return f
}

// Reply is the end of an offer: an answer, or an error of type
// *failure.Failure.
type Reply struct {
	Answer *exchange.Response
	Err    error
	Sent   bool            // The backend server may have received a part of the request.
	Load   *scheduler.Load // What the owner said last; nil if it said nothing.

	// Stamp is what the owner said of its configuration in reply to what was
	// asked at Asked; zero if it said nothing.
	Stamp freshness.Stamp
	Asked time.Time
}

// Offer asks the owner at an address to run o. The body is read only once the
// owner has a slot for it. Until then an offer that comes to nothing has
// certainly not run.
func (c *Courier) Offer(ctx context.Context, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) Reply {
	asked := time.Now()
	f := &offer{ctx: ctx}
	r := c.offer(f, to, o, body)
	r.Asked, r.Stamp = asked, f.stamp
	return r
}

func (c *Courier) offer(f *offer, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) Reply {
	ctx := f.ctx
	dial, stop := context.WithTimeout(ctx, reactionTime)
	stream, err := c.Mesh.Open(dial, to)
	stop()
	if err != nil {
		return Reply{Err: notSent(ctx, err)}
	}
	f.stream = stream
	f.stop = context.AfterFunc(ctx, stream.Abort)
	_ = stream.SetDeadline(o.Deadline.Add(linger))
	reaction := time.AfterFunc(reactionTime, f.expire)
	defer reaction.Stop()
	if err := stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: orderHead(o)}}); err != nil {
		f.end()
		return Reply{Err: notSent(ctx, err)}
	}
	v, err := f.await(reaction)
	if err != nil {
		f.end()
		if v == nil && ctx.Err() == nil {
			c.Mesh.Renew(to)
		}
		return Reply{Err: err, Load: v}
	}
	return f.commit(body, v)
}

// notSent is the failure of an offer that no backend server has seen.
func notSent(ctx context.Context, err error) *failure.Failure {
	if ctx.Err() != nil {
		return failure.FromContext(ctx, false)
	}
	return failure.New(kind.UnreachablePeer, "", err)
}

// offer is one offer under way.
type offer struct {
	stream *link.Stream
	ctx    context.Context
	stop   func() bool
	stamp  freshness.Stamp
}

func (f *offer) end() {
	f.stop()
	_ = f.stream.Close()
}

// expire gives up an offer that the owner did not react to.
func (f *offer) expire() {
	f.stream.Abort()
}

// await reads verdicts until the owner has a slot or refuses.
func (f *offer) await(reaction *time.Timer) (*scheduler.Load, error) {
	var load *scheduler.Load
	for {
		frame, err := f.stream.Read()
		if err != nil {
			return load, notSent(f.ctx, err)
		}
		if !reaction.Stop() && load == nil {
			return nil, notSent(f.ctx, errors.New("the owner reacted too late"))
		}
		switch body := frame.GetBody().(type) {
		case *peerpb.Frame_Verdict:
			l := FromLoad(body.Verdict.GetLoad())
			load = &l
			f.stamp = FromFreshness(body.Verdict.GetFreshness())
			v := Verdict{Decision: Decision(body.Verdict.GetDecision()), RetryAfter: time.Duration(body.Verdict.GetRetryAfterNanos())}
			if v.Decision == Accepted {
				return load, nil
			}
			if err := v.Failure(); err != nil {
				return load, err
			}
		case *peerpb.Frame_Failure:
			return load, fromFrame(body.Failure)
		default:
			return load, notSent(f.ctx, errors.New("unexpected frame"))
		}
	}
}

// commit sends the body, or the word that there is none, and reads the answer.
func (f *offer) commit(body func() (io.Reader, error), load *scheduler.Load) Reply {
	reader, err := body()
	if err != nil {
		f.end()
		return Reply{Err: err, Load: load}
	}
	sent := make(chan error, 1)
	if reader == nil {
		sent <- f.writeEnd()
	} else {
		go func() {
			err := writeBody(f.stream, reader)
			if err == nil {
				err = f.writeEnd()
			}
			var source *sourceError
			if errors.As(err, &source) {
				// The owner must see that the request is not whole.
				_ = f.stream.Close()
			}
			sent <- err
		}()
	}
	answer, load, err := f.receive(load)
	if err != nil {
		var source *sourceError
		select {
		case e := <-sent:
			if errors.As(e, &source) {
				err = failure.New(kind.BrokenRequestBody, "", e)
			}
		default:
		}
		f.end()
		return Reply{Err: err, Sent: true, Load: load}
	}
	return Reply{Answer: answer, Sent: true, Load: load}
}

func (f *offer) writeEnd() error {
	return f.stream.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: &peerpb.End{}}})
}

func (f *offer) receive(load *scheduler.Load) (*exchange.Response, *scheduler.Load, error) {
	frame, err := f.stream.Read()
	if err != nil {
		return nil, load, f.lost(err)
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Answer:
		if l := body.Answer.GetLoad(); l != nil {
			now := FromLoad(l)
			load = &now
		}
		return f.answer(body.Answer), load, nil
	case *peerpb.Frame_Failure:
		if l := body.Failure.GetLoad(); l != nil {
			now := FromLoad(l)
			load = &now
		}
		return nil, load, fromFrame(body.Failure)
	default:
		return nil, load, f.lost(errors.New("unexpected frame"))
	}
}

func (f *offer) lost(err error) *failure.Failure {
	if f.ctx.Err() != nil {
		return failure.FromContext(f.ctx, true)
	}
	return failure.New(kind.LostPeer, "", err)
}

func (f *offer) answer(head *peerpb.AnswerHead) *exchange.Response {
	body := &bodyReader{stream: f.stream, classify: f.lost, refused: fromFrame, finish: f.end}
	return &exchange.Response{
		Status:        int(head.GetStatus()),
		Header:        headers(head.GetHeaders()),
		Body:          body,
		ContentLength: head.GetContentLength(),
		BackendServer: address(head.GetBackendServer()),
		Trailer:       func() http.Header { return body.trailer },
	}
}

func orderHead(o *order.Order) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Version:        version,
		Method:         o.Method,
		Target:         o.Target,
		Host:           o.Host,
		Headers:        fields(o.Header),
		ContentLength:  o.ContentLength,
		Customer:       o.Customer,
		Route:          o.Route,
		TimeoutNanos:   int64(time.Until(o.Deadline)),
		RequestId:      o.ID,
		Service:        o.Service,
		CallerService:  o.CallerService,
		Level:          uint32(o.Level),
		Priority:       int32(o.Priority),
		Nested:         o.Nested,
		Steps:          uint32(max(o.Steps, 0)),
		Idempotent:     o.Idempotent,
		Repeat:         o.Repeat,
		ObjectiveNanos: int64(o.Objective),
		DueNanos:       int64(time.Until(o.Due)),
		PatienceNanos:  int64(time.Until(o.Patience)),
	}
}

// ToFreshness and FromFreshness translate what a node tells of its
// configuration.
func ToFreshness(s freshness.Stamp) *peerpb.Freshness {
	return &peerpb.Freshness{Version: s.Version, AgeNanos: int64(s.Age)}
}

// FromFreshness is the inverse of ToFreshness.
func FromFreshness(f *peerpb.Freshness) freshness.Stamp {
	return freshness.Stamp{Version: f.GetVersion(), Age: time.Duration(f.GetAgeNanos())}
}

// ToLoad and FromLoad translate what a node tells of its backend server.
func ToLoad(l scheduler.Load) *peerpb.Load {
	return &peerpb.Load{
		Running: int32(l.Running), Waiting: int32(l.Waiting), Slots: int32(l.Slots),
		Failing: float32(l.FailureProbability), Serving: l.Serving, HoldNanos: int64(l.MeanSlotTime), Trial: l.TrialDue,
		UnusedMillis: uint32(l.Idle.Milliseconds()),
	}
}

// FromLoad is the inverse of ToLoad.
func FromLoad(l *peerpb.Load) scheduler.Load {
	return scheduler.Load{
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), Slots: int(l.GetSlots()),
		FailureProbability: float64(l.GetFailing()), Serving: l.GetServing(), MeanSlotTime: time.Duration(l.GetHoldNanos()), TrialDue: l.GetTrial(),
		Idle: time.Duration(l.GetUnusedMillis()) * time.Millisecond,
	}
}
