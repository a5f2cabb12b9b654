package transport

import (
	"errors"
	"io"
	"net/http"

	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/failure"
)

// sourceError wraps an error of the body's source, to tell it from one of the stream.
type sourceError struct {
	err error
}

func (e *sourceError) Error() string {
	return "read body: " + e.err.Error()
}

func (e *sourceError) Unwrap() error {
	return e.err
}

// frameWriter is a stream to which frames are written.
type frameWriter interface {
	Write(f *peerpb.Frame) error
}

// writeBody sends the body in data frames, without the frame that ends it. An error of
// body is returned as a *sourceError.
func writeBody(stream frameWriter, body io.Reader) error {
	if body == nil {
		return nil
	}
	buf := buffer.Get()
	defer buf.Release()
	for {
		n, err := body.Read(buf[:])
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

// bodyReader reads a body from a stream. It returns io.EOF only after the
// frame that ends the body.
type bodyReader struct {
	stream        *link.Stream
	streamFailure func(error) *failure.Failure           // Failure for an error of the stream.
	ownerFailure  func(*peerpb.Failure) *failure.Failure // Failure for a failure frame of the peer.
	onClose       func()                                 // Called by Close.
	unread        []byte                                 // Unread bytes of the last data frame.
	trailer       http.Header                            // Set once the body has ended.
	endErr        error
}

func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.endErr != nil {
			return 0, r.endErr
		}
		r.readFrame()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// readFrame reads the next frame into unread, or sets endErr.
func (r *bodyReader) readFrame() {
	f, err := r.stream.Read()
	if err != nil {
		r.endErr = r.streamFailure(err)
		return
	}
	switch body := f.GetBody().(type) {
	case *peerpb.Frame_Data:
		r.unread = body.Data.GetBytes()
	case *peerpb.Frame_End:
		r.trailer = decodeHeader(body.End.GetTrailers())
		r.endErr = io.EOF
	case *peerpb.Frame_Failure:
		f := r.ownerFailure(body.Failure)
		if f.Kind.NotRun() {
			// A body has begun, so the request has run, or was sent.
			f = r.streamFailure(f)
		}
		r.endErr = f
	default:
		r.endErr = r.streamFailure(errors.New("unexpected frame"))
	}
}

// Close abandons the rest of the body.
func (r *bodyReader) Close() error {
	r.onClose()
	return nil
}
