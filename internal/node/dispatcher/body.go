package dispatcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"

	"filbertturn.example/filbertturn/internal/backend/exchange"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// maxBufferedResponse is the longest response, in bytes, that is buffered whole
// before the caller gets any of it, so that another attempt can replace it.
const maxBufferedResponse = 64 << 10

// bufferResponse reads a short response to its end, so that a truncated one can still be
// replaced by another attempt. Longer ones and those of unknown length are streamed.
func (s *sender) bufferResponse(ctx context.Context, to netip.AddrPort, response *exchange.Response) (*exchange.Response, error) {
	if response.ContentLength < 0 || response.ContentLength > maxBufferedResponse || s.request.Order.Method == http.MethodHead {
		response.Body = &streamedBody{ReadCloser: response.Body, sender: s, to: to, ctx: ctx}
		return response, nil
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, response.Body, response.ContentLength)
	if err == nil {
		// Only io.EOF after the last byte proves that the response is complete.
		_, err = response.Body.Read(make([]byte, 1))
	}
	_ = response.Body.Close()
	if !errors.Is(err, io.EOF) {
		f := failure.From(err)
		switch {
		case ctx.Err() != nil:
			f = failure.FromContext(ctx, true)
		case f.Kind == kind.Internal && !errors.As(err, &f):
			f = failure.New(kind.BrokenAnswer, "", err)
		}
		s.recordEnding(s.logEvent(to, f).Bool("Sent", true), f).Msg("attempt failed")
		return nil, f
	}
	response.Body = io.NopCloser(&buf)
	return response, nil
}

// streamedBody records a response that is not read to its end.
type streamedBody struct {
	io.ReadCloser
	sender *sender
	to     netip.AddrPort
	ctx    context.Context // Of the attempt.
	ended  bool
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.ended = true
	case err != nil:
		b.fail(failure.From(err))
	}
	return n, err
}

// Close abandons the rest of the response.
func (b *streamedBody) Close() error {
	err := b.ReadCloser.Close()
	b.fail(failure.FromContext(b.ctx, true))
	return err
}

func (b *streamedBody) fail(f *failure.Failure) {
	if b.ended {
		return
	}
	b.ended = true
	b.sender.recordEnding(b.sender.logEvent(b.to, f).Bool("Sent", true), f).Msg("attempt failed")
}

// cancellingBody cancels the attempt's context when the response's body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body and cancels the attempt.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

// releasingBody gives back what was reserved for a response when its body is closed.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Close closes the body.
func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}
