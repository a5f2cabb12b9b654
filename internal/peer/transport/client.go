// Package transport sends requests from the entry, the node that received them from a
// caller, to the owner of a backend server, and the responses back. Each request has a
// stream of its own.
package transport

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"sync/atomic"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	protocolVersion = 1

	// deadlineGrace is the time for which a stream stays usable after the deadline of
	// its request.
	deadlineGrace = time.Second
)

// Client sends requests to other nodes.
type Client struct {
	Mesh *link.Mesh

	// ReactionTimeout is the time within which a node must react to an offer; zero means
	// DefaultReactionTimeout.
	ReactionTimeout time.Duration

	notices atomic.Int32 // Requests that are given up and whose owners have not been told yet.
}

// AwaitNotices waits until the owners have been told of all requests that were given up.
func (c *Client) AwaitNotices(ctx context.Context) {
	for c.notices.Load() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, noticePollInterval)
	}
}

// Send sends req to the owner at the given address and returns its response. Errors are of
// type *failure.Failure.
func (c *Client) Send(ctx context.Context, to netip.AddrPort, req *call.Call, body io.Reader) (*exchange.Response, error) {
	stream, err := c.Mesh.Open(ctx, to)
	if err != nil {
		if ctx.Err() != nil {
			return nil, failure.FromContext(ctx, false)
		}
		return nil, failure.New(kind.UnreachablePeer, "", err)
	}
	p := &pendingCall{pendingOffer{client: c, id: req.ID, stream: stream, confirmed: true, repeatable: req.Idempotent}}
	p.ctx, p.cancel = context.WithCancelCause(ctx)
	ctx = p.ctx
	p.stop = context.AfterFunc(ctx, func() { p.giveUp(p.contextFailure()) })
	deadline, _ := ctx.Deadline()
	head := encodeCall(req, time.Until(deadline))
	if err := p.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: head}}); err != nil {
		p.close()
		return nil, p.headFailure(err)
	}
	go p.sendBody(body)
	response, err := p.readResponse()
	if err != nil {
		p.close()
		return nil, err
	}
	return response, nil
}

// pendingCall is the entry's end of the stream of a call, which is confirmed from the start.
type pendingCall struct {
	pendingOffer
}

// sendBody sends the body and the frame that ends it. If the body cannot be read to its
// end it sends a failure, so that the owner never takes a part of a body for the whole.
func (p *pendingCall) sendBody(body io.Reader) {
	defer p.recover()
	if err := writeBody(p, body); err != nil {
		var broken *sourceError
		if errors.As(err, &broken) {
			_ = p.Write(failureFrame(failure.New(kind.BrokenRequestBody, "", broken)))
		}
		return
	}
	_ = p.writeEnd()
}

// readResponse reads the head of the response, or the failure that the owner sent.
func (p *pendingCall) readResponse() (*exchange.Response, error) {
	f, err := readFromOwner(p.stream, p.repeatable)
	if err != nil {
		return nil, p.headFailure(err)
	}
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Failure:
		return nil, p.ownerFailure(body.Failure)
	case *peerpb.Frame_Answer:
		if err := validateResponse(body.Answer); err != nil {
			return nil, p.lostFailure(err)
		}
		response := p.newResponse(body.Answer)
		response.FreeSlots = decodeFreeSlots(body.Answer.FreeSlots)
		return response, nil
	default:
		return nil, p.lostFailure(errors.New("unexpected frame"))
	}
}

// headFailure returns the failure for an error of the stream before the head of the response.
func (p *pendingCall) headFailure(err error) *failure.Failure {
	var refused *link.RefusedError
	if p.ctx.Err() == nil && errors.As(err, &refused) {
		return failure.New(kind.UnreachablePeer, "", err)
	}
	return p.lostFailure(err)
}

// ownerFailure returns the failure that the owner sent. Owners of older releases only know
// that the stream was closed if the entry gave the call up.
func (p *pendingCall) ownerFailure(w *peerpb.Failure) *failure.Failure {
	if kind.Kind(w.GetKind()) == kind.CancelledByCaller && p.ctx.Err() != nil {
		return p.contextFailure()
	}
	return p.pendingOffer.ownerFailure(w)
}
