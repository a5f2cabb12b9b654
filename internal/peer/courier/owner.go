package courier

import (
	"context"
	"errors"
	"io"
	"time"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// Owner serves calls at the node that owns the backend server.
type Owner interface {
	Serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Response, error)
}

// Receive serves one stream that another node opened.
func Receive(ctx context.Context, owner Owner, head *peerpb.RequestHead, stream *link.Stream) {
	timeout := time.Duration(head.GetTimeoutNanos())
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_ = stream.SetDeadline(time.Now().Add(timeout + linger))
	if head.GetVersion() != version || len(head.GetKeyHash()) != len(call.Call{}.KeyHash) {
		fail(stream, failure.New(kind.MalformedRequest, "unsupported version of the peer protocol", nil))
		return
	}
	c := fromHead(head)
	body := receiveBody(c, stream, cancel)
	answer, err := owner.Serve(ctx, c, body.reader())
	if err != nil {
		fail(stream, failure.From(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	reply(stream, answer)
}

func fromHead(head *peerpb.RequestHead) *call.Call {
	c := &call.Call{
		Method:        head.GetMethod(),
		Target:        head.GetTarget(),
		Host:          head.GetHost(),
		Header:        headers(head.GetHeaders()),
		ContentLength: head.GetContentLength(),
		ID:            head.GetRequestId(),
		Customer:      head.GetCustomer(),
		Route:         set.Route{Name: head.GetRoute()},
		Timeout:       time.Duration(head.GetTimeoutNanos()),
		Sequence:      head.GetSequence(),
	}
	copy(c.KeyHash[:], head.GetKeyHash())
	for _, text := range head.GetAvoid() {
		c.Avoid = append(c.Avoid, address(text))
	}
	return c
}

// incoming reads the request's frames to the end of the stream, which also
// tells that the entry has given up the request.
type incoming struct {
	pipe *io.PipeReader
}

func (i *incoming) reader() io.Reader {
	if i.pipe == nil {
		return nil
	}
	return i.pipe
}

func receiveBody(c *call.Call, stream *link.Stream, cancel context.CancelFunc) *incoming {
	if c.ContentLength == 0 {
		go watch(stream, cancel)
		return &incoming{}
	}
	r, w := io.Pipe()
	go func() {
		body := &bodyReader{stream: stream, refused: fromFrame, classify: func(err error) *failure.Failure {
			return failure.New(kind.BrokenRequestBody, "", err)
		}}
		buf := buffer.Take()
		_, err := io.CopyBuffer(w, struct{ io.Reader }{body}, buf[:])
		buf.Release()
		_ = w.CloseWithError(err)
		if err == nil {
			watch(stream, cancel)
			return
		}
		cancelUnlessPiped(err, cancel)
	}()
	return &incoming{pipe: r}
}

func cancelUnlessPiped(err error, cancel context.CancelFunc) {
	if !errors.Is(err, io.ErrClosedPipe) {
		cancel()
	}
}

// watch cancels the request when the entry closes the stream.
func watch(stream *link.Stream, cancel context.CancelFunc) {
	for {
		if _, err := stream.Read(); err != nil {
			cancel()
			return
		}
	}
}

func fail(stream *link.Stream, f *failure.Failure) {
	_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Failure{Failure: &peerpb.Failure{
		Kind:            uint32(f.Kind),
		RetryAfterNanos: int64(f.RetryAfter),
		Detail:          f.Detail,
		BackendServer:   f.BackendServer.String(),
		FreeSlots:       toWire(f.FreeSlots),
	}}})
}

func reply(stream *link.Stream, answer *exchange.Response) {
	head := &peerpb.AnswerHead{
		Status:        int32(answer.Status),
		Headers:       fields(answer.Header),
		ContentLength: answer.ContentLength,
		BackendServer: answer.BackendServer.String(),
		FreeSlots:     toWire(answer.FreeSlots),
	}
	writeAnswer(stream, head, answer)
}

// writeAnswer sends an answer to its end, or the failure that ended it.
func writeAnswer(stream *link.Stream, head *peerpb.AnswerHead, answer *exchange.Response) {
	if stream.Write(&peerpb.Frame{Body: &peerpb.Frame_Answer{Answer: head}}) != nil {
		return
	}
	if err := writeBody(stream, answer.Body); err != nil {
		var broken *sourceError
		if errors.As(err, &broken) {
			fail(stream, failure.From(broken.err))
		}
		return
	}
	end := &peerpb.End{Trailers: fields(answer.Trailer())}
	_ = stream.Write(&peerpb.Frame{Body: &peerpb.Frame_End{End: end}})
}
