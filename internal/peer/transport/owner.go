package transport

import (
	"context"
	"errors"
	"io"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Owner runs calls at the node that owns the backend server.
type Owner interface {
	Serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Response, error)
}

// ServeCall serves the stream of one call that another node sent with Send.
func ServeCall(ctx context.Context, owner Owner, head *peerpb.RequestHead, stream *link.Stream) {
	timeout := durationFromProto(head.GetTimeoutNanos())
	r, stop := newRun(ctx, decodeText(head.GetRequestId()), timeout)
	defer stop()
	defer stream.Faults().Recover(r.id, func(f *failure.Failure) { writeFailure(stream, f) })
	_ = stream.SetDeadline(time.Now().Add(timeout + deadlineGrace))
	if head.GetVersion() != protocolVersion || len(head.GetKeyHash()) != len(call.Call{}.KeyHash) {
		writeFailure(stream, failure.New(kind.MalformedRequest, "unsupported version of the peer protocol", nil))
		return
	}
	c := decodeCall(head)
	up := newUpload(c.ContentLength, stream, r)
	defer up.close()
	response, err := owner.Serve(r.ctx, c, up.reader())
	if err != nil {
		writeFailure(stream, failure.From(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := writeCallResponse(stream, response); err != nil {
		r.lose(err)
	}
}

func decodeCall(head *peerpb.RequestHead) *call.Call {
	c := &call.Call{
		Method:        head.GetMethod(),
		Target:        decodeText(head.GetTarget()),
		Host:          decodeText(head.GetHost()),
		Header:        decodeHeader(head.GetHeaders()),
		ContentLength: max(head.GetContentLength(), -1),
		ID:            decodeText(head.GetRequestId()),
		Customer:      head.GetCustomer(),
		Route:         set.Route{Name: head.GetRoute()},
		Timeout:       durationFromProto(head.GetTimeoutNanos()),
		HeadSequence:  head.GetSequence(),
	}
	copy(c.KeyHash[:], head.GetKeyHash())
	for _, text := range head.GetAvoid() {
		c.Avoid = append(c.Avoid, parseAddress(text))
	}
	return c
}

func writeFailure(stream *link.Stream, f *failure.Failure) {
	_ = stream.Write(failureFrame(f))
}

func failureFrame(f *failure.Failure) *peerpb.Frame {
	return &peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{
		Kind:            uint32(f.Kind),
		RetryAfterNanos: int64(f.RetryAfter),
		Detail:          f.Detail,
		BackendServer:   f.BackendServer.String(),
		FreeSlots:       encodeFreeSlots(f.FreeSlots),
	}}}
}

// writeCallResponse sends the response of a call. It returns an error if it could not write to
// the stream.
func writeCallResponse(stream *link.Stream, response *exchange.Response) error {
	head := &peerpb.AnswerHead{
		Status:        int32(response.Status),
		Headers:       encodeHeader(response.Header),
		ContentLength: response.ContentLength,
		BackendServer: response.BackendServer.String(),
		FreeSlots:     encodeFreeSlots(response.FreeSlots),
	}
	return writeResponse(stream, head, response)
}

// writeResponse sends a response with its body and trailer, or the failure that cut the body
// short. It returns an error if it could not write to the stream.
func writeResponse(stream *link.Stream, head *peerpb.AnswerHead, response *exchange.Response) error {
	if err := stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Answer{Answer: head}}); err != nil {
		return err
	}
	if err := writeBody(stream, response.Body); err != nil {
		var broken *sourceError
		if errors.As(err, &broken) {
			return stream.Write(failureFrame(failure.From(broken.err)))
		}
		return err
	}
	end := &peerpb.End{Trailers: encodeHeader(response.Trailer())}
	return stream.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: end}})
}
