// Package courier carries requests and answers over the streams between the
// entry and the owner.
package courier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	version = 1

	// linger bounds the time a stream waits past the request's deadline.
	linger = time.Second
)

// Courier sends calls to other nodes.
type Courier struct {
	Mesh *link.Mesh
}

// Send passes c on to the owner at the given address and returns its answer.
// Errors are of type *failure.Failure.
func (k *Courier) Send(ctx context.Context, to netip.AddrPort, c *call.Call, body io.Reader) (*exchange.Response, error) {
	stream, err := k.Mesh.Open(ctx, to)
	if err != nil {
		if ctx.Err() != nil {
			return nil, failure.FromContext(ctx, false)
		}
		return nil, failure.New(kind.UnreachablePeer, "", err)
	}
	t := &transfer{ctx: ctx, stream: stream}
	t.stop = context.AfterFunc(ctx, func() { _ = stream.Close() })
	deadline, _ := ctx.Deadline()
	head := requestHead(c, time.Until(deadline))
	if err := stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Request{Request: head}}); err != nil {
		t.finish()
		return nil, t.lost(err)
	}
	go t.sendBody(body)
	answer, err := t.receive()
	if err != nil {
		t.finish()
		return nil, err
	}
	return answer, nil
}

// transfer is one request's stream at the entry.
type transfer struct {
	ctx    context.Context
	stream *link.Stream
	stop   func() bool
}

func (t *transfer) finish() {
	t.stop()
	_ = t.stream.Close()
}

// lost classifies an error after the stream was opened. The owner may have
// received the request, so that it may have run.
func (t *transfer) lost(err error) *failure.Failure {
	if t.ctx.Err() != nil {
		return failure.FromContext(t.ctx, true)
	}
	return failure.New(kind.LostPeer, "", err)
}

// sendBody sends the body and its end. If the body breaks it sends a failure,
// so that the owner never takes a part of a body for the whole.
func (t *transfer) sendBody(body io.Reader) {
	if err := writeBody(t.stream, body); err != nil {
		var broken *sourceError
		if errors.As(err, &broken) {
			_ = t.stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{Kind: uint32(kind.BrokenRequestBody)}}})
		}
		return
	}
	_ = t.stream.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: &peerpb.End{}}})
}

func (t *transfer) receive() (*exchange.Response, error) {
	f, err := t.stream.Read()
	if err != nil {
		return nil, t.lost(err)
	}
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Failure:
		return nil, t.refused(body.Failure)
	case *peerpb.Frame_Answer:
		reader := &bodyReader{stream: t.stream, classify: t.lost, refused: t.refused, finish: t.finish}
		return &exchange.Response{
			Status:        int(body.Answer.GetStatus()),
			Header:        headers(body.Answer.GetHeaders()),
			Body:          reader,
			ContentLength: body.Answer.GetContentLength(),
			BackendServer: address(body.Answer.GetBackendServer()),
			FreeSlots:     fromWire(body.Answer.FreeSlots),
			Trailer:       func() http.Header { return reader.trailer },
		}, nil
	default:
		return nil, t.lost(errors.New("unexpected frame"))
	}
}

// refused returns the owner's failure. When the entry gave the request up, the
// owner only knows that its stream was closed, and the entry knows why.
func (t *transfer) refused(w *peerpb.Failure) *failure.Failure {
	f := fromFrame(w)
	if f.Kind == kind.CancelledByCaller && t.ctx.Err() != nil {
		return failure.FromContext(t.ctx, true)
	}
	return f
}
