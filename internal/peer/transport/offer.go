package transport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/ending"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// Time limits of an offer.
const (
	// DefaultReactionTimeout is many times the round trip time, with room for a node that
	// waits for CPU time.
	DefaultReactionTimeout = 150 * time.Millisecond

	// confirmTimeout is the time for which the owner keeps a slot for an accepted offer
	// until the entry sends the body.
	confirmTimeout = 300 * time.Millisecond

	// noticeTimeout is the time in which the entry tells the owner why it gives up a request,
	// before it closes the stream.
	noticeTimeout      = 100 * time.Millisecond
	noticePollInterval = 5 * time.Millisecond
)

// Decision is what an owner decides on an offer.
type Decision uint32

// The decisions.
const (
	Refused Decision = iota
	Waiting
	Accepted
	Overloaded // Refused, and no other owner is to be asked: calls that the request makes would be refused.

	// Refused, and no other owner is to be asked, as the request may crash backend servers.
	Suspected
	Quarantined
)

// Verdict is an owner's decision on an offer.
type Verdict struct {
	Decision   Decision
	RetryAfter time.Duration
	Load       scheduler.Load
	Stamp      freshness.Stamp // Configuration that the owner runs.

	// CallCosts are what a run of the route calls on average, as the owner has seen in CallCostRuns
	// runs, in an Accepted verdict.
	CallCosts    callcost.Costs
	CallCostRuns int
}

// Failure returns the failure of a refused offer, or nil if the offer is not refused.
func (v Verdict) Failure() error {
	k := kind.NoCapacity
	switch v.Decision {
	case Refused:
	case Overloaded:
		k = kind.Overloaded
	case Suspected:
		k = kind.Suspected
	case Quarantined:
		k = kind.Quarantined
	default:
		return nil
	}
	f := failure.New(k, "", nil)
	f.RetryAfter = v.RetryAfter
	return f
}

// OfferResult is the result of an offer: a response, or an error of type *failure.Failure.
type OfferResult struct {
	Response *exchange.Response
	Err      error
	Sent     bool            // The backend server may have received some of the request.
	Load     *scheduler.Load // The last load that the owner reported; nil if it reported none.

	// CallCosts and CallCostRuns are those of the verdict.
	CallCosts    callcost.Costs
	CallCostRuns int

	// Stamp is what the owner reported of its configuration in response to the offer
	// that was sent at AskedAt; zero if it reported nothing.
	Stamp   freshness.Stamp
	AskedAt time.Time
}

// Offer asks the owner at an address to run o. body is called only once the owner has a
// slot for o. If the offer fails before that, o has certainly not run.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) OfferResult {
	asked := time.Now()
	p := &pendingOffer{client: c, id: o.ID, repeatable: o.Idempotent}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	r := c.sendOffer(p, to, o, body)
	r.AskedAt, r.Stamp, r.CallCosts, r.CallCostRuns = asked, p.stamp, p.callCosts, p.callCostRuns
	return r
}

// sendOffer sends o and waits for the verdict. If the owner did not react, later offers use
// a new session, because this one may have gone silent.
func (c *Client) sendOffer(p *pendingOffer, to netip.AddrPort, o *order.Order, body func() (io.Reader, error)) OfferResult {
	ctx, reactionTimeout := p.ctx, c.reactionTimeout()
	dial, stop := context.WithTimeout(ctx, reactionTimeout)
	stream, err := c.Mesh.Open(dial, to)
	stop()
	if err != nil {
		return OfferResult{Err: notSentFailure(ctx, err)}
	}
	p.stream = stream
	p.stop = context.AfterFunc(ctx, func() { p.giveUp(p.contextFailure()) })
	_ = stream.SetDeadline(o.Deadline.Add(deadlineGrace))
	reaction := time.AfterFunc(reactionTimeout, p.expire)
	defer reaction.Stop()
	if err := stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: encodeOrder(o)}}); err != nil {
		p.close()
		return OfferResult{Err: notSentFailure(ctx, err)}
	}
	load, err := p.awaitVerdict(reaction)
	if err != nil {
		p.close()
		if !p.reacted && ctx.Err() == nil {
			c.Mesh.ReplaceSession(to)
		}
		return OfferResult{Err: err, Load: load}
	}
	return p.confirm(body, load)
}

func (c *Client) reactionTimeout() time.Duration {
	if c.ReactionTimeout > 0 {
		return c.ReactionTimeout
	}
	return DefaultReactionTimeout
}

// notSentFailure returns the failure of an offer that no backend server received.
func notSentFailure(ctx context.Context, err error) *failure.Failure {
	if ctx.Err() != nil {
		return failure.FromContext(ctx, false)
	}
	return failure.New(kind.UnreachablePeer, "", err)
}

// pendingOffer is the entry's end of the stream of an offer.
type pendingOffer struct {
	client  *Client
	stream  *link.Stream
	id      string                  // Of the request.
	ctx     context.Context         // Ends with that of the request, or for a fault.
	cancel  context.CancelCauseFunc // Ends ctx.
	stop    func() bool
	stamp   freshness.Stamp
	reacted bool // A verdict has arrived.

	callCosts    callcost.Costs
	callCostRuns int

	repeatable bool        // It may be sent elsewhere although it may run.
	closed     atomic.Bool // The stream is closed, or is about to be.

	mu        sync.Mutex // Guards the fields below, and writes after that of the offer.
	confirmed bool       // The owner may have begun to run the request.
	broken    bool       // A frame was written in part.
}

// Write sends a frame that follows the offer.
func (p *pendingOffer) Write(f *peerpb.Frame) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed = true
	err := p.stream.Write(f)
	p.broken = p.broken || err != nil
	return err
}

// recover must be deferred by the goroutines of the request. A panic of theirs ends it.
func (p *pendingOffer) recover() {
	if v := recover(); v != nil {
		p.cancel(p.stream.Faults().Record(p.id, v))
	}
}

// close closes the stream of a request that has ended. It does not wait, as a response may have
// arrived over a connection to which nothing can be written.
func (p *pendingOffer) close() {
	p.stop()
	if p.closed.CompareAndSwap(false, true) {
		go func() {
			defer p.recover()
			_ = p.stream.Close()
		}()
	}
}

// giveUp closes the stream of a request that the owner may be running, and tells it why first.
// Reads end at once.
func (p *pendingOffer) giveUp(f *failure.Failure) {
	defer p.recover()
	p.client.notices.Add(1)
	defer p.client.notices.Add(-1)
	first := p.closed.CompareAndSwap(false, true)
	p.stream.AbortReads()
	if first {
		p.dismiss(f)
	}
}

// dismiss tells the owner why it is to end the request, and closes the stream. It may wait for
// a frame that is being written.
func (p *pendingOffer) dismiss(f *failure.Failure) {
	_ = p.stream.SetWriteDeadline(time.Now().Add(noticeTimeout))
	p.mu.Lock()
	defer p.mu.Unlock()
	// Older releases take any frame for the one that lets the request begin.
	if p.confirmed && !p.broken {
		// An error means that the session is gone, which the owner notices too.
		_ = p.stream.Write(failureFrame(f))
	}
	_ = p.stream.Close()
}

// contextFailure returns the failure of a request that the entry gives up, because its
// context ended, after it was sent in part or whole.
func (p *pendingOffer) contextFailure() *failure.Failure {
	f := failure.FromContext(p.ctx, true)
	f.By = ending.PartyEntry
	return f
}

// expire abandons an offer to which the owner did not react in time.
func (p *pendingOffer) expire() {
	defer p.recover()
	p.stream.Abort()
}

// awaitVerdict reads verdicts until the owner accepts or refuses, and returns the last load
// that the owner reported.
func (p *pendingOffer) awaitVerdict(reaction *time.Timer) (*scheduler.Load, error) {
	var load *scheduler.Load
	for {
		frame, err := readFromOwner(p.stream, p.reacted)
		if err != nil {
			return load, notSentFailure(p.ctx, err)
		}
		if !reaction.Stop() && !p.reacted {
			return nil, notSentFailure(p.ctx, errors.New("no reaction from the owner within the timeout"))
		}
		switch body := frame.GetBody().(type) {
		case *peerpb.Frame_Verdict:
			p.reacted = true
			load = newerLoad(load, body.Verdict.GetLoad())
			p.stamp = StampFromProto(body.Verdict.GetFreshness())
			v := Verdict{Decision: Decision(body.Verdict.GetDecision()), RetryAfter: RetryAfterFromProto(body.Verdict.GetRetryAfterNanos())}
			if v.Decision == Accepted {
				p.callCosts = callCostsFromProto(body.Verdict.GetCallCosts())
				p.callCostRuns = int(min(body.Verdict.GetCallCostRuns(), maxCallCostRuns))
				return load, nil
			}
			if err := v.Failure(); err != nil {
				return load, err
			}
		case *peerpb.Frame_Failure:
			return load, decodeFailure(body.Failure)
		default:
			return load, notSentFailure(p.ctx, errors.New("unexpected frame"))
		}
	}
}

// confirm sends the body, or only the frame that ends it, and reads the response.
func (p *pendingOffer) confirm(body func() (io.Reader, error), load *scheduler.Load) OfferResult {
	reader, err := body()
	if err != nil {
		p.close()
		return OfferResult{Err: err, Load: load}
	}
	sent := make(chan error, 1)
	if reader == nil {
		sent <- p.writeEnd()
	} else {
		go p.sendBody(reader, sent)
	}
	response, load, err := p.readResponse(load)
	if err != nil {
		var source *sourceError
		select {
		case e := <-sent:
			if errors.As(e, &source) {
				err = failure.New(kind.BrokenRequestBody, "", e)
			}
		default:
		}
		p.close()
		return OfferResult{Err: err, Sent: true, Load: load}
	}
	return OfferResult{Response: response, Sent: true, Load: load}
}

// sendBody sends the body, and its result to sent. If the body cannot be read to its end, the
// owner learns that the request is incomplete.
func (p *pendingOffer) sendBody(body io.Reader, sent chan<- error) {
	defer p.recover()
	err := writeBody(p, body)
	if err == nil {
		err = p.writeEnd()
	}
	sent <- err
	var source *sourceError
	if errors.As(err, &source) && p.closed.CompareAndSwap(false, true) {
		p.dismiss(failure.New(kind.BrokenRequestBody, "", source))
	}
}

func (p *pendingOffer) writeEnd() error {
	return p.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: &peerpb.End{}}})
}

// readResponse reads the head of the response, or the failure that the owner sent, and
// returns the load in it, or else the given one.
func (p *pendingOffer) readResponse(load *scheduler.Load) (*exchange.Response, *scheduler.Load, error) {
	frame, err := readFromOwner(p.stream, p.repeatable)
	if err != nil {
		return nil, load, p.lostFailure(err)
	}
	switch body := frame.GetBody().(type) {
	case *peerpb.Frame_Answer:
		load = newerLoad(load, body.Answer.GetLoad())
		if err := validateResponse(body.Answer); err != nil {
			return nil, load, p.lostFailure(err)
		}
		return p.newResponse(body.Answer), load, nil
	case *peerpb.Frame_Failure:
		return nil, newerLoad(load, body.Failure.GetLoad()), p.ownerFailure(body.Failure)
	default:
		return nil, load, p.lostFailure(errors.New("unexpected frame"))
	}
}

// lostFailure returns the failure for an error after the body was sent, in part or whole.
func (p *pendingOffer) lostFailure(err error) *failure.Failure {
	if p.ctx.Err() != nil {
		return p.contextFailure()
	}
	return failure.New(kind.LostPeer, "", err)
}

// ownerFailure decodes the failure with which the owner ended a run. It may repeat what the
// entry told it.
func (p *pendingOffer) ownerFailure(w *peerpb.Failure) *failure.Failure {
	f := decodeFailure(w)
	if p.ctx.Err() != nil {
		// A fault of this node tells more than what the owner makes of its end.
		if own := p.contextFailure(); own.Kind == f.Kind || own.Kind == kind.Internal {
			return own
		}
	}
	if e, ok := f.Ending(ending.PartyOwner); ok {
		f.By = e.By
	}
	return f
}

func (p *pendingOffer) newResponse(head *peerpb.AnswerHead) *exchange.Response {
	body := &bodyReader{stream: p.stream, streamFailure: p.lostFailure, ownerFailure: p.ownerFailure}
	body.onClose = func() { p.closeBody(body.endErr != nil) }
	return &exchange.Response{
		Status:        int(head.GetStatus()),
		Header:        decodeHeader(head.GetHeaders()),
		Body:          body,
		ContentLength: head.GetContentLength(),
		BackendServer: parseAddress(head.GetBackendServer()),
		Trailer:       func() http.Header { return body.trailer },
	}
}

// closeBody closes the stream once the response is read, or is abandoned by its reader.
func (p *pendingOffer) closeBody(ended bool) {
	if ended {
		p.close()
		return
	}
	p.stop()
	f := failure.New(kind.CancelledByCaller, "", nil)
	if p.ctx.Err() != nil {
		f = p.contextFailure()
	}
	go p.giveUp(f)
}

func encodeOrder(o *order.Order) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Version:        protocolVersion,
		Method:         o.Method,
		Target:         encodeText(o.Target),
		Host:           encodeText(o.Host),
		Headers:        encodeHeader(o.Header),
		ContentLength:  o.ContentLength,
		Customer:       o.Customer,
		Route:          o.Route,
		TimeoutNanos:   int64(time.Until(o.Deadline)),
		RequestId:      encodeText(o.ID),
		Service:        o.Service,
		CallerService:  o.CallerService,
		Level:          uint32(o.Level),
		Priority:       int32(o.Priority),
		Nested:         o.Nested,
		Steps:          uint32(max(o.Steps, 0)),
		Idempotent:     o.Idempotent,
		Repeat:         o.Retry,
		ObjectiveNanos: int64(o.Objective),
		DueNanos:       int64(time.Until(o.Due)),
		PatienceNanos:  int64(time.Until(o.QueueDeadline)),
		Fingerprint:    o.Fingerprint[:],
		Trial:          o.Trial,
		PaidCalls:      callCostsToProto(o.PaidCalls),
		RetryPermille:  retryPermille(o.RetryProbability, o.Retry),
	}
}

// StampToProto encodes the version and age of a node's configuration.
func StampToProto(s freshness.Stamp) *peerpb.Freshness {
	return &peerpb.Freshness{Version: s.Version, AgeNanos: int64(s.Age)}
}

// StampFromProto decodes what StampToProto encodes.
func StampFromProto(f *peerpb.Freshness) freshness.Stamp {
	return freshness.Stamp{Version: f.GetVersion(), Age: time.Duration(f.GetAgeNanos())}
}
