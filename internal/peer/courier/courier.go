// Package courier carries requests and answers over the streams between the
// entry and the owner.
package courier

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	version = 1

	// chunkSize is the largest part of a body in one frame, in bytes.
	chunkSize = 32 << 10

	// linger bounds the time a stream waits past the request's deadline.
	linger = time.Second
)

// Courier sends calls to other nodes.
type Courier struct {
	Mesh *link.Mesh
}

// Send passes c on to the owner at the given address and returns its answer.
// Errors are of type *failure.Failure.
func (k *Courier) Send(ctx context.Context, to netip.AddrPort, c *call.Call, body io.Reader) (*exchange.Answer, error) {
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

func requestHead(c *call.Call, timeout time.Duration) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Version:       version,
		Method:        c.Method,
		Target:        c.Target,
		Host:          c.Host,
		Headers:       fields(c.Header),
		ContentLength: c.ContentLength,
		Customer:      c.Customer,
		KeyHash:       c.KeyHash[:],
		Route:         c.Route.Name,
		TimeoutNanos:  int64(timeout),
		RequestId:     c.ID,
		Sequence:      c.Sequence,
		Avoid:         texts(c.Avoid),
	}
}

func fields(h http.Header) []*peerpb.Field {
	names := make([]string, 0, len(h))
	for name := range h {
		names = append(names, name)
	}
	sort.Strings(names)
	list := make([]*peerpb.Field, 0, len(h))
	for _, name := range names {
		for _, value := range h[name] {
			list = append(list, &peerpb.Field{Name: name, Value: value})
		}
	}
	return list
}

func texts(list []netip.AddrPort) []string {
	out := make([]string, 0, len(list))
	for _, a := range list {
		out = append(out, a.String())
	}
	return out
}

// address returns the zero value for text that is no address: what it tells is
// only a hint.
func address(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}

func headers(list []*peerpb.Field) http.Header {
	h := make(http.Header, len(list))
	for _, f := range list {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
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

// sourceError tells an error of the body's source from one of the stream.
type sourceError struct {
	err error
}

func (e *sourceError) Error() string {
	return "read body: " + e.err.Error()
}

func (e *sourceError) Unwrap() error {
	return e.err
}

func writeBody(stream *link.Stream, body io.Reader) error {
	if body == nil {
		return nil
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			f := &peerpb.Frame{Body: &peerpb.Frame_Data{Data: &peerpb.Data{Bytes: buf[:n]}}}
			if err := stream.Write(f); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &sourceError{err: err}
		}
	}
}

func (t *transfer) receive() (*exchange.Answer, error) {
	f, err := t.stream.Read()
	if err != nil {
		return nil, t.lost(err)
	}
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Failure:
		return nil, t.refused(body.Failure)
	case *peerpb.Frame_Answer:
		reader := &bodyReader{stream: t.stream, classify: t.lost, refused: t.refused, finish: t.finish}
		return &exchange.Answer{
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

func fromFrame(f *peerpb.Failure) *failure.Failure {
	return &failure.Failure{
		Kind:       kind.Kind(f.GetKind()),
		RetryAfter: time.Duration(f.GetRetryAfterNanos()),
		Detail:     f.GetDetail(),

		BackendServer: address(f.GetBackendServer()),
		FreeSlots:     fromWire(f.FreeSlots),
	}
}

func toWire(n *int) *int32 {
	if n == nil {
		return nil
	}
	return proto.Int32(int32(*n))
}

func fromWire(n *int32) *int {
	if n == nil {
		return nil
	}
	m := int(*n)
	return &m
}

// bodyReader reads a body from a stream. It returns io.EOF only after the
// frame that ends the body.
type bodyReader struct {
	stream   *link.Stream
	classify func(error) *failure.Failure
	refused  func(*peerpb.Failure) *failure.Failure
	finish   func()
	left     []byte
	trailer  http.Header
	end      error
}

func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.left) == 0 {
		if r.end != nil {
			return 0, r.end
		}
		r.next()
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

func (r *bodyReader) next() {
	f, err := r.stream.Read()
	if err != nil {
		r.end = r.classify(err)
		return
	}
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Data:
		r.left = body.Data.GetBytes()
	case *peerpb.Frame_End:
		r.trailer = headers(body.End.GetTrailers())
		r.end = io.EOF
	case *peerpb.Frame_Failure:
		r.end = r.refused(body.Failure)
	default:
		r.end = r.classify(errors.New("unexpected frame"))
	}
}

// Close gives up the rest of the body.
func (r *bodyReader) Close() error {
	r.finish()
	return nil
}

// Owner serves calls at the node that owns the backend server.
type Owner interface {
	Serve(ctx context.Context, c *call.Call, body io.Reader) (*exchange.Answer, error)
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
		_, err := io.CopyBuffer(w, struct{ io.Reader }{body}, make([]byte, chunkSize))
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

func reply(stream *link.Stream, answer *exchange.Answer) {
	head := &peerpb.AnswerHead{
		Status:        int32(answer.Status),
		Headers:       fields(answer.Header),
		ContentLength: answer.ContentLength,
		BackendServer: answer.BackendServer.String(),
		FreeSlots:     toWire(answer.FreeSlots),
	}
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
