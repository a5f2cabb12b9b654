package courier

import (
	"errors"
	"io"
	"net/http"

	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/buffer"
	"filbertturn.example/filbertturn/internal/request/failure"
)

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
	buf := buffer.Take()
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
